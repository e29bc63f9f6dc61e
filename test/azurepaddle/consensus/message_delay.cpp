#include "azurepaddle/consensus/message_delay.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::consensus;
using namespace std::chrono_literals;

namespace {

/// Messages from a sender whose clock is one hour behind the receiver's.
struct DelayFixture {
    MessageDelay delay;

    Duration recordMessage(Duration sentAt, Duration transitTime) { return delay.recordMessage(sentAt, TimePoint(1h + sentAt + transitTime)); }
};

}

// Detects a delayed message, for example one that waited in a queue, whose content is treated as recent.
Test(MessageDelay, messageLate_noted_delayAgainstFastest)
{
    DelayFixture fixture;
    cr_assert(fixture.recordMessage(1s, 1ms) == 0ms);
    cr_assert(fixture.recordMessage(2s, 800ms) == 799ms);
    cr_assert(fixture.recordMessage(3s, 2ms) == 1ms);
}

// Detects an estimate that grows with the clock drift until every message counts as late.
Test(MessageDelay, clocksDrift_noted_delayStaysSmall)
{
    DelayFixture fixture;
    for (int second = 0; second < 10'000; ++second)
        cr_assert(fixture.recordMessage(std::chrono::seconds(second), second * 100us) < 10ms);
}

// Detects delays that are measured relative to the clock of a previous sender.
Test(MessageDelay, otherSender_reset_beginsAgain)
{
    DelayFixture fixture;
    fixture.recordMessage(1s, 1ms);
    fixture.delay.reset();
    cr_assert(fixture.recordMessage(1s, 500ms) == 0ms);
}
