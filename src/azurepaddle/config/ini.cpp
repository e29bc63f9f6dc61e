#include "azurepaddle/config/ini.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <ini.h>

namespace azurepaddle::config::internal {

namespace {

    // inih splits longer lines and truncates longer names of sections and keys without an error.
    constexpr std::size_t maxLineBytes = 197;
    constexpr std::size_t maxNameBytes = 49;

    std::string_view trim(std::string_view text)
    {
        constexpr std::string_view blank = " \t\r";
        const std::size_t first = text.find_first_not_of(blank);
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(blank) - first + 1);
    }

    IniSection makeSection(std::string_view title)
    {
        IniSection section;
        section.title = std::string(title);
        const std::size_t space = title.find(' ');
        section.kind = std::string(title.substr(0, space));
        if (space != std::string_view::npos)
            section.name = std::string(trim(title.substr(space)));
        return section;
    }

    /// Reports errors that inih ignores, and collects the sections, including empty ones.
    class Scanner {
    public:
        Scanner(std::string_view file, std::vector<IniSection>& sections, Problems& problems)
            : m_file(file)
            , m_sections(sections)
            , m_problems(problems)
        {
        }

        void scan(std::string_view text)
        {
            if (text.find('\0') != std::string_view::npos)
                report({}, "contains a zero byte");
            std::size_t number = 0;
            while (!text.empty()) {
                const std::size_t end = text.find('\n');
                scanLine(text.substr(0, end), ++number);
                text = end == std::string_view::npos ? std::string_view {} : text.substr(end + 1);
            }
        }

    private:
        void scanLine(std::string_view line, std::size_t number)
        {
            if (line.size() > maxLineBytes)
                report(m_section, fmt::format("line {} has {} bytes; at most {} are read, continue on an indented line", number, line.size(), maxLineBytes));
            const std::string_view content = trim(line);
            if (content.empty() || content.front() == ';' || content.front() == '#')
                return;
            if (content.front() == '[')
                scanHeader(content, number);
            else
                scanKey(line, content, number);
        }

        void scanHeader(std::string_view content, std::size_t number)
        {
            const std::size_t end = content.find(']');
            const std::string title(end == std::string_view::npos ? content.substr(1) : content.substr(1, end - 1));
            m_section = title;
            if (end == std::string_view::npos)
                return report(title, fmt::format("line {}: the section header has no closing bracket", number));
            if (title.empty() || trim(title) != title)
                return report(title, fmt::format("line {}: the section header is empty or has spaces at its ends", number));
            if (title.size() > maxNameBytes)
                return report(title, fmt::format("line {}: the section header has {} bytes; at most {} are allowed", number, title.size(), maxNameBytes));
            if (std::any_of(m_sections.begin(), m_sections.end(), [&](const IniSection& other) { return other.title == title; }))
                return report(title, fmt::format("line {}: the section is given twice", number));
            m_sections.push_back(makeSection(title));
        }

        void scanKey(std::string_view line, std::string_view content, std::size_t number)
        {
            const bool continues = line.front() == ' ' || line.front() == '\t';
            if (m_section.empty())
                return report({}, fmt::format("line {} stands before the first section", number));
            if (continues && m_hasKey)
                return;
            const std::string_view name = trim(content.substr(0, content.find_first_of("=:")));
            m_hasKey = true;
            if (content.find_first_of("=:") == std::string_view::npos)
                return report(m_section, fmt::format("line {} is neither a section nor key = value", number));
            if (name.empty() || name.size() > maxNameBytes)
                report(m_section, fmt::format("line {}: the key is empty or longer than {} bytes", number, maxNameBytes));
        }

        void report(std::string_view section, std::string reason)
        {
            m_problems.push_back({ m_file, std::string(section), {}, std::move(reason) });
        }

        std::string m_file;
        std::vector<IniSection>& m_sections;
        Problems& m_problems;
        std::string m_section;
        bool m_hasKey = false;
    };

    int collect(void* user, const char* section, const char* name, const char* value)
    {
        auto& sections = *static_cast<std::vector<IniSection>*>(user);
        const auto found = std::find_if(sections.begin(), sections.end(), [&](const IniSection& other) { return other.title == section; });
        if (found == sections.end())
            return 1;
        auto& keys = found->keys;
        const auto key = std::find_if(keys.begin(), keys.end(), [&](const auto& entry) { return entry.first == name; });
        if (key == keys.end())
            keys.push_back({ name, { value } });
        else
            key->second.emplace_back(value);
        return 1;
    }

}

std::vector<IniSection> readIni(std::string_view text, std::string_view file, Problems& problems)
{
    std::vector<IniSection> sections;
    const std::size_t before = problems.size();
    Scanner(file, sections, problems).scan(text);
    const int line = ini_parse_string(std::string(text).c_str(), collect, &sections);
    if (line != 0 && problems.size() == before)
        problems.push_back({ std::string(file), {}, {}, fmt::format("line {} is malformed", line) });
    return sections;
}

}
