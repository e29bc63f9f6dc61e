#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace azurepaddle::platform::internal {

/// Parses the decimal number at the start of a text; empty if there is none.
[[nodiscard]] inline std::optional<std::uint64_t> leadingCount(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end == text.data())
        return std::nullopt;
    return value;
}

}
