#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>

namespace azurepaddle {

using Duration = std::chrono::nanoseconds;

/// Tag of the monotonic time line. Its time points are comparable only within one process.
struct MonotonicTime {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<MonotonicTime, Duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): required by std::chrono
};

/// A point on the monotonic time line, in nanoseconds.
using TimePoint = MonotonicTime::time_point;
/// Wall-clock time since the Unix epoch, in milliseconds. Comparable between instances, within clock error.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// A source of monotonic and wall-clock time.
template <typename T>
concept Clock = requires(const T& clock)
{
    {
        clock.now()
    }
    noexcept->std::same_as<TimePoint>;
    {
        clock.wallNow()
    }
    noexcept->std::same_as<WallTime>;
};

/// The clocks of the machine. Monotonic time counts suspension (CLOCK_BOOTTIME), so that leases expire during it.
class SystemClock {
public:
    [[nodiscard]] TimePoint now() const noexcept;
    [[nodiscard]] WallTime wallNow() const noexcept;
};

/// A clock that advances only on request, for tests and simulations. Not thread-safe.
class ManualClock {
public:
    [[nodiscard]] TimePoint now() const noexcept { return m_now; }
    [[nodiscard]] WallTime wallNow() const noexcept
    {
        return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()));
    }
    void advance(Duration step) noexcept { m_now += step; }
    void set(TimePoint now) noexcept { m_now = now; }

private:
    TimePoint m_now { std::chrono::seconds(1) };
};

static_assert(Clock<SystemClock>);
static_assert(Clock<ManualClock>);

}
