#include "azurepaddle/gateway/send_limiter.hpp"

#include <algorithm>

namespace azurepaddle::gateway {

namespace {

    // Assumed until the leader has said how many instances send to limited endpoints.
    constexpr std::uint32_t defaultInstances = 64;
    // The leader answers within a few milliseconds; an election takes about a second.
    constexpr Duration permitTimeout = std::chrono::milliseconds(250);
    // After a request for a permit without a reply, requests use this instance's own turns without waiting again.
    constexpr Duration noPermitsPeriod = std::chrono::milliseconds(500);
    constexpr Duration minBlockedTime = std::chrono::milliseconds(10);
    // Above this number of limits, the ones named longest ago are removed.
    constexpr std::size_t maxLimits = 1024;

    Duration secondsToDuration(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

}

SendLimiter::SendLimiter(std::string instance, PermitRequester requester, Random& random)
    : m_instance(std::move(instance))
    , m_requester(std::move(requester))
    , m_random(random)
    , m_instances(defaultInstances)
{
}

SendLimiter::Limit* SendLimiter::find(const registry::EndpointIncarnation& endpoint)
{
    const auto found = m_limits.find(endpoint.id);
    return found == m_limits.end() || found->second.startedMs != endpoint.startedMs ? nullptr : &found->second;
}

void SendLimiter::recordAnswer(const registry::EndpointIncarnation& endpoint, std::optional<double> requestsPerSecond, TimePoint sentAt, TimePoint now)
{
    Limit* limit = find(endpoint);
    if (!requestsPerSecond) {
        if (limit && sentAt >= limit->namedAt) {
            m_log.info("endpoint={} started={} outcome=unlimited", endpoint.id, endpoint.startedMs);
            m_limits.erase(endpoint.id);
        }
        return;
    }
    if (!limit) {
        m_log.info("endpoint={} started={} outcome=limited requests-per-second={}", endpoint.id, endpoint.startedMs, *requestsPerSecond);
        if (m_limits.size() >= maxLimits)
            m_limits.erase(std::min_element(m_limits.begin(), m_limits.end(), [](const auto& a, const auto& b) { return a.second.namedAt < b.second.namedAt; }));
        limit = &(m_limits[endpoint.id] = Limit {});
        limit->startedMs = endpoint.startedMs;
        limit->namedAt = now;
    }
    limit->requestsPerSecond = std::max(*requestsPerSecond, registry::minPermitsPerSecond);
}

bool SendLimiter::isLimited(const registry::EndpointRecord& endpoint) const
{
    const auto found = m_limits.find(endpoint.id);
    return found != m_limits.end() && found->second.startedMs == endpoint.startedMs;
}

std::set<EndpointId> SendLimiter::limited() const
{
    std::set<EndpointId> ids;
    for (const auto& [id, limit] : m_limits)
        ids.insert(id);
    return ids;
}

std::map<EndpointId, TimePoint> SendLimiter::blocked(TimePoint now) const
{
    std::map<EndpointId, TimePoint> times;
    for (const auto& [id, limit] : m_limits) {
        if (now < limit.blockedUntil)
            times.emplace(id, limit.blockedUntil);
    }
    return times;
}

void SendLimiter::acquire(const registry::EndpointIncarnation& endpoint, TimePoint now, TimePoint deadline, const std::function<void(bool)>& onDecision)
{
    const Limit* limit = find(endpoint);
    if (!limit)
        return onDecision(true);
    if (now < m_noPermitsUntil)
        return onReply(endpoint, std::nullopt, now, onDecision);
    const registry::PermitRequest request { endpoint, limit->requestsPerSecond, m_instance };
    m_requester(request, std::min(deadline, now + permitTimeout), [this, endpoint, onDecision](const std::optional<registry::PermitReply>& reply, TimePoint repliedAt) {
        if (!reply)
            m_noPermitsUntil = repliedAt + noPermitsPeriod;
        onReply(endpoint, reply, repliedAt, onDecision);
    });
}

void SendLimiter::onReply(const registry::EndpointIncarnation& endpoint, const std::optional<registry::PermitReply>& reply, TimePoint now, const std::function<void(bool)>& onDecision)
{
    Limit* limit = find(endpoint);
    if (!limit) // The limit ended while the permit was requested.
        return onDecision(true);
    if (!reply)
        return onDecision(takeOwnTurn(*limit, now));
    m_instances = std::max(1U, reply->instances);
    limit->ownTurn.reset();
    if (!reply->isGranted)
        limit->blockedUntil = now + std::max<Duration>(std::chrono::milliseconds(reply->retryAfterMs), minBlockedTime);
    onDecision(reply->isGranted);
}

/// Whether this instance may send one request in its present turn. The next turn begins after the time in which all
/// instances together may send one request each.
bool SendLimiter::takeOwnTurn(Limit& limit, TimePoint now)
{
    const Duration turn = secondsToDuration(1 / limit.requestsPerSecond);
    const Duration period = turn * m_instances;
    if (!limit.ownTurn)
        limit.ownTurn = now + secondsToDuration(m_random.uniform() * std::chrono::duration<double>(period).count());
    while (*limit.ownTurn + turn <= now)
        *limit.ownTurn += period;
    const bool isTurn = *limit.ownTurn <= now;
    if (isTurn)
        *limit.ownTurn += period;
    else
        limit.blockedUntil = std::min(*limit.ownTurn, std::max<TimePoint>(m_noPermitsUntil, now + minBlockedTime));
    return isTurn;
}

}
