#include "tool.hpp"

#include <algorithm>
#include <cctype>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <sstream>

namespace azurepaddle::tool {

namespace {

    /// One line of a structured log: `TIME LEVEL SOURCE TEXT`.
    struct LogLine {
        std::string time;
        std::string level;
        std::string source;
        std::string text;
        std::string file;
    };

    bool isPartOfId(char character)
    {
        return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' || character == '_';
    }

    /// Whether the text names the identifier, and not only a longer one that contains it.
    bool names(std::string_view text, std::string_view id)
    {
        for (std::size_t at = text.find(id); at != std::string_view::npos; at = text.find(id, at + 1)) {
            const std::size_t end = at + id.size();
            const bool beginsHere = at == 0 || !isPartOfId(text[at - 1]);
            if (beginsHere && (end == text.size() || !isPartOfId(text[end])))
                return true;
        }
        return false;
    }

    LogLine parseLine(const std::string& line, const std::string& file)
    {
        LogLine parsed;
        parsed.file = file;
        std::istringstream stream(line);
        stream >> parsed.time >> parsed.level >> parsed.source >> std::ws;
        std::getline(stream, parsed.text);
        return parsed;
    }

    Result<void> collect(const std::string& file, const std::string& id, std::vector<LogLine>& lines)
    {
        std::ifstream stream(file);
        if (!stream.is_open())
            return makeError(ExitCode::BadUsage, fmt::format("{}: cannot be read", file));
        std::string line;
        while (std::getline(stream, line)) {
            if (names(line, id))
                lines.push_back(parseLine(line, file));
        }
        if (stream.bad())
            return makeError(ExitCode::BadUsage, fmt::format("{}: cannot be read to its end", file));
        return {};
    }

    void print(const std::vector<LogLine>& lines, bool isJson)
    {
        Json list = Json::array();
        for (const LogLine& line : lines) {
            if (isJson)
                list.push_back({ { "time", line.time }, { "level", line.level }, { "source", line.source }, { "text", line.text }, { "file", line.file } });
            else
                std::cout << fmt::format("{} {:<5} {} {} ({})\n", line.time, line.level, line.source, line.text, line.file);
        }
        if (isJson)
            std::cout << list.dump() << "\n";
    }

}

Result<void> runTrace(const CommandLine& line)
{
    const std::string& id = line.operands.front();
    if (id.empty())
        return makeError(ExitCode::BadUsage, "the identifier is empty");
    std::vector<LogLine> lines;
    for (auto file = std::next(line.operands.begin()); file != line.operands.end(); ++file) {
        const auto collected = collect(*file, id, lines);
        if (!collected)
            return tl::unexpected(collected.error());
    }
    // Times are written with the same width, so they sort as text. Lines of one file keep their order.
    std::stable_sort(lines.begin(), lines.end(), [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
    print(lines, line.common.isJson);
    if (lines.empty())
        return makeError(ExitCode::Refused, fmt::format("no line names {}", id));
    return {};
}

}
