#include "azurepaddle/config/problem.hpp"

namespace azurepaddle::config {

std::string describe(const Problem& problem)
{
    std::string line = problem.file;
    if (!problem.section.empty())
        line += ": [" + problem.section + "]";
    if (!problem.key.empty())
        line += " " + problem.key;
    return line + ": " + problem.reason;
}

std::string describe(const Problems& problems)
{
    std::string text;
    for (const Problem& problem : problems)
        text += describe(problem) + "\n";
    return text;
}

}
