#pragma once

// Choice of endpoints within the limits that they name, and requests that wait for a permit.

#include "azurepaddle/gateway/forwarder.hpp"

namespace azurepaddle::gateway {

/// The endpoints to which the request must not be sent: those that had it, those that cannot continue its stream, and
/// those whose memory its body might exceed together with the bodies that they hold.
template <typename Protocol>
std::set<EndpointId> Forwarder<Protocol>::excludedFor(const PendingRequest& pending) const
{
    std::set<EndpointId> excluded = pending.excluded;
    if (pending.task.origin)
        excluded.merge(m_balancer.endpointsWithOtherSoftware(pending.task.origin->service, pending.task.origin->software));
    const std::size_t bytes = pending.task.request->body.size();
    for (const auto& [id, held] : m_bytesAtEndpoints) {
        if (bytes > m_maxEndpointBytes - std::min(held, m_maxEndpointBytes))
            excluded.insert(id);
    }
    return excluded;
}

template <typename Protocol>
void Forwarder<Protocol>::addBytesAt(const EndpointId& endpoint, std::size_t bytes)
{
    if (bytes > 0)
        m_bytesAtEndpoints[endpoint] += bytes;
}

template <typename Protocol>
void Forwarder<Protocol>::removeBytesAt(const EndpointId& endpoint, std::size_t bytes)
{
    const auto found = m_bytesAtEndpoints.find(endpoint);
    if (bytes == 0 || found == m_bytesAtEndpoints.end())
        return;
    found->second -= bytes;
    if (found->second == 0)
        m_bytesAtEndpoints.erase(found);
}

/// The best endpoint for which no permit is needed, or null.
template <typename Protocol>
const registry::EndpointRecord* Forwarder<Protocol>::chooseUnlimited(const PendingRequest& pending, TimePoint now)
{
    std::set<EndpointId> excluded = excludedFor(pending);
    excluded.merge(m_limiter.limited());
    return m_balancer.choose(pending.service->name, excluded, now, m_random);
}

/// The best endpoint, or null. Endpoints that name a limit are in need, so they are chosen only if none of the others has
/// a free slot, and not before their next permit.
template <typename Protocol>
const registry::EndpointRecord* Forwarder<Protocol>::chooseWithinLimits(const PendingRequest& pending, TimePoint now)
{
    const registry::EndpointRecord* unlimited = chooseUnlimited(pending, now);
    if (unlimited && m_balancer.hasFreeSlot(unlimited->id, now))
        return unlimited;
    std::set<EndpointId> excluded = excludedFor(pending);
    for (const auto& [id, until] : m_limiter.blocked(now))
        excluded.insert(id);
    return m_balancer.choose(pending.service->name, excluded, now, m_random);
}

/// Requests a permit for a limited endpoint. Without one, the request goes to another endpoint, waits or fails.
template <typename Protocol>
void Forwarder<Protocol>::sendWithPermit(const PendingPointer& pending, const registry::EndpointRecord& endpoint)
{
    pending->isAwaitingPermit = true;
    // Without an attempt in progress, only this callback keeps the request.
    m_limiter.acquire({ endpoint.id, endpoint.startedMs }, m_clock.now(), pending->deadline, [this, pending, endpoint](bool isGranted) {
        if (pending->isDone)
            return;
        pending->isAwaitingPermit = false;
        const bool isUsable = !excludedFor(*pending).contains(endpoint.id) && !m_balancer.isLeaving(endpoint);
        if (isGranted && isUsable && maySendNow(*pending, m_clock.now()))
            return sendTo(pending, endpoint);
        m_metrics.counter("gateway_permits_refused_total").add(isGranted ? 0 : 1);
        sendNextOrFail(pending);
    });
}

/// The time of the earliest permit of an endpoint to which the request may be sent; empty if there is none.
template <typename Protocol>
std::optional<TimePoint> Forwarder<Protocol>::nextPermit(const PendingRequest& pending, TimePoint now) const
{
    const std::set<EndpointId> excluded = excludedFor(pending);
    std::optional<TimePoint> earliest;
    for (const auto& [id, until] : m_limiter.blocked(now)) {
        if (m_balancer.serves(id, pending.service->name) && !excluded.contains(id))
            earliest = std::min(until, earliest.value_or(until));
    }
    return earliest;
}

/// Tries again at the time of the next permit, if the request can then still be answered within its target latency.
template <typename Protocol>
bool Forwarder<Protocol>::waitForPermit(const PendingPointer& pending)
{
    const TimePoint now = m_clock.now();
    const auto permitAt = maySendNow(*pending, now) ? nextPermit(*pending, now) : std::nullopt;
    if (!permitAt || decideAtLimit(*pending->task.route, now - pending->task.receivedAt, *permitAt - now, m_balancer.medianAnswerTime(pending->service->name)) == LimitDecision::Refuse)
        return false;
    pending->isAwaitingPermit = true;
    pending->permitTimer = std::make_unique<asio::steady_timer>(m_io, *permitAt - now);
    // Without an attempt in progress, only this callback keeps the request.
    pending->permitTimer->async_wait([this, pending](std::error_code error) {
        if (error || pending->isDone)
            return;
        pending->isAwaitingPermit = false;
        sendNextOrFail(pending);
    });
    return true;
}

/// Records the limit that an answer names. A refusal without a limit does not end one.
template <typename Protocol>
void Forwarder<Protocol>::recordLimit(const Attempt& attempt, AnswerClass answerClass, const http1::Response& head)
{
    const auto limit = Protocol::limitOf(head);
    if (limit || answerClass == AnswerClass::Answer)
        m_limiter.recordAnswer({ attempt.endpoint.id, attempt.endpoint.startedMs }, limit, attempt.startedAt, m_clock.now());
}

}
