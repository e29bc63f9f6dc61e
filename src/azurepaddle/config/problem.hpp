#pragma once

#include <string>
#include <vector>

namespace azurepaddle::config {

/// One reason why a file is refused. Section and key are empty where the problem concerns the whole file or section.
struct Problem {
    std::string file;
    std::string section;
    std::string key;
    std::string reason;

    friend bool operator==(const Problem&, const Problem&) = default;
};

using Problems = std::vector<Problem>;

/// The problem as one line: file, section, key, reason.
[[nodiscard]] std::string describe(const Problem& problem);

/// All problems, one a line.
[[nodiscard]] std::string describe(const Problems& problems);

}
