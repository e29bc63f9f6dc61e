#include "azurepaddle/rollout/run_scheduler.hpp"

#include "azurepaddle/core/invariant.hpp"

#include <algorithm>

namespace azurepaddle::rollout {

using namespace internal;

RunScheduler::RunScheduler(RunSettings settings, RunName run, const control::RunRecord& record, TimePoint now)
    : m_settings(settings)
    , m_run(std::move(run))
    , m_epoch(record.epoch)
    , m_forecast(record.version, settings.initialVersionInterval, now)
{
    reload(record, now);
}

void RunScheduler::reload(const control::RunRecord& record, TimePoint now)
{
    m_isFenced = m_isFenced || record.epoch != m_epoch;
    m_needsReload = false;
    m_committingPull.reset();
    ++m_generation;
    m_recordedPull = record.pull;
    m_confirmed = record.confirmed;
    m_seenPull = std::max(m_seenPull, record.pull);
    m_answeredPull = std::max(m_answeredPull, record.pull);
    for (auto group = m_groups.begin(); group != m_groups.end();) {
        const auto current = group++;
        if (!record.groups.contains(current->second.spec.group))
            removeGroup(current);
    }
    for (const auto& [id, group] : record.groups) {
        const bool isNew = !m_orders.contains(id);
        if (isNew)
            addGroup(group.spec, group.ordinal);
        const auto state = m_groups.find(m_orders.at(id));
        for (std::uint32_t index = 0; isNew && index < group.sequences.size(); ++index) {
            if (group.sequences[index] == 0)
                continue;
            m_pending.erase(pendingKeyOf(state, index));
            state->second.samples[index].state = SampleState::BodyMissing;
            state->second.samples[index].wasAttempted = true;
        }
        applySequences(state, group.sequences);
    }
    m_lastOrdinal = record.groupsSubmitted;
    setTrainerVersion(record.version, now);
    dropStaleUnassigned(now);
}

void RunScheduler::onReset(const control::RunRecord& record, TimePoint now)
{
    m_forecast.reset(record.version, now);
    reload(record, now);
}

void RunScheduler::submitGroups(const std::vector<control::GroupSpec>& stored)
{
    for (const control::GroupSpec& spec : stored) {
        if (!m_orders.contains(spec.group))
            addGroup(spec, ++m_lastOrdinal);
    }
}

void RunScheduler::setTrainerVersion(WeightVersion version, TimePoint now)
{
    if (version <= m_forecast.current())
        return;
    m_forecast.onVersion(version, now);
    cancelStaleAttempts(now);
    dropStaleUnassigned(now);
}

void RunScheduler::addGroup(const control::GroupSpec& spec, std::uint64_t ordinal)
{
    const GroupOrder order { spec.step, ordinal };
    const auto group = m_groups.emplace(order, GroupState { spec, std::vector<SampleSlot>(spec.samples) }).first;
    m_orders.emplace(spec.group, order);
    m_steps[spec.step].samples += spec.samples;
    for (std::uint32_t index = 0; index < spec.samples; ++index)
        m_pending.insert(pendingKeyOf(group, index));
}

void RunScheduler::removeGroup(Groups::iterator group)
{
    for (std::uint32_t index = 0; index < group->second.samples.size(); ++index)
        confirmSample(group, index);
    m_orders.erase(group->second.spec.group);
    const std::uint64_t step = group->first.step;
    m_groups.erase(group);
    const auto next = m_groups.lower_bound({ step, 0 });
    if (next == m_groups.end() || next->first.step != step)
        m_steps.erase(step);
}

void RunScheduler::applySequences(Groups::iterator group, const std::vector<Sequence>& sequences)
{
    for (std::uint32_t index = 0; index < sequences.size(); ++index) {
        SampleSlot& slot = group->second.samples[index];
        slot.sequence = sequences[index];
        if (slot.sequence != 0 && slot.sequence <= m_confirmed)
            confirmSample(group, index);
        else if (slot.sequence == 0 && slot.state == SampleState::BodyMissing)
            makePending(group, index, {});
    }
}

void RunScheduler::makePending(Groups::iterator group, std::uint32_t index, TimePoint notBefore)
{
    SampleSlot& slot = group->second.samples[index];
    const SampleKey key = keyOf(group, index);
    if (slot.state == SampleState::Ready || slot.state == SampleState::Scoring)
        --m_steps[group->first.step].complete;
    cancelAttempts(slot);
    m_buffer.remove(key);
    m_awaitingScoring.erase(key);
    slot.state = SampleState::Pending;
    slot.notBefore = notBefore;
    m_pending.insert(pendingKeyOf(group, index));
}

void RunScheduler::confirmSample(Groups::iterator group, std::uint32_t index)
{
    SampleSlot& slot = group->second.samples[index];
    if (slot.state == SampleState::Confirmed)
        return;
    const SampleKey key = keyOf(group, index);
    if (slot.state != SampleState::Ready && slot.state != SampleState::Scoring)
        ++m_steps[group->first.step].complete;
    m_pending.erase(pendingKeyOf(group, index));
    cancelAttempts(slot);
    m_buffer.remove(key);
    m_awaitingScoring.erase(key);
    slot.state = SampleState::Confirmed;
}

void RunScheduler::cancelAttempts(SampleSlot& slot)
{
    for (const AttemptId id : slot.attempts) {
        m_running.erase(id);
        m_cancelled.push_back(id);
    }
    slot.attempts.clear();
}

std::vector<AttemptId> RunScheduler::takeCancelled()
{
    return std::exchange(m_cancelled, {});
}

SampleSlot& RunScheduler::slotOf(const RunningAttempt& attempt)
{
    return m_groups.at(attempt.order).samples[attempt.index];
}

SampleKey RunScheduler::keyOf(Groups::const_iterator group, std::uint32_t index)
{
    return { group->second.spec.group, index };
}

PendingKey RunScheduler::pendingKeyOf(Groups::const_iterator group, std::uint32_t index)
{
    return { group->first.step, !group->second.samples[index].wasAttempted, group->first.ordinal, index };
}

std::vector<ScoringTask> RunScheduler::nextScoringTasks(std::size_t limit)
{
    std::vector<ScoringTask> tasks;
    while (tasks.size() < limit && !m_awaitingScoring.empty()) {
        const SampleKey key = *m_awaitingScoring.begin();
        m_awaitingScoring.erase(m_awaitingScoring.begin());
        tasks.push_back({ key, m_buffer.find(key)->body });
    }
    return tasks;
}

void RunScheduler::onScored(const ScoringTask& task, double score, TimePoint now)
{
    const BufferedSample* const sample = m_buffer.find(task.sample);
    // The sample may have been dropped and generated again while it was being scored.
    if (sample == nullptr || sample->body != task.body)
        return;
    SampleSlot& slot = m_groups.at(m_orders.at(task.sample.group)).samples[task.sample.index];
    if (slot.state != SampleState::Scoring)
        return;
    slot.state = SampleState::Ready;
    m_awaitingScoring.erase(task.sample);
    m_buffer.setScore(task.sample, score, now);
}

void RunScheduler::onScoringFailed(const ScoringTask& task)
{
    const BufferedSample* const sample = m_buffer.find(task.sample);
    if (sample == nullptr || sample->body != task.body || sample->score)
        return;
    m_awaitingScoring.insert(task.sample);
}

}
