#include "azurepaddle/rollout/simulation.hpp"

#include <criterion/criterion.h>

namespace azurepaddle::rollout::test {

using namespace std::chrono_literals;

namespace {

    RunSettings settingsOf(bool isScored)
    {
        RunSettings settings;
        settings.stalenessBound = Simulation::stalenessBound;
        settings.isScored = isScored;
        settings.initialDuration = 100ms;
        settings.initialVersionInterval = 5s;
        settings.retryDelay = 20ms;
        settings.maxRetryDelay = 200ms;
        settings.bufferBytes = 6'000;
        return settings;
    }

}

Simulation::Simulation(std::uint64_t seed, bool isScored)
    : m_seed(seed)
    , m_random(seed)
    , m_isScored(isScored)
{
    changeOwner();
    static_cast<void>(commit(control::SetTrainerVersion { RunName("run"), current().epoch, 1 }));
    current().scheduler.setTrainerVersion(1, m_now);
    submitStep(1);
}

void Simulation::run()
{
    const TimePoint limit = m_now + 600s;
    while (m_trainer.accepted.size() < steps * groupsPerStep * samplesPerGroup) {
        require(m_now < limit, fmt::format("the run did not finish in time: {} samples accepted", m_trainer.accepted.size()));
        m_now += 5ms;
        if (m_random.chance(0.002))
            changeOwner();
        for (const auto& owner : m_owners)
            runEngines(*owner);
        deliverCalls();
        deliverCommits();
        deliverAnswers();
        runTrainer();
    }
}

void Simulation::require(bool condition, const std::string& failure) const
{
    cr_assert(condition, "seed %lu: %s", m_seed, failure.c_str());
}

control::RunReply Simulation::commit(control::ControlAction action)
{
    return apply(control::CommandId("direct-" + std::to_string(++m_commands)), std::move(action));
}

control::RunReply Simulation::apply(const control::CommandId& id, control::ControlAction action)
{
    const control::LogTime now = std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()).count();
    return std::get<control::RunReply>(m_ledger.apply({ id, now, now, std::move(action) }));
}

/// Transfers the run to a new owner. The previous owner is not notified and continues to run.
void Simulation::changeOwner()
{
    if (!m_owners.empty())
        static_cast<void>(commit(control::ReleaseRun { RunName("run"), current().epoch }));
    const control::Holder holder { InstanceId("i" + std::to_string(m_owners.size())), 1 };
    const control::RunReply granted = commit(control::AcquireRun { RunName("run"), holder, 1'000 });
    require(granted.status == control::RunStatus::Granted, "the ledger rejected a command of the owner");
    m_owners.push_back(std::make_unique<Owner>(
        Owner { granted.epoch, RunScheduler(settingsOf(m_isScored), RunName("run"), record(), m_now), std::nullopt, {}, {}, {} }));
}

void Simulation::submitStep(std::uint64_t step)
{
    std::vector<control::GroupSpec> specs;
    for (std::uint32_t group = 0; group < groupsPerStep; ++group) {
        const GroupId id(std::to_string(step) + "." + std::to_string(group));
        // A restored trainer resubmits only the groups that it does not hold.
        if (!m_trainer.accepted.contains({ id, 0 }))
            specs.push_back({ id, step, "prompt", samplesPerGroup, 64 });
    }
    const control::RunReply reply = commit(control::SubmitGroups { RunName("run"), current().epoch, specs });
    require(reply.status == control::RunStatus::Stored, "the ledger rejected a command of the owner");
    std::vector<control::GroupSpec> stored;
    for (const control::GroupSpec& spec : specs) {
        if (std::find(reply.stored.begin(), reply.stored.end(), spec.group) != reply.stored.end())
            stored.push_back(spec);
    }
    current().scheduler.submitGroups(stored);
    m_submitted = std::max(m_submitted, step);
}

void Simulation::runEngines(Owner& owner)
{
    const std::size_t slots = 8;
    const std::size_t used = owner.engineFinishTimes.size();
    for (Attempt& attempt : owner.scheduler.nextAttempts(m_now, slots - std::min(slots, used))) {
        const std::int64_t duration = m_random.chance(0.05) ? 3'000 : 80;
        owner.engineFinishTimes[attempt.id] = randomTimeWithin(duration) + 20ms;
        owner.startVersions[attempt.id] = m_trainer.version;
        if (m_random.chance(0.5))
            owner.scheduler.onAttemptSent(attempt.id, EndpointId("e"), m_trainer.version);
        owner.attempts[attempt.id] = std::move(attempt);
    }
    for (const AttemptId id : owner.scheduler.takeCancelled())
        owner.engineFinishTimes.erase(id);
    for (auto attempt = owner.engineFinishTimes.begin(); attempt != owner.engineFinishTimes.end();) {
        const auto [id, finishes] = *attempt;
        if (finishes > m_now) {
            ++attempt;
            continue;
        }
        attempt = owner.engineFinishTimes.erase(attempt);
        if (m_random.chance(0.05))
            owner.scheduler.onAttemptFailed(id, m_now);
        else
            static_cast<void>(owner.scheduler.onAttemptFinished(id, generate(owner, id), m_now));
    }
    for (const ScoringTask& task : owner.scheduler.nextScoringTasks(4)) {
        if (m_random.chance(0.2))
            owner.scheduler.onScoringFailed(task);
        else
            owner.scheduler.onScored(task, 0.5, m_now);
    }
}

/// Generates a body whose text holds the correct oldest version. Labels are occasionally wrong or missing.
SampleBody Simulation::generate(const Owner& owner, AttemptId id)
{
    const WeightVersion first = std::min(owner.startVersions.at(id), m_trainer.version);
    SampleBody body;
    body.text = std::to_string(first) + std::string(200, ' ');
    body.tokens = 20;
    body.spans = { { 0, 12, first }, { 12, 8, m_trainer.version } };
    if (m_random.chance(0.05))
        body.spans[1].version = std::nullopt;
    else if (m_random.chance(0.05))
        body.spans[0].version = m_trainer.version + 1;
    else if (m_random.chance(0.05))
        body.spans[1].firstToken = 13;
    return body;
}

void Simulation::runTrainer()
{
    if (m_random.chance(0.002))
        m_checkpoint = m_trainer;
    if (m_random.chance(0.0005))
        restoreTrainer();
    while (m_submitted < steps && m_submitted < m_trainer.step + 1)
        submitStep(m_submitted + 1);
    if (m_random.chance(0.004))
        announceVersion();
    if (m_now - m_pulledAt < 150ms && !m_random.chance(0.02))
        return;
    m_pulledAt = m_now;
    const PullRequest request { ++m_pull, m_trainer.cursor, m_trainer.version, 7 };
    while (m_random.chance(0.85)) {
        m_calls.push_back({ request, randomTimeWithin(m_random.chance(0.1) ? 1'000 : 20) });
        if (!m_random.chance(0.1))
            break;
    }
}

void Simulation::announceVersion()
{
    const control::RunReply reply = commit(control::SetTrainerVersion { RunName("run"), current().epoch, m_trainer.version + 1 });
    require(reply.status == control::RunStatus::Recorded, "the ledger rejected a command of the owner");
    ++m_trainer.version;
    if (m_random.chance(0.8))
        current().scheduler.setTrainerVersion(m_trainer.version, m_now);
}

/// Restores the trainer from its checkpoint and drops what it accepted since. Pull numbers continue to increase, as the
/// ledger requires.
void Simulation::restoreTrainer()
{
    const WeightVersion version = m_trainer.version;
    m_trainer = m_checkpoint;
    // A restarted trainer ignores replies to pulls sent before the restart.
    ++m_pull;
    if (m_trainer.cursor < record().confirmed || m_trainer.version < version)
        resetRun();
}

void Simulation::resetRun()
{
    const Sequence cursor = record().highest + 1;
    const control::RunReply reply = commit(control::ResetRun { RunName("run"), current().epoch, m_trainer.cursor, cursor, m_trainer.version, m_trainer.step });
    require(reply.status == control::RunStatus::Reset, "the ledger rejected a command of the owner");
    current().scheduler.onReset(record(), m_now);
    current().pendingPlan.reset();
    m_trainer.cursor = cursor;
    m_checkpoint = m_trainer;
    // Replies to pulls sent before the reset are dropped, as are replies to any older pull.
    ++m_pull;
    ++m_resets;
    m_submitted = m_trainer.step - 1;
}

}
