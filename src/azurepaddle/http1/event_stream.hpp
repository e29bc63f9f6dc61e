#pragma once

#include "azurepaddle/http1/message.hpp"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace azurepaddle::http1 {

/// One event of a text/event-stream.
struct StreamEvent {
    std::string id;
    std::string data; ///< Several data lines are joined by line feeds.
    Fields extra; ///< Fields that the standard does not name, in lower case as sent.

    friend bool operator==(const StreamEvent&, const StreamEvent&) = default;
};

/// Cuts the bytes of an event stream into events. An event counts only once its closing empty line arrived.
class EventStreamParser {
public:
    explicit EventStreamParser(std::size_t maxEventBytes) noexcept
        : m_maxEventBytes(maxEventBytes)
    {
    }

    /// Calls the function for each complete event. False if an event exceeds the limit.
    [[nodiscard]] bool feed(std::string_view bytes, const std::function<void(StreamEvent)>& onEvent);

    /// Whether bytes of an incomplete event are held.
    [[nodiscard]] bool isWithinEvent() const noexcept { return m_size > 0; }

private:
    void takeLine(std::string_view line, const std::function<void(StreamEvent)>& onEvent);

    std::size_t m_maxEventBytes;
    std::size_t m_size = 0; ///< Bytes of the event in progress.
    std::string m_line;
    StreamEvent m_event;
    bool m_hasData = false;
};

}
