#include "azurepaddle/gateway/usage_counter.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::gateway;
using namespace std::chrono_literals;

// Guards against requests that are counted in the window in which their answer arrives, and against windows that are
// reported again after their total is fixed.
Test(UsageCounter, requests_counted_inTheWindowInWhichTheyBegan)
{
    const SystemClock clock;
    UsageCounter counter("entry/1", 5s);
    const TimePoint now = clock.now();
    const auto present = usageWindowOf(clock.wallNow(), 5s);
    counter.add(WorkspaceName("blue"), now - 10s);
    counter.add(WorkspaceName("blue"), now - 10s);
    counter.add(WorkspaceName("red"), now);
    const auto report = counter.report();
    cr_assert(report.process == "entry/1");
    cr_assert(report.windows.size() == 2);
    cr_assert(report.windows.front().window >= present - 3 && report.windows.front().window <= present - 2);
    cr_assert(report.windows.front().counts == registry::UsageCounts({ { "blue", 2 } }));
    cr_assert(counter.counted() == 3);
    counter.onSealed(report.windows.front().window);
    cr_assert(counter.report().windows.size() == 1);
}

namespace {

/// A clock whose time of day can jump.
struct JumpingClock {
    const TimePoint* time;
    const WallTime* wall;
    [[nodiscard]] TimePoint now() const noexcept { return *time; }
    [[nodiscard]] WallTime wallNow() const noexcept { return *wall; }
};

}

// Guards against requests that are counted in another window because the time of day jumps.
Test(SteadyWallClock, timeOfDayJumps_timeGoesOn)
{
    TimePoint time { 100s };
    WallTime wall { 1'700'000'000s };
    const SteadyWallClock<JumpingClock> clock(JumpingClock { &time, &wall });
    wall += 7s;
    time += 2s;
    cr_assert(clock.at(time) == WallTime { 1'700'000'002s });
    cr_assert(clock.at(time - 3s) == WallTime { 1'699'999'999s });
}
