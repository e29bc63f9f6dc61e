#pragma once

#include "tool.hpp"

namespace azurepaddle::tool {

/// A column of a table: the member of each object that it shows, and its heading.
struct Column {
    std::string_view member;
    std::string_view heading;
};

/// The value as a cell: lists separated by commas, "-" if it is missing or empty.
[[nodiscard]] std::string cellText(const Json& row, std::string_view member);

/// The rows as a table with headings, columns as wide as their longest cell. Control characters are replaced.
[[nodiscard]] std::string formatTable(const Json& rows, const std::vector<Column>& columns);

/// Buckets {"upper_ms", "count"} as lines with bars in proportion to the largest count.
[[nodiscard]] std::string formatBars(const Json& buckets);

}
