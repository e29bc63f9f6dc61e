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

    // clang-tidy 14 mistakes the 0 in a rewritten comparison for a null pointer.
    friend auto operator<=>(const InstanceAddress&, const InstanceAddress&) = default; // NOLINT(modernize-use-nullptr)
    friend bool operator==(const InstanceAddress&, const InstanceAddress&) = default;
};

/// Formats an address as `ip:port`, with IPv6 addresses in brackets.
[[nodiscard]] std::string formatAddress(const InstanceAddress& address);

/// Parses `ip:port` or `[ipv6]:port`. Checks the port but not the IP address. Empty if the text is malformed.
[[nodiscard]] std::optional<InstanceAddress> parseAddress(std::string_view text);

}
