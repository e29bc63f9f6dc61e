#pragma once

#include "azurepaddle/config/problem.hpp"

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace azurepaddle::config::internal {

/// One section of an INI file: its kind and name (`[tenant blue]`), and its keys in file order. A key that is repeated
/// or continued on an indented line has several values.
struct IniSection {
    std::string title; ///< As written between the brackets.
    std::string kind; ///< The first word of the title.
    std::string name; ///< The rest of the title; empty for sections that occur once.
    std::vector<std::pair<std::string, std::vector<std::string>>> keys;
};

/// Reads the sections of an INI text. Adds malformed input to the problems: lines without a key, lines and names that inih
/// would truncate, keys outside a section, and duplicate sections.
[[nodiscard]] std::vector<IniSection> readIni(std::string_view text, std::string_view file, Problems& problems);

}
