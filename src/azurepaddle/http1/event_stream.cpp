#include "azurepaddle/http1/event_stream.hpp"

#include <utility>

namespace azurepaddle::http1 {

bool EventStreamParser::feed(std::string_view bytes, const std::function<void(StreamEvent)>& onEvent)
{
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        const std::size_t used = end == std::string_view::npos ? bytes.size() : end + 1;
        m_size += used;
        if (m_size > m_maxEventBytes)
            return false;
        m_line.append(bytes.substr(0, end));
        bytes.remove_prefix(used);
        if (end == std::string_view::npos)
            return true;
        if (!m_line.empty() && m_line.back() == '\r')
            m_line.pop_back();
        takeLine(std::exchange(m_line, {}), onEvent);
    }
    return true;
}

void EventStreamParser::takeLine(std::string_view line, const std::function<void(StreamEvent)>& onEvent)
{
    if (line.empty()) {
        m_size = 0;
        const bool isEvent = std::exchange(m_hasData, false);
        StreamEvent event = std::exchange(m_event, {});
        if (isEvent)
            onEvent(std::move(event));
        return;
    }
    const std::size_t colon = line.find(':');
    if (colon == 0)
        return; // A comment.
    const std::string_view name = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    if (name == "data") {
        if (m_hasData)
            m_event.data.push_back('\n');
        m_event.data.append(value);
        m_hasData = true;
    } else if (name == "id") {
        m_event.id = value;
    } else if (name != "event" && name != "retry") {
        m_event.extra.add(std::string(name), std::string(value));
    }
}

}
