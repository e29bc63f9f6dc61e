#pragma once

#include "azurepaddle/control/order_leases.hpp"
#include "azurepaddle/weights/order.hpp"

#include <map>
#include <optional>
#include <vector>

namespace azurepaddle::weights {

struct SenderSettings {
    Duration leaseDuration = std::chrono::seconds(5);
    Duration leaseMargin = std::chrono::milliseconds(500); ///< No order is sent this close to the end of the lease.
    Duration renewInterval = std::chrono::milliseconds(1500);
    Duration orderDeadline = std::chrono::milliseconds(1000); ///< At most control::maxOrderDeadline.
    Duration readInterval = std::chrono::milliseconds(500); ///< Between two reads of an endpoint that is not settled.

    bool operator==(const SenderSettings&) const = default;
};

/// Decides when this instance may send orders to the endpoints of one service. An endpoint that checks fencing tokens
/// gets orders whenever the lease is held. For one that ignores them, the sender first waits until no order of an
/// earlier holder can arrive and reads the state; then it keeps reading until the state has been as wanted for one
/// lease duration, and lets orders be repeated wherever it differs. Performs no I/O. Not thread-safe.
class OrderSender {
public:
    OrderSender(SenderSettings settings, ServiceName service, control::Holder holder);

    /// A request to acquire or renew the lease, if one is due.
    [[nodiscard]] std::optional<control::AcquireOrderLease> leaseRequest(TimePoint now);
    /// The reply to a request that was first sent at this time. Its wait counts from now.
    void onLeaseReply(const control::OrderLeaseReply& reply, TimePoint requested, TimePoint now);
    /// The fate of the request is unknown. The lease ends as last granted.
    void onLeaseOutcomeUnknown() noexcept;

    /// True while the lease is held, with the margin.
    [[nodiscard]] bool holdsLease(TimePoint now) const noexcept;
    [[nodiscard]] control::Epoch epoch() const noexcept { return m_epoch; }

    /// Whether the endpoint checks tokens; unknown endpoints are taken not to.
    void setChecksToken(const EndpointId& endpoint, bool checksToken);
    void removeEndpoint(const EndpointId& endpoint);
    /// The order for an action, or nothing if it must not be sent now. Asked immediately before sending.
    [[nodiscard]] std::optional<Order> authorize(const OrderAction& action, TimePoint now);
    /// The state of an endpoint was read. The time is that at which the read began.
    void onState(const EndpointId& endpoint, bool isAtTarget, TimePoint readStarted, TimePoint now);
    /// Endpoints whose state is to be read now, in order. Each counts as asked.
    [[nodiscard]] std::vector<EndpointId> takeDueReads(TimePoint now);
    /// True if the endpoint checks tokens or its state has been as wanted for one lease duration.
    [[nodiscard]] bool isSettled(const EndpointId& endpoint) const;

private:
    struct Endpoint {
        bool checksToken = false;
        bool isSettled = false;
        std::optional<TimePoint> validReadStarted; ///< Begin of the last read under this lease after the wait.
        std::optional<TimePoint> atTargetSince;
        std::optional<TimePoint> lastReadRequested;
        std::optional<TimePoint> lastOrderSent;
    };

    void startEpoch(control::Epoch epoch);

    SenderSettings m_settings;
    ServiceName m_service;
    control::Holder m_holder;
    control::Epoch m_epoch = 0; ///< Of the last lease granted to this holder.
    std::optional<TimePoint> m_leaseExpiresAt;
    std::optional<TimePoint> m_nextRequestAt;
    bool m_isRequesting = false;
    TimePoint m_readsValidFrom {};
    std::map<EndpointId, Endpoint> m_endpoints;
};

}
