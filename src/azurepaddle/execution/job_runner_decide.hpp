#pragma once

#include "azurepaddle/execution/job_runner.hpp"

#include <algorithm>

namespace azurepaddle::execution {

namespace internal {

    // An item counts as long if its output is at least this multiple of the mean output length of its job.
    constexpr std::uint64_t longFactor = 2;
    // A draining endpoint continues to serve for a while, so its items are moved as if the endpoint were very slow.
    constexpr double drainingSlowness = 100;

    /// Returns the minimum output length of long items of the job.
    inline std::uint64_t longTokensThresholdOf(const batch::JobSpec& job)
    {
        std::uint64_t sum = 0;
        for (const batch::ItemSpec& item : job.items)
            sum += item.expectedTokens > 0 ? item.expectedTokens : defaultExpectedTokens;
        return longFactor * sum / std::max<std::uint64_t>(1, job.items.size());
    }

}

template <typename Protocol>
JobRunner<Protocol>::JobRunner(asio::io_context& io, http1::ClientPool& pool, registry::ServiceGroup& group, const registry::StateMachine& machine, registry::Liveness& liveness, gateway::Forwarder<Protocol>& forwarder, gateway::Balancer& balancer, gateway::SendLimiter& limiter, metrics::Registry& metrics)
    : m_io(io)
    , m_pool(pool)
    , m_group(group)
    , m_machine(machine)
    , m_liveness(liveness)
    , m_forwarder(forwarder)
    , m_balancer(balancer)
    , m_limiter(limiter)
    , m_metrics(metrics)
{
    static_assert(ItemProtocol<Protocol>);
}

template <typename Protocol>
void JobRunner<Protocol>::onLeadership(bool isLeading)
{
    m_isLeading = isLeading;
    for (const auto& [job, runs] : m_runs) {
        for (const auto& [item, run] : runs)
            stop(run);
    }
    m_runs.clear();
    m_results.clear();
    m_awaitingScore.clear();
    m_completedTexts.clear();
    m_texts.clear();
    m_loadingModels.clear();
    m_avoidUntil.clear();
    m_refusals.clear();
    m_running.clear();
    m_longItems.clear();
    m_prefixCache.clear();
    if (isLeading)
        scheduleUpdate();
}

template <typename Protocol>
void JobRunner<Protocol>::scheduleUpdate()
{
    if (std::exchange(m_isUpdateScheduled, true))
        return;
    asio::post(m_io, [this] {
        m_isUpdateScheduled = false;
        update();
    });
}

template <typename Protocol>
void JobRunner<Protocol>::update()
{
    if (!m_isLeading)
        return;
    synchronizeJobs();
    if (!m_group.hasCurrentState())
        return;
    placeWaitingItems();
    dispatchRewardCalls();
}

template <typename Protocol>
void JobRunner<Protocol>::synchronizeJobs()
{
    const std::vector<const batch::Job*> jobs = m_machine.jobs().jobs();
    for (const batch::Job* job : jobs) {
        const auto known = m_runs.find(job->spec.id);
        if (job->isEnded || known != m_runs.end())
            continue;
        m_runs[job->spec.id];
        const std::uint64_t longTokensThreshold = internal::longTokensThresholdOf(job->spec);
        for (const batch::ItemSpec& item : job->spec.items) {
            if (!m_machine.jobs().hasResult(job->spec.id, item.id))
                addRun(*job, item, longTokensThreshold, jobs);
        }
    }
    std::vector<RunPointer> ended;
    for (auto entry = m_runs.begin(); entry != m_runs.end();) {
        const batch::Job* job = m_machine.jobs().find(entry->first);
        if (job && !job->isEnded) {
            ++entry;
            continue;
        }
        for (const auto& [item, run] : entry->second)
            ended.push_back(run);
        m_results.erase(entry->first);
        entry = m_runs.erase(entry);
    }
    for (const RunPointer& run : ended)
        cancelRun(run, "job-ended");
}

template <typename Protocol>
void JobRunner<Protocol>::addRun(const batch::Job& job, const batch::ItemSpec& item, std::uint64_t longTokensThreshold, const std::vector<const batch::Job*>& jobs)
{
    const batch::JobSpec& spec = job.spec;
    const auto run = std::make_shared<Run>();
    run->job = spec.id;
    run->item = item.id;
    run->failures = m_machine.jobs().failuresOf(spec.id, item.id);
    run->host = spec.host;
    run->workspace = spec.workspace;
    run->model = spec.model;
    run->minVersion = spec.minVersion;
    run->isSingleVersion = spec.isSingleVersion;
    run->maxAttempts = spec.maxAttempts;
    run->retention = std::chrono::milliseconds(spec.retentionMs);
    run->acceptedAt = m_clock.now();
    run->waitingSince = run->acceptedAt;
    run->longTokensThreshold = longTokensThreshold;
    run->isLong = item.expectedTokens >= longTokensThreshold;
    for (const batch::Job* earlier : jobs)
        run->isCarriedOver = run->isCarriedOver || (earlier->order < job.order && m_machine.jobs().findItem(earlier->spec.id, item.id));
    m_runs[run->job][run->item] = run;
    reuseText(run);
}

/// Reuses the result or the partial text of the item from an earlier job or leader, if the version bounds of this job
/// allow it.
template <typename Protocol>
void JobRunner<Protocol>::reuseText(const RunPointer& run)
{
    const batch::ItemSpec& spec = *specOf(*run);
    auto result = run->isCarriedOver ? m_machine.jobs().findCompleted(run->item, spec.reward) : std::nullopt;
    if (result && satisfiesVersionBounds(result->versions, run->minVersion, run->isSingleVersion)) {
        m_log.info("item id={} job={} outcome=reused", run->item, run->job);
        if (!spec.needsScore() || !result->score.empty())
            return finish(run, std::move(*result));
        run->reusedResult = std::move(result);
        return onTextComplete(run);
    }
    CachedText& known = m_texts[run->item];
    known.lastUsedAt = m_clock.now();
    if (known.text.eventCount() == 0)
        known.text = ItemText(m_machine.texts().find(run->item));
    if (!satisfiesVersionBounds(known.text.versions(), run->minVersion, run->isSingleVersion))
        known.text.clear();
    if (known.text.eventCount() == 0)
        return;
    m_log.info("item id={} job={} continues after events={}", run->item, run->job, known.text.eventCount());
    if (known.text.isEndRecorded())
        onTextComplete(run);
}

template <typename Protocol>
void JobRunner<Protocol>::cancelRun(const RunPointer& run, std::string_view reason)
{
    if (run->stage == Stage::Running)
        m_log.info("item id={} job={} endpoint={} outcome=stopped cause={} events={}", run->item, run->job, run->endpoint, reason, textOf(*run).eventCount());
    stop(run);
}

template <typename Protocol>
const ServiceName& JobRunner<Protocol>::serviceOf(Run& run, const batch::ItemSpec& spec) const
{
    if (run.routes == m_routes)
        return run.service;
    run.routes = m_routes;
    run.service = {};
    const gateway::Route* route = m_routes->find(run.host, http1::pathOf(spec.path));
    if (!route)
        return run.service;
    // The service is selected by the job identifier, so that all items of a job use the same one and a group shares its
    // prompt.
    constexpr double range = 4294967296.0;
    const double point = static_cast<double>(std::hash<std::string> {}(run.job.value()) & 0xffffffffU) / range;
    run.service = gateway::chooseService(*route, point);
    return run.service;
}

/// The memory for prompts and outputs of each endpoint of a service, in tokens; 0 if it is not configured.
template <typename Protocol>
std::uint64_t JobRunner<Protocol>::kvCapacityOf(const ServiceName& service) const
{
    const gateway::Service* configured = m_routes->findService(service);
    return configured ? configured->kvCapacity : 0;
}

template <typename Protocol>
batch::PromptKnowledge JobRunner<Protocol>::promptsOf(const PlacementKey& key, TimePoint now) const
{
    return { kvCapacityOf(key.second) > 0 ? &m_prefixCache : nullptr, key.first, now };
}

template <typename Protocol>
std::vector<batch::EndpointLoad> JobRunner<Protocol>::loadsOf(const batch::ModelName& model, const ServiceName& service, TimePoint now) const
{
    std::vector<batch::EndpointLoad> loads;
    const auto blocked = m_limiter.blocked(now);
    for (const auto& [id, record] : m_machine.directory().records()) {
        if (record.service != service || record.state == registry::EndpointState::Gone)
            continue;
        batch::EndpointLoad load;
        load.id = id;
        load.slots = record.slots;
        if (const auto found = m_running.find(id); found != m_running.end()) {
            for (const auto& [other, count] : found->second)
                load.running += count;
        }
        if (const auto found = m_longItems.find(id); found != m_longItems.end())
            load.longItems = found->second;
        load.version = m_liveness.versionOf(record, model);
        load.software = record.software;
        const auto loading = m_loadingModels.find(id);
        const auto avoided = m_avoidUntil.find(id);
        const bool isDraining = !m_liveness.isAcceptingWork(record);
        load.isLeaving = isDraining;
        load.isUsable = !isDraining && !blocked.contains(id) && (loading == m_loadingModels.end() || !loading->second.contains(model)) && (avoided == m_avoidUntil.end() || now >= avoided->second);
        load.lastingSlowness = isDraining ? internal::drainingSlowness : m_speedMeter.lastingSlowness(id, now);
        load.slowness = isDraining ? internal::drainingSlowness : m_speedMeter.slowness(id, now);
        load.slowFor = m_speedMeter.slowFor(id, now);
        load.startedMs = record.startedMs;
        load.connections = m_pool.connections(record.address());
        loads.push_back(std::move(load));
    }
    return loads;
}

template <typename Protocol>
std::uint64_t JobRunner<Protocol>::remainingTokens(const Run& run) const
{
    const batch::ItemSpec* spec = specOf(run);
    const std::uint64_t expected = spec && spec->expectedTokens > 0 ? spec->expectedTokens : internal::defaultExpectedTokens;
    const auto known = m_texts.find(run.item);
    const std::uint64_t receivedTokens = known == m_texts.end() ? 0 : known->second.text.eventCount() * internal::tokensPerEvent;
    // An item that exceeds its estimate is assumed to generate half as much again as it has generated so far.
    return expected > receivedTokens ? expected - receivedTokens : std::max<std::uint64_t>(receivedTokens / 2, 1);
}

/// The time to generate a token at the median endpoint.
template <typename Protocol>
Duration JobRunner<Protocol>::tokenTime(TimePoint now) const
{
    return m_speedMeter.median(now) / internal::tokensPerEvent;
}

template <typename Protocol>
std::vector<PendingItem> JobRunner<Protocol>::pendingItems() const
{
    const TimePoint now = m_clock.now();
    const Duration perToken = tokenTime(now);
    std::vector<PendingItem> items;
    for (const auto& [id, runs] : m_runs) {
        const batch::Job* job = m_machine.jobs().find(id);
        if (!job)
            continue;
        for (const auto& [item, run] : runs) {
            const batch::ItemSpec* spec = run->stage == Stage::Waiting || run->stage == Stage::Running ? specOf(*run) : nullptr;
            if (!spec)
                continue;
            const Duration untilDue = run->acceptedAt + std::chrono::milliseconds(job->spec.dueMs) - now;
            items.push_back({ serviceOf(*run, *spec), run->stage == Stage::Running ? run->endpoint : EndpointId(), perToken * remainingTokens(*run), untilDue });
        }
    }
    return items;
}

template <typename Protocol>
std::optional<WeightVersion> JobRunner<Protocol>::requiredVersion(const Run& run) const
{
    if (!run.isSingleVersion)
        return std::nullopt;
    const auto known = m_texts.find(run.item);
    const auto versions = known == m_texts.end() ? std::vector<WeightVersion>() : known->second.text.versions();
    return versions.empty() ? std::nullopt : std::optional(versions.back());
}

/// The output that an item holds, and which endpoints may continue it.
template <typename Protocol>
std::optional<batch::HeldText> JobRunner<Protocol>::heldTextOf(const Run& run) const
{
    const auto known = m_texts.find(run.item);
    if (known == m_texts.end() || known->second.text.eventCount() == 0)
        return std::nullopt;
    const ItemText& text = known->second.text;
    return batch::HeldText { text.eventCount() * internal::tokensPerEvent, text.software(), requiredVersion(run) };
}

template <typename Protocol>
template <typename Condition>
auto JobRunner<Protocol>::runsByPlacementKey(Condition condition) const -> std::map<PlacementKey, std::vector<RunPointer>>
{
    std::map<PlacementKey, std::vector<RunPointer>> runsByKey;
    for (const auto& [job, runs] : m_runs) {
        for (const auto& [item, run] : runs) {
            const batch::ItemSpec* spec = condition(*run) ? specOf(*run) : nullptr;
            if (spec)
                runsByKey[{ run->model, serviceOf(*run, *spec) }].push_back(run);
        }
    }
    return runsByKey;
}

template <typename Protocol>
void JobRunner<Protocol>::placeWaitingItems()
{
    const TimePoint now = m_clock.now();
    const auto waiting = runsByPlacementKey([now](const Run& run) { return run.stage == Stage::Waiting && now >= run.notBefore; });
    // Models share endpoints, so the placement key whose oldest item has waited longest is placed first.
    std::vector<std::pair<TimePoint, PlacementKey>> keys;
    keys.reserve(waiting.size());
    for (const auto& [key, runs] : waiting) {
        const auto oldest = std::min_element(runs.begin(), runs.end(), [](const RunPointer& a, const RunPointer& b) { return a->acceptedAt < b->acceptedAt; });
        keys.emplace_back((*oldest)->acceptedAt, key);
    }
    std::sort(keys.begin(), keys.end());
    m_isAnyHeldBack = false;
    for (const auto& [since, key] : keys) {
        const std::vector<RunPointer>& runs = waiting.at(key);
        std::vector<batch::WaitingItem> items;
        for (std::size_t index = 0; index < runs.size(); ++index) {
            const Run& run = *runs[index];
            const batch::ItemSpec& spec = *specOf(run);
            items.push_back({ index, spec.group, run.isCarriedOver, remainingTokens(run), run.isLong, run.minVersion, heldTextOf(run), now - run.waitingSince, spec.prompt });
        }
        for (const batch::Placement& placement : batch::placeItems(std::move(items), loadsOf(key.first, key.second, now), m_lastEndpointOfGroup, tokenTime(now), promptsOf(key, now))) {
            m_isAnyHeldBack = m_isAnyHeldBack || placement.isHeldBack;
            if (placement.isHeldBack)
                continue;
            m_lastEndpointOfGroup[specOf(*runs[placement.index])->group] = placement.endpoint;
            startIfPermitted(runs[placement.index], placement);
        }
    }
    constexpr std::size_t maxGroups = 4096;
    if (m_lastEndpointOfGroup.size() > maxGroups)
        m_lastEndpointOfGroup.clear();
}

template <typename Protocol>
std::uint32_t JobRunner<Protocol>::running(const EndpointId& endpoint, const batch::ModelName& model) const
{
    const auto found = m_running.find(endpoint);
    if (found == m_running.end())
        return 0;
    const auto count = found->second.find(model);
    return count == found->second.end() ? 0 : count->second;
}

template <typename Protocol>
bool JobRunner<Protocol>::areItemsWaiting(const batch::ModelName& model) const
{
    return std::any_of(m_runs.begin(), m_runs.end(), [&](const auto& job) {
        return std::any_of(job.second.begin(), job.second.end(), [&](const auto& entry) { return entry.second->model == model && entry.second->stage == Stage::Waiting; });
    });
}

template <typename Protocol>
void JobRunner<Protocol>::setLoading(const EndpointId& endpoint, const batch::ModelName& model, bool isLoading)
{
    if (isLoading)
        m_loadingModels[endpoint].insert(model);
    else
        m_loadingModels[endpoint].erase(model);
    if (!isLoading)
        scheduleUpdate();
}

template <typename Protocol>
bool JobRunner<Protocol>::evacuate(const EndpointId& endpoint, const batch::ModelName& model)
{
    const TimePoint now = m_clock.now();
    std::vector<RunPointer> affected;
    std::vector<batch::RunningItem> items;
    ServiceName service;
    for (const auto& [job, runs] : m_runs) {
        for (const auto& [item, run] : runs) {
            const batch::ItemSpec* spec = run->stage == Stage::Running && run->endpoint == endpoint && run->model == model ? specOf(*run) : nullptr;
            if (!spec)
                continue;
            service = serviceOf(*run, *spec);
            items.push_back(runningItemOf(*run, affected.size(), now));
            affected.push_back(run);
        }
    }
    if (affected.empty())
        return true;
    const auto moves = batch::planEvacuation(std::move(items), loadsOf(model, service, now));
    for (const batch::Placement& placement : moves)
        move(affected[placement.index], placement.endpoint, "load");
    return !moves.empty();
}

}
