#include "table.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace azurepaddle::tool {

namespace {

    constexpr std::size_t barWidth = 50;

    /// Keeps a name that an endpoint chose from moving the cursor of the operator's terminal.
    std::string printable(std::string text)
    {
        std::replace_if(
            text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7F; }, '?');
        return text;
    }

    std::string scalarText(const Json& value)
    {
        if (value.is_string())
            return printable(value.get<std::string>());
        if (value.is_boolean())
            return value.get<bool>() ? "yes" : "no";
        if (value.is_number_float())
            return fmt::format("{:.3g}", value.get<double>());
        return value.is_null() ? std::string() : printable(value.dump());
    }

}

std::string cellText(const Json& row, std::string_view member)
{
    const auto found = row.find(std::string(member));
    std::string text;
    if (found != row.end() && found->is_array()) {
        for (const Json& element : *found)
            text += (text.empty() ? "" : ",") + scalarText(element);
    } else if (found != row.end()) {
        text = scalarText(*found);
    }
    return text.empty() ? "-" : text;
}

std::string formatTable(const Json& rows, const std::vector<Column>& columns)
{
    std::vector<std::vector<std::string>> lines(1);
    for (const Column& column : columns)
        lines.front().emplace_back(column.heading);
    for (const Json& row : rows) {
        std::vector<std::string>& line = lines.emplace_back();
        for (const Column& column : columns)
            line.push_back(cellText(row, column.member));
    }
    std::vector<std::size_t> widths(columns.size());
    for (const auto& line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i)
            widths[i] = std::max(widths[i], line[i].size());
    }
    std::string text;
    for (const auto& line : lines) {
        std::string row;
        for (std::size_t i = 0; i < line.size(); ++i)
            row += fmt::format("{:<{}}  ", line[i], widths[i]);
        text += row.substr(0, row.find_last_not_of(' ') + 1) + "\n";
    }
    return text;
}

std::string formatBars(const Json& buckets)
{
    std::uint64_t largest = 1;
    for (const Json& bucket : buckets)
        largest = std::max(largest, bucket.value("count", std::uint64_t { 0 }));
    std::string text;
    for (const Json& bucket : buckets) {
        const auto count = bucket.value("count", std::uint64_t { 0 });
        const auto length = static_cast<std::size_t>(std::ceil(static_cast<double>(count) * barWidth / static_cast<double>(largest)));
        const Json upper = bucket.value("upper_ms", Json());
        const std::string bound = upper.is_number() ? fmt::format("{:.3g} ms", upper.get<double>()) : std::string("more");
        text += fmt::format("  {:>12} |{:<{}} {}\n", bound, std::string(length, '#'), barWidth, count);
    }
    return text;
}

}
