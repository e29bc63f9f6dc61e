#include "azurepaddle/routing/routing_table.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace azurepaddle::routing::internal {

namespace {

    /// The SplitMix64 generator. Derives several random numbers from the one drawn for a request.
    std::uint64_t splitMix64(std::uint64_t& state) noexcept
    {
        state += 0x9E3779B97F4A7C15U;
        std::uint64_t value = state;
        value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9U;
        value = (value ^ (value >> 27U)) * 0x94D049BB133111EBU;
        return value ^ (value >> 31U);
    }

}

/// The state of one call to `choose`.
struct RoutingTable::Selection {
    const RequestProfile& profile;
    const EndpointFilter& admits;
    TimePoint now;
    ServiceState& service;
    std::shared_ptr<const ServiceState::Endpoints> endpoints;
    bool hasEligibleEndpoint = false;
    std::uint32_t evaluated = 0;
    std::shared_ptr<EndpointState> best {};
    double bestCost = 0;
    std::shared_ptr<EndpointState> probe {};
};

RoutingTable::RoutingTable(DataCentreName localDataCentre, const RouterSettings& settings)
    : m_localDataCentre(std::move(localDataCentre))
    , m_settings(settings)
{
}

void RoutingTable::update(const EndpointView& view)
{
    const std::unique_lock lock(m_mutex);
    auto& service = m_services[view.service];
    if (!service)
        service = std::make_shared<ServiceState>(m_settings.slowDetector);
    EndpointEntry& entry = m_endpoints[view.id];
    if (!entry.endpoint) {
        entry = { service, std::make_shared<EndpointState>(view, m_settings) };
        const std::lock_guard serviceLock(service->mutex);
        auto endpoints = std::make_shared<ServiceState::Endpoints>(*service->endpoints);
        endpoints->push_back(entry.endpoint);
        service->endpoints = std::move(endpoints);
        service->slowDetector.add(view.id);
    }
    entry.endpoint->update(view, m_share);
}

void RoutingTable::remove(const EndpointId& endpoint)
{
    const std::unique_lock lock(m_mutex);
    const auto entry = m_endpoints.find(endpoint);
    if (entry == m_endpoints.end())
        return;
    ServiceState& service = *entry->second.service;
    const std::lock_guard serviceLock(service.mutex);
    auto endpoints = std::make_shared<ServiceState::Endpoints>(*service.endpoints);
    std::erase(*endpoints, entry->second.endpoint);
    service.endpoints = std::move(endpoints);
    service.slowDetector.remove(endpoint);
    m_endpoints.erase(entry);
}

void RoutingTable::setShare(const InstanceShare& share)
{
    const std::unique_lock lock(m_mutex);
    m_share = share;
    for (const auto& [id, entry] : m_endpoints)
        entry.endpoint->setShare(share);
}

std::shared_ptr<ServiceState> RoutingTable::serviceOf(const ServiceName& name) const
{
    const std::shared_lock lock(m_mutex);
    const auto service = m_services.find(name);
    return service == m_services.end() ? nullptr : service->second;
}

RoutingTable::EndpointEntry RoutingTable::find(const EndpointId& endpoint) const
{
    const std::shared_lock lock(m_mutex);
    const auto entry = m_endpoints.find(endpoint);
    return entry == m_endpoints.end() ? EndpointEntry {} : entry->second;
}

tl::expected<EndpointId, RoutingError> RoutingTable::choose(const RequestProfile& profile, const EndpointFilter& admits, TimePoint now, std::uint64_t random)
{
    const auto service = serviceOf(profile.service);
    if (!service)
        return makeError(RoutingErrorCode::NoEndpoint, fmt::format("service {} has no endpoint", profile.service));
    const std::lock_guard lock(service->mutex);
    Selection selection { profile, admits, now, *service, service->endpoints };
    sampleEndpoints(selection, random);
    if (selection.probe && service->slowDetector.tryAcquireProbe(selection.probe->id(), now))
        return selection.probe->id();
    if (selection.best)
        return selection.best->id();
    if (selection.hasEligibleEndpoint)
        return makeError(RoutingErrorCode::NoCapacity, fmt::format("every eligible endpoint of service {} is full or excluded as slow", profile.service));
    return makeError(RoutingErrorCode::NoEndpoint, fmt::format("no eligible endpoint of service {} has the requested weight version", profile.service));
}

void RoutingTable::sampleEndpoints(Selection& selection, std::uint64_t random)
{
    const auto& endpoints = *selection.endpoints;
    const std::size_t count = endpoints.size();
    if (count == 0)
        return;
    // Endpoints are drawn at random first. If none of the drawn endpoints has a free slot, all endpoints are scanned
    // from a random position.
    const std::uint32_t maxDraws = 2 * m_settings.candidateCount;
    if (count > maxDraws) {
        for (std::uint32_t i = 0; i < maxDraws && selection.evaluated < m_settings.candidateCount; ++i)
            evaluateEndpoint(selection, endpoints[splitMix64(random) % count]);
        if (selection.best)
            return;
    }
    const std::size_t start = splitMix64(random) % count;
    for (std::size_t i = 0; i < count && selection.evaluated < m_settings.candidateCount; ++i)
        evaluateEndpoint(selection, endpoints[(start + i) % count]);
}

void RoutingTable::evaluateEndpoint(Selection& selection, const std::shared_ptr<EndpointState>& endpoint)
{
    if (!endpoint->canServe(selection.profile))
        return;
    selection.hasEligibleEndpoint = true;
    const Health health = selection.service.slowDetector.health(endpoint->id());
    if (!endpoint->hasCapacity(selection.profile.workClass, health) || (selection.admits && !selection.admits(endpoint->id())))
        return;
    if (health == Health::Excluded) {
        selection.probe = endpoint;
        return;
    }
    ++selection.evaluated;
    const double cost = endpoint->cost(selection.profile, selection.service.slowDetector.latencyRatio(endpoint->id()), m_localDataCentre, selection.now);
    if (!selection.best || cost < selection.bestCost) {
        selection.best = endpoint;
        selection.bestCost = cost;
    }
}

AttemptId RoutingTable::onSent(const RequestProfile& profile, const EndpointId& endpoint, TimePoint now)
{
    const AttemptId id = m_nextAttempt.fetch_add(1);
    const EndpointEntry entry = find(endpoint);
    if (!entry.endpoint)
        return id;
    entry.endpoint->onSent(profile, profile.outputTokens, now);
    AttemptShard& shard = shardOf(id);
    const std::lock_guard lock(shard.mutex);
    shard.attempts[id] = { entry.service, entry.endpoint, profile.workClass, profile.promptTokens, profile.outputTokens, 0, now, now };
    return id;
}

void RoutingTable::onToken(AttemptId attempt, std::uint32_t tokens, TimePoint now)
{
    AttemptShard& shard = shardOf(attempt);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.attempts.find(attempt);
    if (found == shard.attempts.end() || tokens == 0)
        return;
    Attempt& entry = found->second;
    const Duration latency = (now - entry.lastTokenTime) / (entry.receivedTokens == 0 ? 1 : tokens);
    const double generatedTokens = std::min(static_cast<double>(tokens), entry.remainingTokens);
    entry.endpoint->onTokens(generatedTokens, now);
    entry.remainingTokens -= generatedTokens;
    const std::lock_guard serviceLock(entry.service->mutex);
    if (entry.receivedTokens == 0) {
        entry.service->slowDetector.onFirstToken(entry.endpoint->id(), latency, now);
        entry.service->progressDeadlines.onFirstToken(entry.promptTokens, latency);
    } else {
        entry.service->slowDetector.onInterTokenLatency(entry.endpoint->id(), latency, now);
        entry.service->progressDeadlines.onInterTokenLatency(latency);
    }
    entry.receivedTokens += tokens;
    entry.lastTokenTime = now;
}

void RoutingTable::onEnded(AttemptId attempt, TimePoint now)
{
    AttemptShard& shard = shardOf(attempt);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.attempts.find(attempt);
    if (found == shard.attempts.end())
        return;
    found->second.endpoint->onEnded(found->second.workClass, found->second.remainingTokens, now);
    shard.attempts.erase(found);
}

std::vector<SlowAttempt> RoutingTable::tick(TimePoint now)
{
    std::vector<SlowAttempt> result;
    for (const AttemptShard& shard : m_shards)
        collectSlow(shard, now, result);
    const std::shared_lock lock(m_mutex);
    for (const auto& [name, service] : m_services) {
        const std::lock_guard serviceLock(service->mutex);
        service->slowDetector.evaluate(now);
    }
    return result;
}

void RoutingTable::collectSlow(const AttemptShard& shard, TimePoint now, std::vector<SlowAttempt>& result) const
{
    const std::lock_guard lock(shard.mutex);
    for (const auto& [id, entry] : shard.attempts) {
        const Duration timeSinceLastToken = now - entry.lastTokenTime;
        const std::lock_guard serviceLock(entry.service->mutex);
        SlowDetector& detector = entry.service->slowDetector;
        detector.onPendingToken(entry.endpoint->id(), timeSinceLastToken, entry.receivedTokens == 0, now);
        if (detector.health(entry.endpoint->id()) == Health::Excluded)
            result.push_back({ id, entry.endpoint->id(), entry.workClass, entry.receivedTokens, now - entry.sentTime, timeSinceLastToken });
    }
}

Health RoutingTable::health(const EndpointId& endpoint) const
{
    const EndpointEntry entry = find(endpoint);
    if (!entry.service)
        return Health::Normal;
    const std::lock_guard lock(entry.service->mutex);
    return entry.service->slowDetector.health(endpoint);
}

Load RoutingTable::load(const EndpointId& endpoint) const
{
    const EndpointEntry entry = find(endpoint);
    return entry.endpoint ? entry.endpoint->load() : Load {};
}

Duration RoutingTable::medianInterTokenLatency(const ServiceName& name) const
{
    const auto service = serviceOf(name);
    if (!service)
        return {};
    const std::lock_guard lock(service->mutex);
    return service->slowDetector.medianInterTokenLatency();
}

Duration RoutingTable::progressDeadline(AttemptId attempt) const
{
    const AttemptShard& shard = m_shards[attempt % shardCount];
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.attempts.find(attempt);
    if (found == shard.attempts.end())
        return {};
    const Attempt& entry = found->second;
    return entry.receivedTokens == 0 ? entry.service->progressDeadlines.firstTokenDeadline(entry.promptTokens) : entry.service->progressDeadlines.nextTokenDeadline();
}

}
