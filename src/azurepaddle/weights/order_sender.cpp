#include "azurepaddle/weights/order_sender.hpp"

#include "azurepaddle/core/invariant.hpp"

#include <algorithm>

namespace azurepaddle::weights {

namespace {

    Duration toDuration(control::Milliseconds milliseconds) { return std::chrono::milliseconds(milliseconds); }

}

OrderSender::OrderSender(SenderSettings settings, ServiceName service, control::Holder holder)
    : m_settings(settings)
    , m_service(std::move(service))
    , m_holder(std::move(holder))
{
    AZUREPADDLE_INVARIANT(settings.orderDeadline <= toDuration(control::maxOrderDeadline), "a successor does not wait for orders of this deadline");
}

std::optional<control::AcquireOrderLease> OrderSender::leaseRequest(TimePoint now)
{
    if (m_isRequesting || (m_nextRequest && now < *m_nextRequest))
        return std::nullopt;
    m_isRequesting = true;
    const auto duration = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.leaseDuration).count();
    return control::AcquireOrderLease { m_service, m_holder, duration };
}

void OrderSender::onLeaseReply(const control::OrderLeaseReply& reply, TimePoint requested, TimePoint now)
{
    m_isRequesting = false;
    if (reply.status != control::OrderLeaseStatus::Granted) {
        m_leaseEnds.reset();
        m_nextRequest = now + std::min(std::max(toDuration(reply.wait), m_settings.readInterval), m_settings.renewInterval);
        return;
    }
    if (reply.epoch < m_epoch)
        return;
    if (reply.epoch > m_epoch)
        startEpoch(reply.epoch);
    m_nextRequest = requested + m_settings.renewInterval;
    const TimePoint ends = requested + toDuration(reply.duration);
    m_leaseEnds = m_leaseEnds ? std::max(*m_leaseEnds, ends) : ends;
    m_quietFrom = std::max(m_quietFrom, now + toDuration(reply.wait));
}

void OrderSender::onLeaseOutcomeUnknown() noexcept
{
    m_isRequesting = false;
}

void OrderSender::startEpoch(control::Epoch epoch)
{
    m_epoch = epoch;
    m_quietFrom = {};
    m_leaseEnds.reset();
    // Another holder may have sent orders in between.
    for (auto& [id, endpoint] : m_endpoints) {
        const bool checksToken = endpoint.checksToken;
        endpoint = Endpoint {};
        endpoint.checksToken = checksToken;
    }
}

bool OrderSender::holdsLease(TimePoint now) const noexcept
{
    return m_leaseEnds && now + m_settings.leaseMargin < *m_leaseEnds;
}

void OrderSender::setChecksToken(const EndpointId& endpoint, bool checksToken)
{
    m_endpoints[endpoint].checksToken = checksToken;
}

void OrderSender::removeEndpoint(const EndpointId& endpoint)
{
    m_endpoints.erase(endpoint);
}

std::optional<Order> OrderSender::authorize(const OrderAction& action, TimePoint now)
{
    Endpoint& endpoint = m_endpoints[action.endpoint];
    if (!holdsLease(now) || (!endpoint.checksToken && !endpoint.readSinceQuiet))
        return std::nullopt;
    endpoint.isSettled = false;
    endpoint.asWantedSince.reset();
    endpoint.lastOrder = now;
    return Order { action, m_epoch, now + m_settings.orderDeadline };
}

void OrderSender::onState(const EndpointId& id, bool isAtTarget, TimePoint asked, TimePoint now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end() || !holdsLease(now) || asked < m_quietFrom)
        return;
    Endpoint& endpoint = found->second;
    endpoint.readSinceQuiet = asked;
    // A read that began before the last order does not show its effect.
    if (endpoint.lastOrder && asked <= *endpoint.lastOrder)
        return;
    if (!isAtTarget) {
        endpoint.asWantedSince.reset();
        endpoint.isSettled = false;
        return;
    }
    if (!endpoint.asWantedSince)
        endpoint.asWantedSince = asked;
    endpoint.isSettled = asked - *endpoint.asWantedSince >= m_settings.leaseDuration;
}

std::vector<EndpointId> OrderSender::takeDueReads(TimePoint now)
{
    std::vector<EndpointId> due;
    if (!holdsLease(now) || now < m_quietFrom)
        return due;
    for (auto& [id, endpoint] : m_endpoints) {
        if (endpoint.checksToken || endpoint.isSettled)
            continue;
        if (endpoint.lastAsked && now - *endpoint.lastAsked < m_settings.readInterval)
            continue;
        endpoint.lastAsked = now;
        due.push_back(id);
    }
    return due;
}

bool OrderSender::isSettled(const EndpointId& id) const
{
    const auto found = m_endpoints.find(id);
    return found != m_endpoints.end() && (found->second.checksToken || found->second.isSettled);
}

}
