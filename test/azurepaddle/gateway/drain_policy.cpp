#include "azurepaddle/gateway/drain_policy.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::gateway;
using namespace std::chrono_literals;

namespace {

struct DrainFixture {
    const TimePoint begin { 100s };
    const DrainWindow window { begin + 7s, begin + 2s };
};

}

// Guards against new callers who are refused while load balancers still direct them to an instance that stops.
Test(DrainPolicy, drainJustBegan_longRequest_isTaken)
{
    const DrainFixture fixture;
    cr_assert(isTakenDuringDrain(fixture.window, fixture.begin, 30s));
    cr_assert(isTakenDuringDrain(fixture.window, fixture.begin + 1999ms, 30s));
}

// Guards against a request that runs and is cut off by the end of the process.
Test(DrainPolicy, requestMayOutlastDrain_isRefused)
{
    const DrainFixture fixture;
    cr_assert(!isTakenDuringDrain(fixture.window, fixture.begin + 2s, 5001ms));
    cr_assert(!isTakenDuringDrain(fixture.window, fixture.begin + 6900ms, 101ms));
    cr_assert(!isTakenDuringDrain(fixture.window, fixture.begin + 8s, 1ms));
}

// Guards against callers who are turned away although they would be answered before the process ends.
Test(DrainPolicy, requestEndsBeforeDrain_isTaken)
{
    const DrainFixture fixture;
    cr_assert(isTakenDuringDrain(fixture.window, fixture.begin + 2s, 5s));
    cr_assert(isTakenDuringDrain(fixture.window, fixture.begin + 6900ms, 100ms));
}
