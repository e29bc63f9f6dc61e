#include "azurepaddle/core/address.hpp"

#include <charconv>
#include <fmt/format.h>

namespace azurepaddle {

std::string formatAddress(const InstanceAddress& address)
{
    if (address.ip.find(':') != std::string::npos)
        return fmt::format("[{}]:{}", address.ip, address.port);
    return fmt::format("{}:{}", address.ip, address.port);
}

std::optional<InstanceAddress> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    std::string_view ip = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    if (ip.front() == '[') {
        if (ip.size() < 3 || ip.back() != ']')
            return std::nullopt;
        ip = ip.substr(1, ip.size() - 2);
    } else if (ip.find(':') != std::string_view::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc() || end != digits.data() + digits.size() || port == 0)
        return std::nullopt;
    return InstanceAddress { std::string(ip), port };
}

}
