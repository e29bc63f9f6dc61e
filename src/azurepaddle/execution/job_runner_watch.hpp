#pragma once

// Periodic work of the runner: recording partial texts, abandoning expired items, and moving items away from silent and
// slow endpoints.

#include "azurepaddle/execution/job_runner.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace azurepaddle::execution {

namespace internal {

    // Texts of items without an open job are kept for this long, because their group may be submitted again.
    constexpr Duration textLifetime = std::chrono::seconds(30);
    constexpr Duration textSweepInterval = std::chrono::seconds(1);
    // A partial text is recorded if it has at least this many events in total and this many unrecorded ones, checked at
    // this interval.
    constexpr std::uint64_t minTextEvents = 24;
    constexpr std::uint64_t minUnrecordedEvents = 8;
    constexpr Duration textRecordingInterval = std::chrono::milliseconds(250);
    // An item without any event for this long, or ten times the median time between events if that is longer, resumes
    // elsewhere: its endpoint is assumed to have failed and is avoided.
    constexpr Duration silenceTimeout = std::chrono::milliseconds(700);
    constexpr Duration silenceAvoidance = std::chrono::seconds(2);

}

template <typename Protocol>
void JobRunner<Protocol>::tick()
{
    if (!m_isLeading)
        return;
    const TimePoint now = m_clock.now();
    updateBalancerEndpoints();
    recordPartialTexts(now);
    abandonExpired(now);
    requeueSilentItems(now);
    moveItemsFromSlowEndpoints(now);
    evictUnused(now);
    update();
}

template <typename Protocol>
void JobRunner<Protocol>::evictUnused(TimePoint now)
{
    if (now < m_nextTextSweep)
        return;
    m_nextTextSweep = now + internal::textSweepInterval;
    std::erase_if(m_texts, [&](const auto& entry) {
        const bool isWanted = std::any_of(m_runs.begin(), m_runs.end(), [&](const auto& job) { return job.second.contains(entry.first); });
        return !isWanted && now - entry.second.lastUsedAt > internal::textLifetime;
    });
    std::set<EndpointId> endpoints;
    for (const auto& [id, record] : m_machine.directory().records()) {
        if (record.state != registry::EndpointState::Gone)
            endpoints.insert(id);
    }
    m_prefixCache.retainOnly(endpoints);
}

/// Records the partial texts of long items, so that the next leader can resume them. Short ones are quickly generated
/// again.
template <typename Protocol>
void JobRunner<Protocol>::recordPartialTexts(TimePoint now)
{
    if (now < m_nextTextRecording || !m_group.hasCurrentState())
        return;
    m_nextTextRecording = now + internal::textRecordingInterval;
    registry::AppendTexts command;
    for (const auto& [job, runs] : m_runs) {
        for (const auto& [item, run] : runs) {
            const auto known = m_texts.find(item);
            const bool isGenerating = run->stage == Stage::Waiting || run->stage == Stage::Running;
            if (!isGenerating || known == m_texts.end())
                continue;
            if (auto part = known->second.text.takeUnrecorded(item, internal::minTextEvents, internal::minUnrecordedEvents))
                command.parts.push_back(std::move(*part));
        }
    }
    if (command.parts.empty())
        return;
    m_log.debug("partial texts proposed for recording items={}", command.parts.size());
    m_group.propose(registry::encodeCommand(command), [](const cluster::ProposalResult&) {});
}

template <typename Protocol>
void JobRunner<Protocol>::abandonExpired(TimePoint now)
{
    std::vector<RunPointer> expired;
    for (const auto& [job, runs] : m_runs) {
        for (const auto& [item, run] : runs) {
            if (run->stage != Stage::Recording && run->retention > Duration::zero() && now - run->acceptedAt > run->retention)
                expired.push_back(run);
        }
    }
    for (const RunPointer& run : expired) {
        stop(run);
        finish(run, { run->item, batch::ResultState::Abandoned, {}, {}, {} });
    }
}

template <typename Protocol>
void JobRunner<Protocol>::requeueSilentItems(TimePoint now)
{
    const Duration limit = std::max<Duration>(internal::silenceTimeout, m_speedMeter.median(now) * 10);
    std::vector<RunPointer> silent;
    for (const auto& [job, runs] : m_runs) {
        for (const auto& [item, run] : runs) {
            if (run->stage != Stage::Running)
                continue;
            const auto loading = m_loadingModels.find(run->endpoint);
            const bool isPaused = loading != m_loadingModels.end() && loading->second.contains(run->model);
            if (isPaused)
                run->lastEventAt = now; // The timeout starts at the end of the load.
            else if (now - run->lastEventAt > limit)
                silent.push_back(run);
        }
    }
    for (const RunPointer& run : silent) {
        avoid(run->endpoint, internal::silenceAvoidance);
        requeue(run, "silent", Duration::zero());
    }
}

template <typename Protocol>
batch::RunningItem JobRunner<Protocol>::runningItemOf(const Run& run, std::size_t index, TimePoint now) const
{
    const batch::ItemSpec* spec = specOf(run);
    return { index, run.endpoint, remainingTokens(run), run.isLong, run.minVersion, heldTextOf(run), now - run.startedAt, now - run.lastEventAt, spec ? spec->prompt : std::vector<batch::PromptPart>() };
}

/// Returns the endpoints whose items may end earlier elsewhere.
template <typename Protocol>
auto JobRunner<Protocol>::findSlowEndpoints(TimePoint now) const -> std::map<EndpointId, Slowness>
{
    std::map<EndpointId, Slowness> slow;
    double lowest = 1;
    for (const auto& [id, record] : m_machine.directory().records()) {
        if (record.state != registry::EndpointState::Gone && m_liveness.isAcceptingWork(record))
            lowest = std::min(lowest, m_speedMeter.lastingSlowness(id, now));
    }
    for (const auto& [id, counts] : m_running) {
        if (std::all_of(counts.begin(), counts.end(), [](const auto& count) { return count.second == 0; }))
            continue;
        const registry::EndpointRecord* record = m_machine.directory().find(id);
        const bool isDraining = record && record->state != registry::EndpointState::Gone && !m_liveness.isAcceptingWork(*record);
        if (isDraining || m_speedMeter.slowness(id, now) >= batch::slownessThreshold)
            slow[id] = Slowness::Current;
        else if (batch::isLastinglySlow(m_speedMeter.lastingSlowness(id, now), lowest))
            slow[id] = Slowness::Lasting;
    }
    return slow;
}

/// Moves items away from slow endpoints where they are expected to end earlier elsewhere. From endpoints that are only
/// lastingly slower, only long items gain enough.
template <typename Protocol>
void JobRunner<Protocol>::moveItemsFromSlowEndpoints(TimePoint now)
{
    const std::map<EndpointId, Slowness> slow = findSlowEndpoints(now);
    const auto affected = runsByPlacementKey([&slow](const Run& run) {
        if (run.stage != Stage::Running)
            return false;
        const auto found = slow.find(run.endpoint);
        return found != slow.end() && (found->second == Slowness::Current || run.isLong);
    });
    for (const auto& [key, runs] : affected) {
        std::vector<batch::RunningItem> items;
        for (std::size_t index = 0; index < runs.size(); ++index)
            items.push_back(runningItemOf(*runs[index], index, now));
        for (const batch::Move& planned : batch::planMoves(std::move(items), loadsOf(key.first, key.second, now), tokenTime(now), promptsOf(key, now)))
            move(runs[planned.index], planned.endpoint, "slow", fmt::format(" stay-ms={} move-ms={}", planned.ifStaying / std::chrono::milliseconds(1), planned.ifMoved / std::chrono::milliseconds(1)));
    }
}

}
