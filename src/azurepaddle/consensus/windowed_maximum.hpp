#pragma once

#include "azurepaddle/core/clock.hpp"

#include <algorithm>
#include <optional>

namespace azurepaddle::consensus {

/// The largest of the durations recorded lately. It covers the current time window and the one before, so that an old
/// value is forgotten after two windows at the latest.
class WindowedMaximum {
public:
    /// Records a duration and returns the largest one.
    Duration record(Duration value, TimePoint now)
    {
        if (!m_current || now - m_windowStart > windowLength) {
            m_previous = m_current;
            m_current = value;
            m_windowStart = now;
        }
        m_current = std::max(*m_current, value);
        return std::max(*m_current, m_previous.value_or(value));
    }

    /// Discards all durations.
    void reset()
    {
        m_current.reset();
        m_previous.reset();
    }

private:
    static constexpr Duration windowLength = std::chrono::seconds(30);

    std::optional<Duration> m_current; ///< Largest duration in the current window.
    std::optional<Duration> m_previous; ///< Largest duration in the previous window.
    TimePoint m_windowStart;
};

}
