#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurepaddle::http1 {

/// A complete event of a text/event-stream as received.
struct RawEvent {
    std::string bytes; ///< Includes the empty line that ends the event.
    std::string id; ///< Empty if the event has none.

    friend bool operator==(const RawEvent&, const RawEvent&) = default;
};

/// Splits the bytes of an event stream after each complete event, without changing them.
class EventSplitter {
public:
    explicit EventSplitter(std::size_t maxEventBytes) noexcept
        : m_maxEventBytes(maxEventBytes)
    {
    }

    /// Returns the events that these bytes complete. Returns nothing if an event exceeds the limit.
    [[nodiscard]] std::optional<std::vector<RawEvent>> feed(std::string_view bytes);
    /// Whether an event was received in part.
    [[nodiscard]] bool isWithinEvent() const noexcept { return !m_event.bytes.empty(); }

private:
    std::size_t m_maxEventBytes;
    std::size_t m_lineStart = 0; ///< Position of the current line in the event.
    RawEvent m_event;
};

}
