#include "azurepaddle/control/control_state.hpp"
#include "azurepaddle/rollout/run_scheduler.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::rollout;
using namespace std::chrono_literals;

namespace {

/// One owner with a ledger that replies immediately.
struct Fixture {
    control::RunLedger ledger;
    control::Epoch epoch = 0;
    TimePoint now { 1000s };
    RunScheduler scheduler;
    std::uint64_t pulls = 0;

    explicit Fixture(RunSettings settings = {}, std::uint32_t groups = 2, std::uint32_t samples = 2)
        : epoch(ledger.acquire({ RunName("run"), { InstanceId("a"), 1 }, 5'000 }, 0).epoch)
        , scheduler(settings, RunName("run"), record(), now)
    {
        announce(5);
        submit(1, groups, samples);
    }

    const control::RunRecord& record() const { return *ledger.find(RunName("run")); }

    void submit(std::uint64_t step, std::uint32_t groups, std::uint32_t samples)
    {
        std::vector<control::GroupSpec> specs;
        for (std::uint32_t i = 0; i < groups; ++i)
            specs.push_back({ GroupId(std::to_string(step) + "." + std::to_string(i)), step, "prompt", samples, 64 });
        cr_assert(ledger.submit({ RunName("run"), epoch, specs }).stored.size() == groups);
        scheduler.submitGroups(specs);
    }

    void announce(WeightVersion version)
    {
        cr_assert(ledger.setVersion({ RunName("run"), epoch, version }).status == control::RunStatus::Recorded);
        scheduler.setTrainerVersion(version, now);
    }

    AttemptOutcome finish(AttemptId id, WeightVersion first, WeightVersion last, std::size_t size = 10)
    {
        SampleBody body;
        body.text = std::string(size, 't');
        body.tokens = 10;
        body.spans = { { 0, 4, first }, { 4, 6, last } };
        return scheduler.onAttemptFinished(id, body, now);
    }

    void finishAll(WeightVersion version)
    {
        for (const Attempt& attempt : scheduler.nextAttempts(now, 1000))
            cr_assert(finish(attempt.id, version, version) == AttemptOutcome::Accepted);
    }

    PullReply pull(Sequence cursor, WeightVersion version = 0, std::uint32_t maxSamples = 100)
    {
        const PullDecision decision = scheduler.planPull({ ++pulls, cursor, version, maxSamples }, now);
        if (const auto* const plan = std::get_if<HandOffPlan>(&decision))
            return scheduler.completePull(*plan, ledger.recordHandOff(plan->record), now);
        return std::get<PullReply>(decision);
    }
};

std::vector<std::string> samplesOf(const std::vector<Attempt>& attempts)
{
    std::vector<std::string> names;
    for (const Attempt& attempt : attempts)
        names.push_back(attempt.sample.group.value() + "/" + std::to_string(attempt.sample.index));
    return names;
}

}

// Detects accepted samples with tokens that have no label or with contradictory labels.
Test(Labels, eachContradiction_checked_isRejected)
{
    SampleBody body { "text", 10, { { 0, 4, 3 }, { 4, 6, 5 } }, "stop" };
    cr_assert(checkLabels(body, 5) == VersionRange({ 3, 5 }));
    cr_assert(!checkLabels(body, 4), "a version newer than announced was accepted");
    const auto broken = [&](auto change) {
        SampleBody copy = body;
        change(copy);
        return !checkLabels(copy, 5);
    };
    cr_assert(broken([](SampleBody& copy) { copy.spans[0].version = 5; copy.spans[1].version = 3; }));
    cr_assert(broken([](SampleBody& copy) { copy.spans[1].version.reset(); }));
    cr_assert(broken([](SampleBody& copy) { copy.spans[1].firstToken = 5; }));
    cr_assert(broken([](SampleBody& copy) { copy.tokens = 11; }));
    cr_assert(broken([](SampleBody& copy) { copy.spans.clear(); }));
}

// Detects later steps that are generated before earlier ones, and retries that are queued after new samples.
Test(RunScheduler, attempts_requested_areOrderedByStepWithRetriesFirst)
{
    Fixture fixture;
    fixture.submit(2, 1, 2);
    const auto first = fixture.scheduler.nextAttempts(fixture.now, 3);
    cr_assert(samplesOf(first) == std::vector<std::string>({ "1.0/0", "1.0/1", "1.1/0" }));
    fixture.scheduler.onAttemptFailed(first[2].id, fixture.now);
    cr_assert(samplesOf(fixture.scheduler.nextAttempts(fixture.now, 1)) == std::vector<std::string>({ "1.1/1" }));
    fixture.now += 1s;
    cr_assert(samplesOf(fixture.scheduler.nextAttempts(fixture.now, 2)) == std::vector<std::string>({ "1.1/0", "2.0/0" }));
    cr_assert(fixture.scheduler.counters().regenerated == 1);
}

// Detects a step that is blocked by one slow attempt, and two accepted results for one sample.
Test(RunScheduler, straggler_overMultipleOfMedian_startsSecondAttempt)
{
    Fixture fixture({}, 5, 2);
    const auto attempts = fixture.scheduler.nextAttempts(fixture.now, 100);
    fixture.scheduler.onAttemptSent(attempts[9].id, EndpointId("slow"), 5);
    fixture.now += 1s;
    for (std::size_t i = 0; i < 9; ++i)
        cr_assert(fixture.finish(attempts[i].id, 5, 5) == AttemptOutcome::Accepted);
    fixture.now += 1s;
    cr_assert(fixture.scheduler.nextAttempts(fixture.now, 100).empty());
    fixture.now += 1ms;
    cr_assert(fixture.scheduler.nextAttempts(fixture.now, 0).empty());
    const auto second = fixture.scheduler.nextAttempts(fixture.now, 100);
    cr_assert(second.size() == 1 && second[0].duplicateOf == attempts[9].id && second[0].avoidedEndpoint == EndpointId("slow") && second[0].isInStepTail);
    cr_assert(fixture.scheduler.nextAttempts(fixture.now + 10s, 100).empty(), "a third attempt was started");
    cr_assert(fixture.finish(second[0].id, 5, 5) == AttemptOutcome::Accepted);
    cr_assert(fixture.scheduler.takeCancelled() == std::vector<AttemptId> { attempts[9].id });
    cr_assert(fixture.finish(attempts[9].id, 5, 5) == AttemptOutcome::Obsolete);
    cr_assert(fixture.scheduler.counters().duplicateWins == 1 && fixture.pull(0).samples.size() == 10);
}

// Detects a slow attempt that continues to run in parallel with its replacement under the Move policy.
Test(RunScheduler, straggler_underMovePolicy_isCancelledFirst)
{
    RunSettings settings;
    settings.stragglerPolicy = StragglerPolicy::Move;
    Fixture fixture(settings, 1, 2);
    const auto attempts = fixture.scheduler.nextAttempts(fixture.now, 100);
    fixture.now += 1s;
    static_cast<void>(fixture.finish(attempts[0].id, 5, 5));
    fixture.now += 5s;
    cr_assert(fixture.scheduler.nextAttempts(fixture.now, 100).size() == 1);
    cr_assert(fixture.scheduler.takeCancelled() == std::vector<AttemptId> { attempts[1].id });
}

// Detects attempts that are started although their samples would be stale on completion, and a deadlock in which the
// trainer waits for samples whose attempts are deferred.
Test(RunScheduler, versionChangeExpected_attemptsRequested_startOnlyIfAwaited)
{
    RunSettings settings;
    settings.stalenessBound = 0;
    settings.initialVersionInterval = 100s;
    settings.initialDuration = 10s;
    Fixture fixture(settings);
    fixture.now += 89s;
    cr_assert(fixture.scheduler.nextAttempts(fixture.now, 1).size() == 1);
    fixture.now += 2s;
    cr_assert(fixture.scheduler.nextAttempts(fixture.now, 1).empty());
    cr_assert(fixture.pull(0).status == PullStatus::Empty);
    const auto awaited = fixture.scheduler.nextAttempts(fixture.now, 1);
    cr_assert(awaited.size() == 1 && awaited[0].minimumVersion == 5);
    fixture.scheduler.setServedVersion(4);
    cr_assert(fixture.scheduler.nextAttempts(fixture.now, 1).empty(), "an attempt was started although no endpoint serves a version within the bound");
}

// Detects attempts that continue although their version already exceeds the staleness bound.
Test(RunScheduler, versionRises_attemptsWithOldVersion_areCancelled)
{
    Fixture fixture({}, 1, 2);
    const auto attempts = fixture.scheduler.nextAttempts(fixture.now, 2);
    fixture.scheduler.onAttemptSent(attempts[0].id, EndpointId("e"), 5);
    fixture.announce(6);
    cr_assert(fixture.scheduler.takeCancelled().empty());
    fixture.announce(7);
    cr_assert(fixture.scheduler.takeCancelled() == std::vector<AttemptId> { attempts[0].id });
    cr_assert(fixture.finish(attempts[1].id, 5, 7) == AttemptOutcome::Stale);
    cr_assert(fixture.scheduler.counters().cancelledStale == 1 && fixture.scheduler.counters().discardedStale == 1);
}

// Detects samples with wrong labels that are delivered to the trainer.
Test(RunScheduler, badLabel_finished_isGeneratedAgain)
{
    Fixture fixture({}, 1, 1);
    const auto attempts = fixture.scheduler.nextAttempts(fixture.now, 1);
    cr_assert(fixture.finish(attempts[0].id, 5, 6) == AttemptOutcome::BadLabel);
    fixture.now += 1s;
    fixture.finishAll(5);
    cr_assert(fixture.pull(0).samples.size() == 1);
}

// Detects samples that are handed off before they are scored, and scores of a replaced body that are applied to the
// new one.
Test(RunScheduler, scoredRun_pulled_waitsForScores)
{
    RunSettings settings;
    settings.isScored = true;
    Fixture fixture(settings, 1, 1);
    fixture.finishAll(5);
    cr_assert(fixture.pull(0).status == PullStatus::Empty);
    const auto old = fixture.scheduler.nextScoringTasks(10);
    cr_assert(old.size() == 1 && fixture.scheduler.nextScoringTasks(10).empty());
    fixture.announce(7);
    fixture.finishAll(7);
    fixture.scheduler.onScored(old[0], 0.1, fixture.now);
    cr_assert(fixture.pull(0).status == PullStatus::Empty);
    const auto current = fixture.scheduler.nextScoringTasks(10);
    fixture.scheduler.onScoringFailed(current[0]);
    fixture.scheduler.onScored(fixture.scheduler.nextScoringTasks(10).at(0), 0.9, fixture.now);
    const PullReply reply = fixture.pull(0);
    cr_assert(reply.samples.size() == 1 && reply.samples[0].score == 0.9);
}

// Detects samples that are resent under different sequence numbers, and stale samples in a resend.
Test(RunScheduler, pullRepeatedAtSameCursor_freshAndStale_resendsOrVoids)
{
    Fixture fixture;
    fixture.finishAll(5);
    const PullReply first = fixture.pull(0);
    cr_assert(first.samples.size() == 4 && first.nextCursor == 4);
    const PullReply again = fixture.pull(0);
    cr_assert(again.samples.size() == 4 && again.samples[3].sequence == 4 && again.samples[3].body == first.samples[3].body);
    cr_assert(fixture.scheduler.counters().resent == 4 && fixture.scheduler.counters().handedOff == 4);
    cr_assert(fixture.pull(0, 7).status == PullStatus::Empty);
    cr_assert(fixture.record().outstanding.empty() && fixture.scheduler.counters().discardedStale == 4);
    fixture.finishAll(7);
    const PullReply fresh = fixture.pull(0, 7);
    cr_assert(fresh.samples.size() == 4 && fresh.samples[0].sequence == 5 && fresh.version == 7);
    cr_assert(fixture.pull(8, 7).status == PullStatus::Empty);
    cr_assert(fixture.scheduler.openGroups() == 0 && fixture.scheduler.bufferedBytes() == 0);
}

// Detects delivered samples that exceed the age bound of the run although their version is within the staleness bound.
Test(RunScheduler, ageBound_passed_samplesAreGeneratedAgain)
{
    RunSettings settings;
    settings.ageBound = 60s;
    Fixture fixture(settings);
    fixture.finishAll(5);
    fixture.now += 61s;
    cr_assert(fixture.pull(0).status == PullStatus::Empty);
    cr_assert(fixture.scheduler.counters().discardedStale == 4);
    fixture.finishAll(5);
    cr_assert(fixture.pull(0).samples.size() == 4);
    fixture.now += 61s;
    cr_assert(fixture.pull(0).status == PullStatus::Empty, "a sample beyond the age bound was resent");
}

// Detects a stale hand-off when the version increases while the record is being committed.
Test(RunScheduler, versionRisesDuringCommit_completed_sendsNothing)
{
    Fixture fixture;
    fixture.finishAll(5);
    const auto plan = std::get<HandOffPlan>(fixture.scheduler.planPull({ 1, 0, 5, 100 }, fixture.now));
    const auto recorded = fixture.ledger.recordHandOff(plan.record);
    fixture.announce(7);
    cr_assert(fixture.scheduler.completePull(plan, recorded, fixture.now).status == PullStatus::Retry);
    fixture.pulls = 1;
    cr_assert(fixture.pull(0).status == PullStatus::Empty);
}

// Detects two concurrent pulls that are planned from the same state, and samples sent in reply to an old pull.
Test(RunScheduler, twoPullsAtOnce_planned_oneWaitsAndOldIsSuperseded)
{
    Fixture fixture;
    fixture.finishAll(5);
    const auto plan = std::get<HandOffPlan>(fixture.scheduler.planPull({ 2, 0, 5, 100 }, fixture.now));
    const auto other = [&](std::uint64_t pull) { return std::get<PullReply>(fixture.scheduler.planPull({ pull, 0, 5, 100 }, fixture.now)).status; };
    cr_assert(other(1) == PullStatus::Superseded && other(3) == PullStatus::Retry);
    cr_assert(fixture.scheduler.completePull(plan, fixture.ledger.recordHandOff(plan.record), fixture.now).samples.size() == 4);
    cr_assert(other(2) == PullStatus::Superseded);
    const auto next = std::get<HandOffPlan>(fixture.scheduler.planPull({ 3, 0, 5, 100 }, fixture.now));
    cr_assert(fixture.scheduler.completePull(next, fixture.ledger.recordHandOff(next.record), fixture.now).samples.size() == 4);
}

// Detects a plan that ignores a hand-off which was recorded after its client had abandoned it.
Test(RunScheduler, abandonedCommit_landingLate_outdatesNewPlan)
{
    Fixture fixture;
    fixture.finishAll(5);
    const auto late = std::get<HandOffPlan>(fixture.scheduler.planPull({ 1, 0, 5, 100 }, fixture.now));
    fixture.scheduler.abandonPull();
    fixture.scheduler.reload(fixture.record(), fixture.now);
    const auto plan = std::get<HandOffPlan>(fixture.scheduler.planPull({ 2, 0, 5, 100 }, fixture.now));
    cr_assert(fixture.ledger.recordHandOff(late.record).status == control::RunStatus::Recorded);
    const control::RunReply outdated = fixture.ledger.recordHandOff(plan.record);
    cr_assert(outdated.status == control::RunStatus::BasePullOutdated);
    cr_assert(fixture.scheduler.completePull(plan, outdated, fixture.now).status == PullStatus::Retry && fixture.scheduler.needsReload());
    fixture.scheduler.reload(fixture.record(), fixture.now);
    fixture.pulls = 2;
    cr_assert(fixture.pull(0).samples.size() == 4);
}

// Detects pulls that are planned from state that may be outdated, and replies to abandoned plans that are applied.
Test(RunScheduler, abandonedPull_plannedAgain_waitsForReloadAndIgnoresOldReply)
{
    Fixture fixture;
    fixture.finishAll(5);
    const PullRequest request { 1, 0, 5, 100 };
    const auto old = std::get<HandOffPlan>(fixture.scheduler.planPull(request, fixture.now));
    fixture.scheduler.abandonPull();
    cr_assert(std::get<PullReply>(fixture.scheduler.planPull(request, fixture.now)).status == PullStatus::Retry);
    fixture.scheduler.reload(fixture.record(), fixture.now);
    cr_assert(std::holds_alternative<HandOffPlan>(fixture.scheduler.planPull(request, fixture.now)));
    cr_assert(fixture.scheduler.completePull(old, fixture.ledger.recordHandOff(old.record), fixture.now).status == PullStatus::Retry);
}

// Detects a previous owner that hands off samples after its replacement, and a new owner that resends sequence numbers
// without having the bodies.
Test(RunScheduler, ownerChange_pulled_voidsAndGeneratesAgain)
{
    Fixture fixture;
    fixture.finishAll(5);
    cr_assert(fixture.pull(0).samples.size() == 4);
    cr_assert(fixture.pull(2).samples.size() == 2);
    static_cast<void>(fixture.ledger.release({ RunName("run"), fixture.epoch }, 0));
    const auto epoch = fixture.ledger.acquire({ RunName("run"), { InstanceId("b"), 1 }, 5'000 }, 0).epoch;
    RunScheduler successor({}, RunName("run"), fixture.record(), fixture.now);
    cr_assert(successor.nextAttempts(fixture.now, 100).empty(), "samples that the trainer may hold were generated again");
    cr_assert(fixture.pull(2).status == PullStatus::NotOwner && fixture.scheduler.isFenced());
    const auto plan = std::get<HandOffPlan>(successor.planPull({ 10, 2, 5, 100 }, fixture.now));
    cr_assert(plan.record.epoch == epoch && plan.record.voided == std::vector<GroupId> { GroupId("1.1") });
    cr_assert(successor.completePull(plan, fixture.ledger.recordHandOff(plan.record), fixture.now).status == PullStatus::Empty);
    cr_assert(successor.nextAttempts(fixture.now, 100).size() == 2);
}

// Detects delivered samples with versions that a restored trainer has not reached yet.
Test(RunScheduler, runReset_pulled_generatesWithRestoredVersion)
{
    Fixture fixture;
    fixture.finishAll(5);
    cr_assert(fixture.pull(0).nextCursor == 4);
    cr_assert(fixture.pull(4).status == PullStatus::Empty);
    const PullReply behind = fixture.pull(0);
    cr_assert(behind.status == PullStatus::CursorBehind && !behind.detail.empty());
    fixture.submit(2, 1, 1);
    fixture.finishAll(5);
    cr_assert(fixture.ledger.reset({ RunName("run"), fixture.epoch, 0, 5, 3, 1 }).status == control::RunStatus::Reset);
    fixture.scheduler.onReset(fixture.record(), fixture.now);
    cr_assert(fixture.pull(5, 3).status == PullStatus::Empty, "a sample of a later version was handed off");
    fixture.finishAll(3);
    cr_assert(fixture.pull(5, 3).nextCursor == 6);
}

// Detects buffered bodies that exceed the memory limit, and a run that stalls because of the limit.
Test(RunScheduler, smallBuffer_filled_staysBoundedAndProgresses)
{
    RunSettings settings;
    settings.bufferBytes = 5'000;
    settings.maxSampleBytes = 2'000;
    Fixture fixture(settings, 20, 2);
    Sequence cursor = 0;
    for (int round = 0; round < 200 && cursor < 40; ++round) {
        fixture.now += 100ms;
        for (const Attempt& attempt : fixture.scheduler.nextAttempts(fixture.now, 10))
            static_cast<void>(fixture.finish(attempt.id, 5, 5, 800));
        cr_assert(fixture.scheduler.bufferedBytes() <= settings.bufferBytes + 2 * settings.maxSampleBytes);
        const PullReply reply = fixture.pull(cursor, 5, 4);
        cr_assert(reply.samples.size() <= 4);
        cursor = reply.nextCursor;
    }
    cr_assert(cursor == 40);
    fixture.submit(2, 1, 1);
    cr_assert(fixture.finish(fixture.scheduler.nextAttempts(fixture.now, 1).at(0).id, 5, 5, 2'000) == AttemptOutcome::TooLarge);
}

// Detects groups of a later step that are handed off while an earlier step is incomplete and then become stale at the
// trainer.
Test(RunScheduler, laterStepReady_pulled_waitsForEarlierStep)
{
    Fixture fixture({}, 2, 1);
    fixture.submit(2, 1, 1);
    const auto attempts = fixture.scheduler.nextAttempts(fixture.now, 3);
    static_cast<void>(fixture.finish(attempts[2].id, 5, 5));
    cr_assert(fixture.pull(0).status == PullStatus::Empty);
    static_cast<void>(fixture.finish(attempts[1].id, 5, 5));
    cr_assert(fixture.pull(0).samples.size() == 1);
    static_cast<void>(fixture.finish(attempts[0].id, 5, 5));
    cr_assert(fixture.pull(1).samples.size() == 2);
}
