#include "azurepaddle/registry/state_age.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::registry;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };

struct StateAgeFixture {
    StateAge state { 2s };

    /// Records a reply to a poll that was sent after the start by an instance that has received configuration 7.
    void receive(Duration sentAfter, std::uint64_t heldMs, std::uint64_t stateAgeMs, std::uint64_t configurationVersion = 7)
    {
        PollReply reply;
        reply.configurationVersion = configurationVersion;
        reply.heldMs = heldMs;
        reply.stateAgeMs = stateAgeMs;
        state.recordReply(start + sentAfter, reply, 7);
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

// Guards against a store of an earlier release that reports the state it restarts from as recent.
Test(StateAge, replyWithOlderConfigurationThanReceived_confirmsNothing)
{
    StateAgeFixture fixture;
    fixture.receive(0s, 0, 0);
    fixture.receive(3s, 0, 0, 6);
    cr_assert(fixture.state.age(start + 3s) == 3s);
    fixture.receive(3s, 0, 0, 8);
    cr_assert(fixture.state.age(start + 3s) == 0s);
}
