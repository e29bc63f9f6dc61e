#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace azurepaddle {

/// Where an instance listens: an IP address and a TCP port.
struct InstanceAddress {
    std::string ip;
    std::uint16_t port = 0;

    // clang-tidy 14 takes the 0 that a rewritten comparison compares with for a null pointer.
    friend auto operator<=>(const InstanceAddress&, const InstanceAddress&) = default; // NOLINT(modernize-use-nullptr)
    friend bool operator==(const InstanceAddress&, const InstanceAddress&) = default;
};

/// The form `ip:port`, with IPv6 addresses in brackets.
[[nodiscard]] std::string formatAddress(const InstanceAddress& address);

/// Reads `ip:port` or `[ipv6]:port`. Checks the port, not the digits of the IP address. Nothing if malformed.
[[nodiscard]] std::optional<InstanceAddress> parseAddress(std::string_view text);

}
