#pragma once

#include "azurepaddle/core/clock.hpp"

namespace azurepaddle {

/// Wall-clock time that does not follow later jumps of the time of day: the time of day at its construction, advanced by
/// monotonic time.
template <Clock Source = SystemClock>
class SteadyWallClock {
public:
    explicit SteadyWallClock(const Source& source = {})
        : m_startedAt(source.now())
        , m_wallStartedAt(source.wallNow())
    {
    }

    [[nodiscard]] WallTime at(TimePoint time) const noexcept
    {
        return m_wallStartedAt + std::chrono::floor<std::chrono::milliseconds>(time - m_startedAt);
    }

private:
    TimePoint m_startedAt;
    WallTime m_wallStartedAt;
};

}
