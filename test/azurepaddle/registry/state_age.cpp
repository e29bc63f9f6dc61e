#include "azurepaddle/registry/state_age.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::registry;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };

struct StateAgeFixture {
    StateAge state { 2s };

    /// Records a reply to a poll that was sent after the start.
    void receive(Duration sentAfter, std::uint64_t heldMs, std::uint64_t stateAgeMs)
    {
        PollReply reply;
        reply.heldMs = heldMs;
        reply.stateAgeMs = stateAgeMs;
        state.recordReply(start + sentAfter, reply);
    }
};

}

// Guards against an entry instance that takes a state for current before any store answered.
Test(StateAge, noReply_isNotCurrent)
{
    StateAgeFixture fixture;
    cr_assert(!fixture.state.isCurrent(start));
}

// Guards against a reply whose way took long and that confirms the state at the time of its arrival.
Test(StateAge, replyHeldAndDelayed_ageCountsFromItsSending)
{
    StateAgeFixture fixture;
    fixture.receive(0s, 800, 100);
    cr_assert(fixture.state.age(start + 3s) == 2300ms);
    cr_assert(fixture.state.isCurrent(start + 2700ms));
    cr_assert(!fixture.state.isCurrent(start + 2701ms));
}

// Guards against a late reply of a store with an older state that makes the state older again.
Test(StateAge, olderReplyAfterNewerOne_ageStays)
{
    StateAgeFixture fixture;
    fixture.receive(1s, 0, 0);
    fixture.receive(1s, 0, 500);
    cr_assert(fixture.state.age(start + 2s) == 1s);
}
