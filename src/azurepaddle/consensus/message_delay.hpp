#pragma once

#include "azurepaddle/core/clock.hpp"

#include <algorithm>
#include <optional>

namespace azurepaddle::consensus {

/// Estimates the one-way delay of messages from one sender without a common clock: a delay is measured relative to the
/// fastest recent message. The minimum is determined anew for each time window, because clocks drift.
class MessageDelay {
public:
    /// Records a message and returns its estimated delay.
    Duration recordMessage(Duration sentAt, TimePoint receivedAt)
    {
        const Duration offset = receivedAt.time_since_epoch() - sentAt;
        if (!m_minOffset || receivedAt - m_windowStart > windowLength) {
            m_previousMinOffset = m_minOffset;
            m_minOffset = offset;
            m_windowStart = receivedAt;
        }
        m_minOffset = std::min(*m_minOffset, offset);
        return offset - std::min(*m_minOffset, m_previousMinOffset.value_or(offset));
    }

    /// Discards all measurements, for use with another sender.
    void reset()
    {
        m_minOffset.reset();
        m_previousMinOffset.reset();
    }

private:
    static constexpr Duration windowLength = std::chrono::seconds(30);

    std::optional<Duration> m_minOffset; ///< Smallest difference between receive and send time in the current window.
    std::optional<Duration> m_previousMinOffset; ///< Smallest difference in the previous window.
    TimePoint m_windowStart;
};

}
