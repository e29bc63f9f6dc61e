#include "azurepaddle/http1/event_splitter.hpp"

#include <utility>

namespace azurepaddle::http1 {

namespace {

    constexpr std::string_view idField = "id:";

    /// Returns the value of an `id` line; empty if the line is none.
    std::optional<std::string> idOf(std::string_view line)
    {
        if (!line.starts_with(idField))
            return std::nullopt;
        line.remove_prefix(idField.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        return std::string(line);
    }

}

std::optional<std::vector<RawEvent>> EventSplitter::feed(std::string_view bytes)
{
    std::vector<RawEvent> events;
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        const std::size_t used = end == std::string_view::npos ? bytes.size() : end + 1;
        if (m_event.bytes.size() + used > m_maxEventBytes)
            return std::nullopt;
        m_event.bytes.append(bytes.substr(0, used));
        bytes.remove_prefix(used);
        if (end == std::string_view::npos)
            break;
        std::string_view line = std::string_view(m_event.bytes).substr(m_lineStart);
        line.remove_suffix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (line.empty()) {
            m_lineStart = 0;
            events.push_back(std::exchange(m_event, {}));
            continue;
        }
        if (auto id = idOf(line))
            m_event.id = std::move(*id);
        m_lineStart = m_event.bytes.size();
    }
    return events;
}

}
