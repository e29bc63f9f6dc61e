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
    std::string data; ///< All data lines of the event, joined by line feeds.
    Fields extra; ///< Fields that are not part of the standard, with lower-case names as sent.

    friend bool operator==(const StreamEvent&, const StreamEvent&) = default;
};

/// Splits the bytes of an event stream into events. An event is complete once the empty line that ends it is received.
class EventStreamParser {
public:
    explicit EventStreamParser(std::size_t maxEventBytes) noexcept
        : m_maxEventBytes(maxEventBytes)
    {
    }

    /// Calls the function for each complete event. Returns false if an event exceeds the limit.
    [[nodiscard]] bool feed(std::string_view bytes, const std::function<void(StreamEvent)>& onEvent);

    /// Whether an event was received in part.
    [[nodiscard]] bool isWithinEvent() const noexcept { return m_size > 0; }

private:
    void takeLine(std::string_view line, const std::function<void(StreamEvent)>& onEvent);

    std::size_t m_maxEventBytes;
    std::size_t m_size = 0; ///< Size in bytes of the incomplete event.
    std::string m_line;
    StreamEvent m_event;
    bool m_hasData = false;
};

}
