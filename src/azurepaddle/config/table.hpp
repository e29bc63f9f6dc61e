#pragma once

#include "azurepaddle/config/ini.hpp"
#include "azurepaddle/config/value.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <span>
#include <variant>

namespace azurepaddle::config::internal {

/// The member of a section's value type that is set by a key.
template <typename Object>
using Member = std::variant<std::string Object::*, std::uint64_t Object::*, double Object::*, bool Object::*, Duration Object::*, TextList Object::*>;

/// The definition of a key, used to read files, to write canonical text and to generate the documentation. The
/// default of a key is the value of the member in a default-constructed object.
template <typename Object>
struct Key {
    std::string_view name;
    Member<Object> member;
    Constraint constraint;
    bool required = false;
    std::string_view sentence;
    bool inherited = false; ///< The default is the key of the same name in [defaults].
};

template <typename Object>
[[nodiscard]] std::string formatMember(const Key<Object>& key, const Object& object)
{
    return std::visit([&](auto member) { return formatValue(object.*member, key.constraint); }, key.member);
}

/// Reads the values of a key. Only a list may have several.
template <typename Object>
[[nodiscard]] std::optional<std::string> readMember(const Key<Object>& key, const std::vector<std::string>& values, Object& object)
{
    const bool isList = std::holds_alternative<TextList Object::*>(key.member);
    if (values.size() > 1 && !isList)
        return fmt::format("is given {} times", values.size());
    if (isList)
        (object.*std::get<TextList Object::*>(key.member)).clear();
    for (const std::string& value : values) {
        auto reason = std::visit([&](auto member) { return readValue(value, key.constraint, object.*member); }, key.member);
        if (reason)
            return reason;
    }
    return std::nullopt;
}

/// Returns the definition of a key, or null.
template <typename Object>
[[nodiscard]] const Key<Object>* findKey(std::span<const Key<Object>> keys, std::string_view name)
{
    const auto found = std::find_if(keys.begin(), keys.end(), [&](const Key<Object>& key) { return key.name == name; });
    return found == keys.end() ? nullptr : &*found;
}

/// Reads a section into the object and adds every unknown key, bad value and missing key to the problems.
template <typename Object>
void readSection(const IniSection& section, std::span<const Key<Object>> keys, std::string_view file, Object& object, Problems& problems)
{
    for (const auto& [name, values] : section.keys) {
        const Key<Object>* key = findKey(keys, name);
        if (!key)
            problems.push_back({ std::string(file), section.title, name, "unknown key" });
        else if (auto reason = readMember(*key, values, object))
            problems.push_back({ std::string(file), section.title, name, std::move(*reason) });
    }
    for (const Key<Object>& key : keys) {
        const bool given = std::any_of(section.keys.begin(), section.keys.end(), [&](const auto& entry) { return entry.first == key.name && !entry.second.front().empty(); });
        if (key.required && !given)
            problems.push_back({ std::string(file), section.title, std::string(key.name), "required, but not given" });
    }
}

/// Formats the section as canonical text: all keys in table order, one list element on each line.
template <typename Object>
[[nodiscard]] std::string writeSection(std::string_view title, std::span<const Key<Object>> keys, const Object& object)
{
    std::string text = fmt::format("[{}]\n", title);
    for (const Key<Object>& key : keys) {
        if (!std::holds_alternative<TextList Object::*>(key.member)) {
            text += fmt::format("{} = {}\n", key.name, formatMember(key, object));
            continue;
        }
        for (const std::string& element : object.*std::get<TextList Object::*>(key.member))
            text += fmt::format("{} = {}\n", key.name, element);
    }
    return text;
}

/// Describes the range of a key; empty if all values of its form are accepted.
template <typename Object>
[[nodiscard]] std::string describeRange(const Key<Object>& key)
{
    const Constraint& constraint = key.constraint;
    if (std::holds_alternative<bool Object::*>(key.member))
        return "yes or no";
    if (constraint.form == Form::Choice)
        return std::string(constraint.choices);
    if (std::holds_alternative<Duration Object::*>(key.member)) {
        const auto seconds = [](double value) { return formatValue(std::chrono::milliseconds(static_cast<std::int64_t>(value * 1000)), {}); };
        return seconds(constraint.minimum) + " to " + seconds(constraint.maximum);
    }
    if (std::holds_alternative<std::uint64_t Object::*>(key.member)) {
        const auto low = static_cast<std::uint64_t>(constraint.minimum);
        const auto high = static_cast<std::uint64_t>(constraint.maximum);
        return formatValue(low, constraint) + " to " + formatValue(high, constraint);
    }
    if (std::holds_alternative<double Object::*>(key.member))
        return fmt::format("{} to {}", constraint.minimum, constraint.maximum);
    return {};
}

/// Describes the unit or form of a key.
template <typename Object>
[[nodiscard]] std::string describeUnit(const Key<Object>& key)
{
    constexpr std::array<std::string_view, 9> forms { "text", "name", "IP address", "name=ip:port", "SHA-256 digest", "path", "secret", "choice", "bytes" };
    const std::string_view form = forms.at(static_cast<std::size_t>(key.constraint.form));
    if (std::holds_alternative<TextList Object::*>(key.member))
        return fmt::format("list of {}", form);
    if (std::holds_alternative<Duration Object::*>(key.member))
        return "duration";
    if (std::holds_alternative<bool Object::*>(key.member))
        return "switch";
    if (std::holds_alternative<std::string Object::*>(key.member) || key.constraint.form == Form::Bytes)
        return std::string(form);
    return "number";
}

/// Generates a section of the documentation: a heading, and a table with a row for each key.
template <typename Object>
[[nodiscard]] std::string documentSection(std::string_view title, std::span<const Key<Object>> keys)
{
    std::string text = fmt::format("### [{}]\n\n| key | unit | default | range | meaning |\n|---|---|---|---|---|\n", title);
    const Object defaults;
    for (const Key<Object>& key : keys) {
        std::string value = key.required ? "required" : key.inherited ? "from `[defaults]`"
                                                                      : formatMember(key, defaults);
        if (value.empty())
            value = "none";
        std::string range = describeRange(key);
        std::replace(range.begin(), range.end(), '|', ',');
        text += fmt::format("| `{}` | {} | {} | {} | {} |\n", key.name, describeUnit(key), value, range, key.sentence);
    }
    return text + "\n";
}

}
