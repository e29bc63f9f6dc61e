#pragma once

#include "azurepaddle/control/order_leases.hpp"
#include "azurepaddle/weights/order.hpp"

#include <map>
#include <optional>
#include <vector>

namespace azurepaddle::weights {

struct SenderSettings {
    Duration leaseDuration = std::chrono::seconds(5);
    /// No order is sent within this time before the lease expires.
    Duration leaseMargin = std::chrono::milliseconds(500);
    Duration renewInterval = std::chrono::milliseconds(1500);
    Duration orderDeadline = std::chrono::milliseconds(1000); ///< At most control::maxOrderDeadline.
    Duration readInterval = std::chrono::milliseconds(500); ///< Between two reads of an endpoint that is not settled.

    bool operator==(const SenderSettings&) const = default;
};

/// Decides when this instance may send orders to the endpoints of one service. Orders to an endpoint that checks
/// fencing tokens may be sent whenever the lease is held. For an endpoint that ignores tokens, the sender first waits
/// until no order of a previous holder can arrive, and then reads the state. It continues to read until the state has
/// matched the target for one lease duration, and allows orders to be repeated while it differs. Performs no I/O. Not
/// thread-safe.
class OrderSender {
public:
    OrderSender(SenderSettings settings, ServiceName service, control::Holder holder);

    /// Returns a request to acquire or renew the lease, if one is due.
    [[nodiscard]] std::optional<control::AcquireOrderLease> leaseRequest(TimePoint now);
    /// Handles the reply to a request that was first sent at the given time. The wait in the reply starts now.
    void onLeaseReply(const control::OrderLeaseReply& reply, TimePoint requested, TimePoint now);
    /// Handles a request whose outcome is unknown. The lease keeps the expiry time of the last grant.
    void onLeaseOutcomeUnknown() noexcept;

    /// True while the lease is held and expires later than the lease margin.
    [[nodiscard]] bool holdsLease(TimePoint now) const noexcept;
    [[nodiscard]] control::Epoch epoch() const noexcept { return m_epoch; }

    /// Sets whether the endpoint checks fencing tokens. Unknown endpoints are assumed to ignore them.
    void setChecksToken(const EndpointId& endpoint, bool checksToken);
    void removeEndpoint(const EndpointId& endpoint);
    /// Returns the order for an action, or nothing if it must not be sent now. Call this immediately before sending.
    [[nodiscard]] std::optional<Order> authorize(const OrderAction& action, TimePoint now);
    /// Handles the state of an endpoint from a read that started at the given time.
    void onState(const EndpointId& endpoint, bool isAtTarget, TimePoint readStarted, TimePoint now);
    /// Returns the endpoints whose state must be read now, in order, and marks the reads as requested.
    [[nodiscard]] std::vector<EndpointId> takeDueReads(TimePoint now);
    /// True if the endpoint checks fencing tokens or its state has matched the target for one lease duration.
    [[nodiscard]] bool isSettled(const EndpointId& endpoint) const;

private:
    struct Endpoint {
        bool checksToken = false;
        bool isSettled = false;
        std::optional<TimePoint> validReadStarted; ///< Start of the last read under this lease and after the wait.
        std::optional<TimePoint> atTargetSince;
        std::optional<TimePoint> lastReadRequested;
        std::optional<TimePoint> lastOrderSent;
    };

    void startEpoch(control::Epoch epoch);

    SenderSettings m_settings;
    ServiceName m_service;
    control::Holder m_holder;
    control::Epoch m_epoch = 0; ///< Epoch of the last lease granted to this holder.
    std::optional<TimePoint> m_leaseExpiresAt;
    std::optional<TimePoint> m_nextRequestAt;
    bool m_isRequesting = false;
    TimePoint m_readsValidFrom {};
    std::map<EndpointId, Endpoint> m_endpoints;
};

}
