#pragma once

#include <string>
#include <vector>

namespace azurepaddle::config {

/// A reason why a file is rejected. The section or key is empty if the problem concerns the whole file or section.
struct Problem {
    std::string file;
    std::string section;
    std::string key;
    std::string reason;

    friend bool operator==(const Problem&, const Problem&) = default;
};

using Problems = std::vector<Problem>;

/// Formats the problem as one line: file, section, key, reason.
[[nodiscard]] std::string describe(const Problem& problem);

/// Formats all problems, one on each line.
[[nodiscard]] std::string describe(const Problems& problems);

}
