#include "azurepaddle/control/fixture.hpp"

using namespace azurepaddle;
using namespace azurepaddle::control;
using namespace azurepaddle::control::test;

namespace {

std::vector<GroupId> groups(std::initializer_list<const char*> names)
{
    return { names.begin(), names.end() };
}

struct OwnedRun : Fixture {
    Epoch firstEpoch = acquireRun(holder("a")).epoch;

    OwnedRun()
    {
        static_cast<void>(submitGroup("g1", 1));
        static_cast<void>(submitGroup("g2", 1));
    }
};

}

// Guards against two owners whose hand-offs are both recorded.
Test(RunLedger, ownerChange_handOffOfOldOwner_isFenced)
{
    OwnedRun fixture;
    cr_assert(fixture.acquireRun(holder("b")).status == RunStatus::Held);
    fixture.now += 5'000 + maxClockDifference;
    const RunReply acquired = fixture.acquireRun(holder("b"));
    cr_assert(acquired.status == RunStatus::Granted && acquired.epoch == fixture.firstEpoch + 1);
    cr_assert(fixture.handOff(fixture.firstEpoch, 1, 0, {}, groups({ "g1" })).status == RunStatus::NotOwner);
    cr_assert(fixture.handOff(acquired.epoch, 1, 0, {}, groups({ "g1" })).status == RunStatus::Recorded);
    cr_assert(fixture.expect<RunReply>(ReleaseRun { RunName("run"), fixture.firstEpoch }).status == RunStatus::NotOwner);
    cr_assert(fixture.expect<RunReply>(ReleaseRun { RunName("run"), acquired.epoch }).status == RunStatus::Released);
    cr_assert(fixture.acquireRun(holder("c")).epoch == acquired.epoch + 1);
}

// Guards against samples generated twice because a submission was repeated, also after its samples were confirmed.
Test(RunLedger, groupSubmittedAgain_anyState_isNotStoredTwice)
{
    OwnedRun fixture;
    const RunReply repeated = fixture.submitGroup("g1", 1);
    cr_assert(repeated.status == RunStatus::Stored && repeated.stored.empty());
    cr_assert(fixture.run().groups.size() == 2 && fixture.submitGroup("g3", 1).stored == groups({ "g3" }));
    cr_assert(fixture.submitGroup("g1", 1, 3).status == RunStatus::GroupConflict);
    static_cast<void>(fixture.handOff(fixture.firstEpoch, 1, 0, {}, groups({ "g1" })));
    static_cast<void>(fixture.handOff(fixture.firstEpoch, 2, 2, {}, {}));
    cr_assert(fixture.run().groups.size() == 2 && fixture.run().promptBytes == 12);
    cr_assert(fixture.submitGroup("g1", 1).status == RunStatus::Stored && fixture.run().groups.size() == 2);
    cr_assert(fixture.submitGroup("g1", 1, 3).status == RunStatus::GroupConflict);
    static_cast<void>(fixture.submitGroup("later", 2 + RunLedger::retainedSteps));
    cr_assert(fixture.run().confirmedGroups.empty());
    cr_assert(fixture.submitGroup("g1", 1).status == RunStatus::StepClosed);
}

// Guards against a sample with two outstanding sequence numbers and against a sequence number that is reused.
Test(RunLedger, voidedGroup_assignedAgain_getsNewNumbers)
{
    OwnedRun fixture;
    const RunReply first = fixture.handOff(fixture.firstEpoch, 1, 0, {}, groups({ "g1", "g2" }));
    cr_assert(first.assigned[1].sequences == std::vector<Sequence>({ 3, 4 }));
    cr_assert(fixture.handOff(fixture.firstEpoch, 2, 0, {}, groups({ "g1" })).status == RunStatus::GroupNotAssignable);
    const RunReply second = fixture.handOff(fixture.firstEpoch, 2, 1, groups({ "g1" }), groups({ "g1" }));
    cr_assert(second.status == RunStatus::Recorded && second.confirmed == 1);
    // The sample that was confirmed keeps its number; only the other one is generated again.
    cr_assert(second.assigned[0].sequences == std::vector<Sequence>({ 1, 5 }));
    cr_assert(fixture.handOff(fixture.firstEpoch, 3, 2, {}, {}).status == RunStatus::CursorInvalid);
    cr_assert(fixture.handOff(fixture.firstEpoch, 3, 4, groups({ "g2" }), {}).status == RunStatus::GroupNotVoidable);
    cr_assert(fixture.handOff(fixture.firstEpoch, 3, 5, {}, {}).status == RunStatus::Recorded);
    cr_assert(fixture.run().groups.empty() && fixture.run().outstanding.empty());
}

// Guards against samples voided by a delayed old pull after a newer pull has delivered them.
Test(RunLedger, olderPull_arrivingLate_isSuperseded)
{
    OwnedRun fixture;
    static_cast<void>(fixture.handOff(fixture.firstEpoch, 7, 0, {}, groups({ "g1" })));
    cr_assert(fixture.handOff(fixture.firstEpoch, 6, 0, groups({ "g1" }), {}).status == RunStatus::PullSuperseded);
    const RunReply equal = fixture.handOff(fixture.firstEpoch, 7, 0, groups({ "g1" }), {});
    cr_assert(equal.status == RunStatus::PullSuperseded && equal.pull == 7);
    cr_assert(fixture.run().outstanding.size() == 1);
}

// Guards against a hand-off based on outdated state: an earlier one timed out at the owner but was committed later.
Test(RunLedger, planBasedOnOldHandOff_recorded_isOutdated)
{
    OwnedRun fixture;
    static_cast<void>(fixture.handOff(fixture.firstEpoch, 1, 0, {}, groups({ "g1" })));
    const RecordHandOff outdated { RunName("run"), fixture.firstEpoch, 0, 2, 0, 0, {}, groups({ "g2" }) };
    cr_assert(fixture.expect<RunReply>(outdated).status == RunStatus::BasePullOutdated);
}

// Guards against changes to a run by an instance whose ownership has ended.
Test(RunLedger, oldEpoch_changingRun_isRefused)
{
    OwnedRun fixture;
    const Epoch old = fixture.firstEpoch - 1;
    cr_assert(fixture.expect<RunReply>(SubmitGroups { RunName("run"), old, { { GroupId("g9"), 1, "p", 1, 1 } } }).status == RunStatus::NotOwner);
    cr_assert(fixture.expect<RunReply>(SetTrainerVersion { RunName("run"), old, 9 }).status == RunStatus::NotOwner);
    cr_assert(fixture.expect<RunReply>(ResetRun { RunName("run"), old, 0, 9, 9, 9 }).status == RunStatus::NotOwner);
    cr_assert(fixture.expect<RunReply>(SetTrainerVersion { RunName("none"), old, 9 }).status == RunStatus::NoSuchRun);
}

// Guards against a reset that delivers samples twice: a checkpoint newer than the last confirmation already contains
// them.
Test(RunLedger, resetWithHeldCursor_aboveConfirmed_confirmsFirst)
{
    OwnedRun fixture;
    static_cast<void>(fixture.handOff(fixture.firstEpoch, 1, 0, {}, groups({ "g1", "g2" })));
    cr_assert(fixture.reset(5, 1, 1, 9).status == RunStatus::CursorInvalid);
    cr_assert(fixture.reset(5, 1, 2, 2).status == RunStatus::Reset);
    cr_assert(fixture.run().groups.size() == 1 && fixture.run().groups.contains(GroupId("g2")));
}

// Guards against a reset that reopens steps which the next submission closes again.
Test(RunLedger, resetToEarlyStep_groupsSubmitted_areStored)
{
    OwnedRun fixture;
    static_cast<void>(fixture.submitGroup("late", 100));
    cr_assert(fixture.submitGroup("early", 10).status == RunStatus::StepClosed);
    cr_assert(fixture.reset(1, 1, 10).status == RunStatus::Reset);
    cr_assert(fixture.submitGroup("early", 10).status == RunStatus::Stored);
    cr_assert(fixture.submitGroup("early2", 10).status == RunStatus::Stored);
}

// Guards against a hand-off that is recorded only partly.
Test(RunLedger, handOffWithOneBadGroup_recorded_changesNothing)
{
    OwnedRun fixture;
    static_cast<void>(fixture.handOff(fixture.firstEpoch, 1, 0, {}, groups({ "g1" })));
    const RunRecord before = fixture.run();
    cr_assert(fixture.handOff(fixture.firstEpoch, 2, 2, {}, groups({ "g2", "unknown" })).group == GroupId("unknown"));
    cr_assert(fixture.run() == before);
}

// Guards against samples missing without an error after a trainer was restored from an older checkpoint.
Test(RunLedger, cursorBelowConfirmed_pulledAndReset_proceeds)
{
    OwnedRun fixture;
    static_cast<void>(fixture.announceVersion(9));
    static_cast<void>(fixture.announceVersion(8));
    cr_assert(fixture.run().version == 9);
    static_cast<void>(fixture.handOff(fixture.firstEpoch, 1, 0, {}, groups({ "g1" })));
    static_cast<void>(fixture.handOff(fixture.firstEpoch, 2, 2, {}, groups({ "g2" })));
    const RunReply behind = fixture.handOff(fixture.firstEpoch, 3, 0, {}, {});
    cr_assert(behind.status == RunStatus::CursorBehind && behind.detail.find("at least 5") != std::string::npos);
    cr_assert(fixture.reset(4, 3, 1).status == RunStatus::ResetCursorTooLow);
    cr_assert(fixture.reset(5, 3, 1).status == RunStatus::Reset);
    cr_assert(fixture.run().version == 3 && fixture.run().outstanding.empty());
    // A second reset by a delayed copy of the request must not lower the version again.
    static_cast<void>(fixture.announceVersion(4));
    cr_assert(fixture.reset(5, 3, 1).status == RunStatus::ResetCursorTooLow);
    cr_assert(fixture.submitGroup("g1", 1).status == RunStatus::Stored && fixture.run().groups.size() == 2);
    const RunReply next = fixture.handOff(fixture.firstEpoch, 4, 5, {}, groups({ "g1" }));
    cr_assert(next.assigned[0].sequences == std::vector<Sequence>({ 6, 7 }));
}

// Guards against unbounded memory use by the groups of one run.
Test(RunLedger, tooManyGroups_submitted_areRefusedAsAWhole)
{
    Fixture fixture;
    static_cast<void>(fixture.acquireRun(holder("a")));
    for (std::size_t batch = 0; batch < 5; ++batch) {
        SubmitGroups submission { RunName("run"), fixture.epoch(), {} };
        for (std::size_t i = 0; i < 4096; ++i)
            submission.groups.push_back({ GroupId(std::to_string(batch * 4096 + i)), 1, "p", 1, 10 });
        const RunReply reply = fixture.expect<RunReply>(submission);
        cr_assert(reply.status == (batch < 4 ? RunStatus::Stored : RunStatus::RunFull));
    }
    cr_assert(fixture.run().groups.size() == RunLedger::maxGroups);
}
