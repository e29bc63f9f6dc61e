#pragma once

#include "azurepaddle/core/clock.hpp"

#include <algorithm>
#include <optional>

namespace azurepaddle::consensus {

/// Determines on the receiver's clock how long ago the messages of one sender were sent at most. A message that echoes a
/// time of the receiver's clock was sent after that time, which bounds the difference between the two clocks. The bound
/// is determined anew for each time window, because clocks drift.
class SendTimeBound {
public:
    /// Records a message that was sent at `sentAt` on the sender's clock and echoes a time of the receiver's clock.
    /// Returns the latest time of the receiver's clock before which the message cannot have been sent.
    TimePoint recordMessage(Duration sentAt, TimePoint echoed, TimePoint receivedAt)
    {
        const Duration offset = echoed.time_since_epoch() - sentAt;
        if (!m_maxOffset || receivedAt - m_windowStart > windowLength) {
            m_previousMaxOffset = m_maxOffset;
            m_maxOffset = offset;
            m_windowStart = receivedAt;
        }
        m_maxOffset = std::max(*m_maxOffset, offset);
        return TimePoint(sentAt + std::max(*m_maxOffset, m_previousMaxOffset.value_or(offset)));
    }

    /// Discards all measurements, for use with another sender.
    void reset()
    {
        m_maxOffset.reset();
        m_previousMaxOffset.reset();
    }

private:
    static constexpr Duration windowLength = std::chrono::seconds(30);

    std::optional<Duration> m_maxOffset; ///< Largest difference between echoed and send time in the current window.
    std::optional<Duration> m_previousMaxOffset; ///< Largest difference in the previous window.
    TimePoint m_windowStart;
};

}
