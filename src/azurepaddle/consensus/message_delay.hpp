#pragma once

#include "azurepaddle/core/clock.hpp"

#include <algorithm>
#include <optional>

namespace azurepaddle::consensus {

/// Estimates how long messages of one sender were on their way, although the two clocks have no common origin: against
/// the fastest recent message. The fastest one is looked for again from time to time, because clocks drift.
class MessageDelay {
public:
    /// Notes a message and returns its delay.
    Duration note(Duration sentAt, TimePoint receivedAt)
    {
        const Duration offset = receivedAt.time_since_epoch() - sentAt;
        if (!m_fastest || receivedAt - m_windowStart > window) {
            m_previous = m_fastest;
            m_fastest = offset;
            m_windowStart = receivedAt;
        }
        m_fastest = std::min(*m_fastest, offset);
        return offset - std::min(*m_fastest, m_previous.value_or(offset));
    }

    /// Begins again, with another sender.
    void reset()
    {
        m_fastest.reset();
        m_previous.reset();
    }

private:
    static constexpr Duration window = std::chrono::seconds(30);

    std::optional<Duration> m_fastest; ///< Smallest offset of the present window.
    std::optional<Duration> m_previous; ///< That of the window before.
    TimePoint m_windowStart;
};

}
