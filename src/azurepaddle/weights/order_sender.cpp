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
    AZUREPADDLE_INVARIANT(settings.orderDeadline <= toDuration(control::maxOrderDeadline), "the order deadline exceeds maxOrderDeadline, the time that a successor waits for earlier orders");
}

std::optional<control::AcquireOrderLease> OrderSender::leaseRequest(TimePoint now)
{
    if (m_isRequesting || (m_nextRequestAt && now < *m_nextRequestAt))
        return std::nullopt;
    m_isRequesting = true;
    const auto duration = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.leaseDuration).count();
    return control::AcquireOrderLease { m_service, m_holder, duration };
}

void OrderSender::onLeaseReply(const control::OrderLeaseReply& reply, TimePoint requested, TimePoint now)
{
    m_isRequesting = false;
    if (reply.status != control::OrderLeaseStatus::Granted) {
        m_leaseExpiresAt.reset();
        m_nextRequestAt = now + std::min(std::max(toDuration(reply.wait), m_settings.readInterval), m_settings.renewInterval);
        return;
    }
    if (reply.epoch < m_epoch)
        return;
    if (reply.epoch > m_epoch)
        startEpoch(reply.epoch);
    m_nextRequestAt = requested + m_settings.renewInterval;
    const TimePoint expiresAt = requested + toDuration(reply.duration);
    m_leaseExpiresAt = m_leaseExpiresAt ? std::max(*m_leaseExpiresAt, expiresAt) : expiresAt;
    m_readsValidFrom = std::max(m_readsValidFrom, now + toDuration(reply.wait));
}

void OrderSender::onLeaseOutcomeUnknown() noexcept
{
    m_isRequesting = false;
}

void OrderSender::startEpoch(control::Epoch epoch)
{
    m_epoch = epoch;
    m_readsValidFrom = {};
    m_leaseExpiresAt.reset();
    // Another holder may have sent orders between the two leases.
    for (auto& [id, endpoint] : m_endpoints) {
        const bool checksToken = endpoint.checksToken;
        endpoint = Endpoint {};
        endpoint.checksToken = checksToken;
    }
}

bool OrderSender::holdsLease(TimePoint now) const noexcept
{
    return m_leaseExpiresAt && now + m_settings.leaseMargin < *m_leaseExpiresAt;
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
    if (!holdsLease(now) || (!endpoint.checksToken && !endpoint.validReadStarted))
        return std::nullopt;
    endpoint.isSettled = false;
    endpoint.atTargetSince.reset();
    endpoint.lastOrderSent = now;
    return Order { action, m_epoch, now + m_settings.orderDeadline };
}

void OrderSender::onState(const EndpointId& id, bool isAtTarget, TimePoint readStarted, TimePoint now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end() || !holdsLease(now) || readStarted < m_readsValidFrom)
        return;
    Endpoint& endpoint = found->second;
    endpoint.validReadStarted = readStarted;
    // A read that started before the last order was sent does not show the effect of the order.
    if (endpoint.lastOrderSent && readStarted <= *endpoint.lastOrderSent)
        return;
    if (!isAtTarget) {
        endpoint.atTargetSince.reset();
        endpoint.isSettled = false;
        return;
    }
    if (!endpoint.atTargetSince)
        endpoint.atTargetSince = readStarted;
    endpoint.isSettled = readStarted - *endpoint.atTargetSince >= m_settings.leaseDuration;
}

std::vector<EndpointId> OrderSender::takeDueReads(TimePoint now)
{
    std::vector<EndpointId> due;
    if (!holdsLease(now) || now < m_readsValidFrom)
        return due;
    for (auto& [id, endpoint] : m_endpoints) {
        if (endpoint.checksToken || endpoint.isSettled)
            continue;
        if (endpoint.lastReadRequested && now - *endpoint.lastReadRequested < m_settings.readInterval)
            continue;
        endpoint.lastReadRequested = now;
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
