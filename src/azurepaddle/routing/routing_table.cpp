#include "azurepaddle/routing/routing_table.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace azurepaddle::routing::internal {

namespace {

    /// The next number of a sequence that starts from one random number (SplitMix64).
    std::uint64_t nextNumber(std::uint64_t& state) noexcept
    {
        state += 0x9E3779B97F4A7C15U;
        std::uint64_t value = state;
        value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9U;
        value = (value ^ (value >> 27U)) * 0x94D049BB133111EBU;
        return value ^ (value >> 31U);
    }

}

/// The state of one choice.
struct RoutingTable::Search {
    const RequestProfile& profile;
    const EndpointFilter& admits;
    TimePoint now;
    ServiceState& service;
    std::shared_ptr<const ServiceState::Endpoints> endpoints;
    bool isOffered = false;
    std::uint32_t considered = 0;
    std::shared_ptr<EndpointState> best {};
    double bestCost = 0;
    std::shared_ptr<EndpointState> probe {};
};

RoutingTable::RoutingTable(DataCentreName here, const RouterSettings& settings)
    : m_here(std::move(here))
    , m_settings(settings)
{
}

void RoutingTable::update(const EndpointView& view)
{
    const std::unique_lock lock(m_mutex);
    auto& service = m_services[view.service];
    if (!service)
        service = std::make_shared<ServiceState>(m_settings.slow);
    Known& known = m_endpoints[view.id];
    if (!known.endpoint) {
        known = { service, std::make_shared<EndpointState>(view, m_settings) };
        const std::lock_guard serviceLock(service->mutex);
        auto endpoints = std::make_shared<ServiceState::Endpoints>(*service->endpoints);
        endpoints->push_back(known.endpoint);
        service->endpoints = std::move(endpoints);
        service->slow.add(view.id);
    }
    known.endpoint->update(view, m_share);
}

void RoutingTable::remove(const EndpointId& endpoint)
{
    const std::unique_lock lock(m_mutex);
    const auto known = m_endpoints.find(endpoint);
    if (known == m_endpoints.end())
        return;
    ServiceState& service = *known->second.service;
    const std::lock_guard serviceLock(service.mutex);
    auto endpoints = std::make_shared<ServiceState::Endpoints>(*service.endpoints);
    std::erase(*endpoints, known->second.endpoint);
    service.endpoints = std::move(endpoints);
    service.slow.remove(endpoint);
    m_endpoints.erase(known);
}

void RoutingTable::setShare(const InstanceShare& share)
{
    const std::unique_lock lock(m_mutex);
    m_share = share;
    for (const auto& [id, known] : m_endpoints)
        known.endpoint->setShare(share);
}

std::shared_ptr<ServiceState> RoutingTable::serviceOf(const ServiceName& name) const
{
    const std::shared_lock lock(m_mutex);
    const auto service = m_services.find(name);
    return service == m_services.end() ? nullptr : service->second;
}

RoutingTable::Known RoutingTable::find(const EndpointId& endpoint) const
{
    const std::shared_lock lock(m_mutex);
    const auto known = m_endpoints.find(endpoint);
    return known == m_endpoints.end() ? Known {} : known->second;
}

tl::expected<EndpointId, RoutingError> RoutingTable::choose(const RequestProfile& profile, const EndpointFilter& admits, TimePoint now, std::uint64_t random)
{
    const auto service = serviceOf(profile.service);
    if (!service)
        return makeError(RoutingErrorCode::NoEndpoint, fmt::format("service {} has no endpoint", profile.service));
    const std::lock_guard lock(service->mutex);
    Search search { profile, admits, now, *service, service->endpoints };
    sample(search, random);
    if (search.probe && service->slow.takeProbe(search.probe->id(), now))
        return search.probe->id();
    if (search.best)
        return search.best->id();
    if (search.isOffered)
        return makeError(RoutingErrorCode::NoCapacity, fmt::format("every endpoint of service {} is full", profile.service));
    return makeError(RoutingErrorCode::NoEndpoint, fmt::format("no endpoint of service {} has the version wanted", profile.service));
}

void RoutingTable::sample(Search& search, std::uint64_t random)
{
    const auto& endpoints = *search.endpoints;
    const std::size_t count = endpoints.size();
    if (count == 0)
        return;
    // Random draws first; a scan from a random start only if these found too few endpoints with room.
    const std::uint32_t draws = 2 * m_settings.candidateCount;
    if (count > draws) {
        for (std::uint32_t i = 0; i < draws && search.considered < m_settings.candidateCount; ++i)
            consider(search, endpoints[nextNumber(random) % count]);
        if (search.best)
            return;
    }
    const std::size_t start = nextNumber(random) % count;
    for (std::size_t i = 0; i < count && search.considered < m_settings.candidateCount; ++i)
        consider(search, endpoints[(start + i) % count]);
}

void RoutingTable::consider(Search& search, const std::shared_ptr<EndpointState>& endpoint)
{
    if (!endpoint->offers(search.profile))
        return;
    search.isOffered = true;
    const Health health = search.service.slow.health(endpoint->id());
    if (!endpoint->hasCapacity(search.profile.workClass, health) || (search.admits && !search.admits(endpoint->id())))
        return;
    if (health == Health::Excluded) {
        search.probe = endpoint;
        return;
    }
    ++search.considered;
    const double cost = endpoint->cost(search.profile, search.service.slow.slowness(endpoint->id()), m_here, search.now);
    if (!search.best || cost < search.bestCost) {
        search.best = endpoint;
        search.bestCost = cost;
    }
}

AttemptId RoutingTable::onSent(const RequestProfile& profile, const EndpointId& endpoint, TimePoint now)
{
    const AttemptId id = m_nextAttempt.fetch_add(1);
    const Known known = find(endpoint);
    if (!known.endpoint)
        return id;
    known.endpoint->onSent(profile, profile.outputTokens, now);
    AttemptShard& shard = shardOf(id);
    const std::lock_guard lock(shard.mutex);
    shard.attempts[id] = { known.service, known.endpoint, profile.workClass, profile.promptTokens, profile.outputTokens, 0, now, now };
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
    const Duration gap = (now - entry.lastToken) / (entry.tokens == 0 ? 1 : tokens);
    const double counted = std::min(static_cast<double>(tokens), entry.remainingTokens);
    entry.endpoint->onTokens(counted, now);
    entry.remainingTokens -= counted;
    const std::lock_guard serviceLock(entry.service->mutex);
    if (entry.tokens == 0) {
        entry.service->slow.onFirstToken(entry.endpoint->id(), gap, now);
        entry.service->progress.onFirstToken(entry.promptTokens, gap);
    } else {
        entry.service->slow.onTokenGap(entry.endpoint->id(), gap, now);
        entry.service->progress.onTokenGap(gap);
    }
    entry.tokens += tokens;
    entry.lastToken = now;
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
        service->slow.evaluate(now);
    }
    return result;
}

void RoutingTable::collectSlow(const AttemptShard& shard, TimePoint now, std::vector<SlowAttempt>& result) const
{
    const std::lock_guard lock(shard.mutex);
    for (const auto& [id, entry] : shard.attempts) {
        const Duration silence = now - entry.lastToken;
        const std::lock_guard serviceLock(entry.service->mutex);
        SlowDetector& slow = entry.service->slow;
        slow.onSilence(entry.endpoint->id(), silence, entry.tokens == 0, now);
        if (slow.health(entry.endpoint->id()) == Health::Excluded)
            result.push_back({ id, entry.endpoint->id(), entry.workClass, entry.tokens, now - entry.sent, silence });
    }
}

Health RoutingTable::health(const EndpointId& endpoint) const
{
    const Known known = find(endpoint);
    if (!known.service)
        return Health::Normal;
    const std::lock_guard lock(known.service->mutex);
    return known.service->slow.health(endpoint);
}

Load RoutingTable::load(const EndpointId& endpoint) const
{
    const Known known = find(endpoint);
    return known.endpoint ? known.endpoint->load() : Load {};
}

Duration RoutingTable::medianInterTokenLatency(const ServiceName& name) const
{
    const auto service = serviceOf(name);
    if (!service)
        return {};
    const std::lock_guard lock(service->mutex);
    return service->slow.medianGap();
}

Duration RoutingTable::progressDeadline(AttemptId attempt) const
{
    const AttemptShard& shard = m_shards[attempt % shardCount];
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.attempts.find(attempt);
    if (found == shard.attempts.end())
        return {};
    const Attempt& entry = found->second;
    return entry.tokens == 0 ? entry.service->progress.firstToken(entry.promptTokens) : entry.service->progress.nextToken();
}

}
