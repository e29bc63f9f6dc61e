#include "azurepaddle/consensus/message_delay.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::consensus;
using namespace std::chrono_literals;

namespace {

/// A sender whose clock is an hour behind.
struct DelayFixture {
    MessageDelay delay;

    Duration note(Duration sentAt, Duration underWay) { return delay.note(sentAt, TimePoint(1h + sentAt + underWay)); }
};

}

// Guards against a message that waited in a queue and is taken for new.
Test(MessageDelay, messageLate_noted_delayAgainstFastest)
{
    DelayFixture fixture;
    cr_assert(fixture.note(1s, 1ms) == 0ms);
    cr_assert(fixture.note(2s, 800ms) == 799ms);
    cr_assert(fixture.note(3s, 2ms) == 1ms);
}

// Guards against a clock that drifts until every message counts as late.
Test(MessageDelay, clocksDrift_noted_delayStaysSmall)
{
    DelayFixture fixture;
    for (int second = 0; second < 10'000; ++second)
        cr_assert(fixture.note(std::chrono::seconds(second), second * 100us) < 10ms);
}

// Guards against delays that are measured against the clock of an earlier sender.
Test(MessageDelay, otherSender_reset_beginsAgain)
{
    DelayFixture fixture;
    fixture.note(1s, 1ms);
    fixture.delay.reset();
    cr_assert(fixture.note(1s, 500ms) == 0ms);
}
