#include "azurepaddle/config/value.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cmath>
#include <fmt/format.h>

namespace azurepaddle::config::internal {

namespace {

    constexpr std::size_t maxNameLength = 40;
    constexpr std::size_t minSecretLength = 16;
    constexpr std::size_t digestLength = 64;

    struct Unit {
        std::string_view name;
        double factor;
    };

    // In seconds, largest first.
    constexpr std::array<Unit, 5> durationUnits { { { "d", 86400 }, { "h", 3600 }, { "min", 60 }, { "s", 1 }, { "ms", 0.001 } } };
    // In bytes, largest first.
    constexpr std::array<Unit, 4> byteUnits { { { "GiB", 1073741824 }, { "MiB", 1048576 }, { "KiB", 1024 }, { "B", 1 } } };

    struct Quantity {
        double number = 0;
        std::string_view unit;
    };

    std::optional<Quantity> readQuantity(std::string_view text)
    {
        Quantity quantity;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), quantity.number);
        if (error != std::errc() || !std::isfinite(quantity.number))
            return std::nullopt;
        quantity.unit = text.substr(static_cast<std::size_t>(end - text.data()));
        while (!quantity.unit.empty() && quantity.unit.front() == ' ')
            quantity.unit.remove_prefix(1);
        return quantity;
    }

    template <std::size_t Count>
    std::optional<double> scale(const Quantity& quantity, const std::array<Unit, Count>& units)
    {
        const auto unit = std::find_if(units.begin(), units.end(), [&](const Unit& candidate) { return candidate.name == quantity.unit; });
        if (unit == units.end())
            return std::nullopt;
        return quantity.number * unit->factor;
    }

    std::string formatSeconds(double seconds)
    {
        for (const Unit& unit : durationUnits) {
            const double count = seconds / unit.factor;
            if (count >= 1 && std::abs(count - std::round(count)) < 1e-9)
                return fmt::format("{:.0f} {}", count, unit.name);
        }
        return fmt::format("{} ms", seconds * 1000);
    }

    std::string formatBytes(std::uint64_t value)
    {
        for (const Unit& unit : byteUnits) {
            const auto factor = static_cast<std::uint64_t>(unit.factor);
            if (value >= factor && value % factor == 0)
                return fmt::format("{} {}", value / factor, unit.name);
        }
        return fmt::format("{} B", value);
    }

    std::optional<std::string> outside(double value, const Constraint& constraint, std::string_view given, std::string_view low, std::string_view high)
    {
        if (value >= constraint.minimum && value <= constraint.maximum)
            return std::nullopt;
        return fmt::format("{} is out of range; it must be from {} to {}", given, low, high);
    }

    bool isIpAddress(const std::string& text) noexcept
    {
        std::array<unsigned char, sizeof(in6_addr)> buffer {};
        return inet_pton(AF_INET, text.c_str(), buffer.data()) == 1 || inet_pton(AF_INET6, text.c_str(), buffer.data()) == 1;
    }

    bool isPeerAddress(std::string_view text)
    {
        const std::size_t equal = text.find('=');
        const std::size_t colon = text.rfind(':');
        if (equal == std::string_view::npos || colon == std::string_view::npos || colon < equal)
            return false;
        std::uint16_t port = 0;
        const std::string_view digits = text.substr(colon + 1);
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
        if (error != std::errc() || end != digits.data() + digits.size() || port == 0)
            return false;
        return isName(text.substr(0, equal)) && isIpAddress(std::string(text.substr(equal + 1, colon - equal - 1)));
    }

    bool isDigest(std::string_view text) noexcept
    {
        return text.size() == digestLength && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
    }

    bool isChoice(std::string_view text, std::string_view choices) noexcept
    {
        while (!choices.empty()) {
            const std::size_t end = choices.find('|');
            if (text == choices.substr(0, end))
                return true;
            choices = end == std::string_view::npos ? std::string_view {} : choices.substr(end + 1);
        }
        return false;
    }

    std::optional<std::string> checkForm(const std::string& text, const Constraint& constraint)
    {
        switch (constraint.form) {
        case Form::Name:
            return isName(text) ? std::nullopt : std::optional(fmt::format("\"{}\" is not a name of 1 to {} letters, digits, '.', '_' and '-'", text, maxNameLength));
        case Form::IpAddress:
            return isIpAddress(text) ? std::nullopt : std::optional(fmt::format("\"{}\" is not an IP address", text));
        case Form::PeerAddress:
            return isPeerAddress(text) ? std::nullopt : std::optional(fmt::format("\"{}\" is not of the form name=ip:port", text));
        case Form::Sha256:
            return isDigest(text) ? std::nullopt : std::optional(std::string("is not a SHA-256 digest of 64 lower-case hexadecimal digits"));
        case Form::Secret:
            return text.size() >= minSecretLength ? std::nullopt : std::optional(fmt::format("has {} characters; a secret needs at least {}", text.size(), minSecretLength));
        case Form::Choice:
            return isChoice(text, constraint.choices) ? std::nullopt : std::optional(fmt::format("\"{}\" is not one of {}", text, constraint.choices));
        case Form::Plain:
        case Form::Path:
        case Form::Bytes:
            return std::nullopt;
        }
        return std::nullopt;
    }

    std::optional<std::string> readBytes(std::string_view text, const Constraint& constraint, std::uint64_t& target)
    {
        auto quantity = readQuantity(text);
        if (quantity && quantity->unit.empty())
            quantity->unit = "B";
        const auto bytes = quantity ? scale(*quantity, byteUnits) : std::nullopt;
        if (!bytes || *bytes != std::floor(*bytes))
            return fmt::format("\"{}\" is not a count of bytes such as 65536, 64 KiB or 8 MiB", text);
        const auto low = formatBytes(static_cast<std::uint64_t>(constraint.minimum));
        const auto high = formatBytes(static_cast<std::uint64_t>(constraint.maximum));
        auto reason = outside(*bytes, constraint, text, low, high);
        if (!reason)
            target = static_cast<std::uint64_t>(*bytes);
        return reason;
    }

}

bool isName(std::string_view text) noexcept
{
    const auto allowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.'; };
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), allowed);
}

std::optional<std::string> readValue(std::string_view text, const Constraint& constraint, std::string& target)
{
    const std::string value(text);
    auto reason = value.empty() ? std::nullopt : checkForm(value, constraint);
    if (!reason)
        target = value;
    return reason;
}

std::optional<std::string> readValue(std::string_view text, const Constraint& constraint, std::uint64_t& target)
{
    if (constraint.form == Form::Bytes)
        return readBytes(text, constraint, target);
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return fmt::format("\"{}\" is not a whole number", text);
    auto reason = outside(static_cast<double>(value), constraint, text, fmt::format("{:.0f}", constraint.minimum), fmt::format("{:.0f}", constraint.maximum));
    if (!reason)
        target = value;
    return reason;
}

std::optional<std::string> readValue(std::string_view text, const Constraint& constraint, double& target)
{
    const auto quantity = readQuantity(text);
    if (!quantity || !quantity->unit.empty())
        return fmt::format("\"{}\" is not a number", text);
    auto reason = outside(quantity->number, constraint, text, fmt::format("{}", constraint.minimum), fmt::format("{}", constraint.maximum));
    if (!reason)
        target = quantity->number;
    return reason;
}

std::optional<std::string> readValue(std::string_view text, const Constraint&, bool& target)
{
    if (text != "yes" && text != "no")
        return fmt::format("\"{}\" is neither yes nor no", text);
    target = text == "yes";
    return std::nullopt;
}

std::optional<std::string> readValue(std::string_view text, const Constraint& constraint, Duration& target)
{
    const auto quantity = readQuantity(text);
    const auto seconds = quantity ? (quantity->number == 0 ? std::optional(0.0) : scale(*quantity, durationUnits)) : std::nullopt;
    if (!seconds)
        return fmt::format("\"{}\" is not a duration such as 250 ms, 5 s, 10 min, 2 h or 7 d", text);
    auto reason = outside(*seconds, constraint, text, formatSeconds(constraint.minimum), formatSeconds(constraint.maximum));
    if (!reason)
        target = std::chrono::milliseconds(std::llround(*seconds * 1000));
    return reason;
}

std::optional<std::string> readValue(std::string_view text, const Constraint& constraint, TextList& target)
{
    TextList found;
    while (!text.empty()) {
        const std::size_t end = text.find_first_of(", \t");
        const std::string element(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view {} : text.substr(end + 1);
        if (element.empty())
            continue;
        if (auto reason = checkForm(element, constraint))
            return reason;
        found.push_back(element);
    }
    target.insert(target.end(), found.begin(), found.end());
    return std::nullopt;
}

std::string formatValue(const std::string& value, const Constraint&)
{
    return value;
}

std::string formatValue(std::uint64_t value, const Constraint& constraint)
{
    return constraint.form == Form::Bytes ? formatBytes(value) : fmt::format("{}", value);
}

std::string formatValue(double value, const Constraint&)
{
    return fmt::format("{}", value);
}

std::string formatValue(bool value, const Constraint&)
{
    return value ? "yes" : "no";
}

std::string formatValue(Duration value, const Constraint&)
{
    return formatSeconds(std::chrono::duration<double>(value).count());
}

std::string formatValue(const TextList& value, const Constraint&)
{
    return fmt::format("{}", fmt::join(value, ", "));
}

}
