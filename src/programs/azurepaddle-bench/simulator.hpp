#pragma once

#include "azurepaddle/core/clock.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace azurepaddle::bench {

[[nodiscard]] inline Duration fromSeconds(double seconds) noexcept
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

[[nodiscard]] inline double inSeconds(Duration value) noexcept
{
    return std::chrono::duration<double>(value).count();
}

/// Runs events in the order of their virtual times; events of equal times in the order they were added.
class Simulator {
public:
    using Action = std::function<void()>;

    [[nodiscard]] const ManualClock& clock() const noexcept { return m_clock; }
    [[nodiscard]] TimePoint now() const noexcept { return m_clock.now(); }
    /// Seconds since the start of the run.
    [[nodiscard]] double seconds() const noexcept { return inSeconds(now() - m_start); }

    void after(Duration delay, Action action)
    {
        m_events.push({ now() + delay, m_next++, std::move(action) });
    }

    void every(Duration interval, const Action& action)
    {
        after(interval, [this, interval, action] {
            action();
            every(interval, action);
        });
    }

    void run(double seconds)
    {
        const TimePoint end = m_start + fromSeconds(seconds);
        while (!m_events.empty() && m_events.top().time <= end) {
            // The top is removed before it runs, because it adds events.
            const Action action = std::move(const_cast<Event&>(m_events.top()).action);
            m_clock.set(m_events.top().time);
            m_events.pop();
            action();
        }
        m_clock.set(end);
    }

private:
    struct Event {
        TimePoint time;
        std::uint64_t number;
        Action action;

        friend bool operator<(const Event& left, const Event& right)
        {
            return left.time == right.time ? left.number > right.number : left.time > right.time;
        }
    };

    ManualClock m_clock;
    TimePoint m_start = m_clock.now();
    std::priority_queue<Event> m_events;
    std::uint64_t m_next = 0;
};

}
