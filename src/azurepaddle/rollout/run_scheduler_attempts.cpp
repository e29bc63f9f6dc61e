#include "azurepaddle/rollout/run_scheduler.hpp"

#include <algorithm>
#include <cmath>

namespace azurepaddle::rollout {

using namespace internal;

namespace {

    /// Quantile of recent attempt durations that is used as the expected duration of a new attempt.
    constexpr double durationQuantile = 0.9;

}

std::vector<Attempt> RunScheduler::nextAttempts(TimePoint now, std::size_t freeSlots)
{
    std::vector<Attempt> attempts;
    if (m_isFenced)
        return attempts;
    const auto firstToHandOff = firstUnassignedGroup();
    for (auto step = m_steps.begin(); step != m_steps.end() && attempts.size() < freeSlots; ++step) {
        const auto minimum = minimumVersionFor(step->first, now);
        if (!minimum)
            break;
        bool hasPending = false;
        for (auto key = m_pending.lower_bound({ step->first, false, 0, 0 }); key != m_pending.end() && key->step == step->first;) {
            hasPending = true;
            const auto group = m_groups.find({ key->step, key->ordinal });
            const std::uint32_t index = key->index;
            ++key;
            if (attempts.size() >= freeSlots)
                break;
            // The next group to hand off must complete regardless of its size; otherwise, the run would stall.
            const bool isExemptFromMemoryLimit = firstToHandOff != m_groups.end() && firstToHandOff->first == group->first;
            if (group->second.samples[index].notBefore > now || (!isExemptFromMemoryLimit && !hasMemoryForMore()))
                continue;
            attempts.push_back(startAttempt(group, index, now));
            attempts.back().minimumVersion = *minimum;
        }
        if (hasPending && attempts.size() >= freeSlots)
            break;
        const std::size_t before = attempts.size();
        addStragglerAttempts(step->first, now, freeSlots, attempts);
        for (std::size_t i = before; i < attempts.size(); ++i)
            attempts[i].minimumVersion = *minimum;
    }
    return attempts;
}

Attempt RunScheduler::startAttempt(Groups::iterator group, std::uint32_t index, TimePoint now)
{
    SampleSlot& slot = group->second.samples[index];
    m_pending.erase(pendingKeyOf(group, index));
    m_counters.regenerated += slot.wasAttempted ? 1 : 0;
    slot.state = SampleState::Running;
    slot.wasAttempted = true;
    const AttemptId id = ++m_lastAttempt;
    slot.attempts.push_back(id);
    RunningAttempt running;
    running.order = group->first;
    running.index = index;
    running.started = now;
    m_running.emplace(id, running);
    Attempt attempt;
    attempt.id = id;
    attempt.sample = keyOf(group, index);
    attempt.prompt = group->second.spec.prompt;
    attempt.tokenLimit = group->second.spec.tokenLimit;
    attempt.isInStepTail = isStepInTail(group->first.step);
    return attempt;
}

void RunScheduler::addStragglerAttempts(std::uint64_t step, TimePoint now, std::size_t freeSlots, std::vector<Attempt>& attempts)
{
    const StepProgress& progress = m_steps.at(step);
    if (m_settings.stragglerPolicy == StragglerPolicy::None || !isStepInTail(step) || progress.durations.count() == 0)
        return;
    const auto median = std::chrono::duration<double, Duration::period>(progress.durations.quantile(0.5));
    const auto limit = std::chrono::duration_cast<Duration>(median * m_settings.stragglerFactor);
    std::vector<AttemptId> slow;
    for (const auto& [id, attempt] : m_running) {
        if (attempt.order.step == step && now - attempt.started > limit && slotOf(attempt).attempts.size() == 1 && !attempt.isDuplicate)
            slow.push_back(id);
    }
    for (const AttemptId id : slow) {
        if (attempts.size() >= freeSlots)
            return;
        attempts.push_back(startSecondAttempt(id, now));
    }
}

Attempt RunScheduler::startSecondAttempt(AttemptId slow, TimePoint now)
{
    const RunningAttempt first = m_running.at(slow);
    const auto group = m_groups.find(first.order);
    SampleSlot& slot = group->second.samples[first.index];
    if (m_settings.stragglerPolicy == StragglerPolicy::Move)
        cancelAttempts(slot);
    const std::uint64_t regenerated = m_counters.regenerated;
    Attempt attempt = startAttempt(group, first.index, now);
    m_counters.regenerated = regenerated;
    ++m_counters.duplicatedAttempts;
    m_running.at(attempt.id).isDuplicate = true;
    attempt.duplicateOf = slow;
    attempt.avoidedEndpoint = first.endpoint;
    attempt.isInStepTail = true;
    return attempt;
}

std::optional<WeightVersion> RunScheduler::minimumVersionFor(std::uint64_t step, TimePoint now) const
{
    const WeightVersion current = m_forecast.current();
    const Duration expected = m_durations.count() == 0 ? m_settings.initialDuration : m_durations.quantile(durationQuantile);
    // A trainer that waits for the samples of a step does not advance to the next version without them.
    const bool isAwaited = m_isTrainerWaiting && step == lowestIncompleteStep();
    const WeightVersion atHandOff = isAwaited ? current : m_forecast.expectedAt(now + expected);
    const WeightVersion minimum = atHandOff > m_settings.stalenessBound ? atHandOff - m_settings.stalenessBound : 0;
    if (minimum > std::min(current, m_servedVersion))
        return std::nullopt;
    return minimum;
}

bool RunScheduler::isStepInTail(std::uint64_t step) const
{
    const StepProgress& progress = m_steps.at(step);
    const auto share = static_cast<std::uint64_t>(static_cast<double>(progress.samples) * m_settings.tailShare);
    return progress.samples - progress.complete <= std::max<std::uint64_t>(1, share);
}

std::uint64_t RunScheduler::lowestIncompleteStep() const
{
    for (const auto& [step, progress] : m_steps) {
        if (progress.complete < progress.samples)
            return step;
    }
    return m_steps.empty() ? 0 : m_steps.rbegin()->first;
}

RunScheduler::Groups::const_iterator RunScheduler::firstUnassignedGroup() const
{
    return std::find_if(m_groups.begin(), m_groups.end(), [](const auto& group) { return !group.second.hasUnconfirmedSequence(); });
}

bool RunScheduler::hasMemoryForMore() const
{
    if (m_buffer.size() == 0)
        return true;
    const std::size_t mean = m_buffer.bytes() / m_buffer.size();
    return m_buffer.bytes() + (m_running.size() + 1) * mean <= m_settings.bufferBytes;
}

Duration RunScheduler::retryDelay(std::uint32_t failures) const noexcept
{
    constexpr std::uint32_t maxDoublings = 16;
    const Duration delay = m_settings.retryDelay * (1LL << std::min(failures, maxDoublings));
    return std::min(delay, m_settings.maxRetryDelay);
}

void RunScheduler::onAttemptSent(AttemptId id, const EndpointId& endpoint, WeightVersion version)
{
    const auto found = m_running.find(id);
    if (found == m_running.end())
        return;
    found->second.endpoint = endpoint;
    found->second.version = version;
}

AttemptOutcome RunScheduler::onAttemptFinished(AttemptId id, SampleBody body, TimePoint now)
{
    const auto found = m_running.find(id);
    if (found == m_running.end())
        return AttemptOutcome::Obsolete;
    const RunningAttempt attempt = found->second;
    const auto versions = checkLabels(body, m_forecast.current());
    if (!versions || body.bytes() > m_settings.maxSampleBytes) {
        m_counters.badLabels += versions ? 0 : 1;
        onAttemptFailed(id, now);
        return versions ? AttemptOutcome::TooLarge : AttemptOutcome::BadLabel;
    }
    if (versions->oldest + m_settings.stalenessBound < m_forecast.current()) {
        ++m_counters.discardedStale;
        onAttemptFailed(id, now);
        return AttemptOutcome::Stale;
    }
    acceptSample(attempt, id, std::move(body), *versions, now);
    return AttemptOutcome::Accepted;
}

void RunScheduler::acceptSample(const RunningAttempt& attempt, AttemptId id, SampleBody body, VersionRange versions, TimePoint now)
{
    const auto group = m_groups.find(attempt.order);
    SampleSlot& slot = group->second.samples[attempt.index];
    StepProgress& progress = m_steps[attempt.order.step];
    const TimePoint started = attempt.started;
    progress.durations.add(now - started);
    m_durations.add(now - started);
    ++progress.complete;
    ++m_counters.accepted;
    m_counters.duplicateWins += attempt.isDuplicate ? 1 : 0;
    m_running.erase(id);
    std::erase(slot.attempts, id);
    cancelAttempts(slot);
    slot.failures = 0;
    const SampleKey key = keyOf(group, attempt.index);
    m_now = now;
    m_buffer.put(key, { std::make_shared<const SampleBody>(std::move(body)), versions, now, std::nullopt, started });
    slot.state = m_settings.isScored ? SampleState::Scoring : SampleState::Ready;
    if (m_settings.isScored)
        m_awaitingScoring.insert(key);
    evict();
}

void RunScheduler::onAttemptFailed(AttemptId id, TimePoint now)
{
    const auto found = m_running.find(id);
    if (found == m_running.end())
        return;
    const RunningAttempt attempt = found->second;
    const auto group = m_groups.find(attempt.order);
    SampleSlot& slot = group->second.samples[attempt.index];
    m_running.erase(found);
    std::erase(slot.attempts, id);
    ++m_counters.failedAttempts;
    if (slot.attempts.empty())
        makePending(group, attempt.index, now + retryDelay(slot.failures++));
}

void RunScheduler::evict()
{
    if (m_buffer.bytes() <= m_settings.bufferBytes)
        return;
    const auto firstToHandOff = firstUnassignedGroup();
    for (auto group = m_groups.end(); group != firstToHandOff && m_buffer.bytes() > m_settings.bufferBytes;) {
        --group;
        if (group == firstToHandOff || group->second.hasUnconfirmedSequence())
            continue;
        for (std::uint32_t index = 0; index < group->second.samples.size(); ++index) {
            const SampleState state = group->second.samples[index].state;
            if (m_buffer.bytes() <= m_settings.bufferBytes || (state != SampleState::Ready && state != SampleState::Scoring))
                continue;
            ++m_counters.evicted;
            makePending(group, index, {});
        }
    }
}

void RunScheduler::cancelStaleAttempts(TimePoint now)
{
    const WeightVersion current = m_forecast.current();
    std::vector<AttemptId> stale;
    for (const auto& [id, attempt] : m_running) {
        if (attempt.version && *attempt.version + m_settings.stalenessBound < current)
            stale.push_back(id);
    }
    for (const AttemptId id : stale) {
        const RunningAttempt attempt = m_running.at(id);
        const auto group = m_groups.find(attempt.order);
        SampleSlot& slot = group->second.samples[attempt.index];
        m_running.erase(id);
        std::erase(slot.attempts, id);
        m_cancelled.push_back(id);
        ++m_counters.cancelledStale;
        if (slot.attempts.empty())
            makePending(group, attempt.index, now);
    }
}

}
