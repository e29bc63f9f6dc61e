#pragma once

#include "azurepaddle/control/types.hpp"

#include <map>

namespace azurepaddle::control {

/// Acquires or renews the right to send orders to the endpoints of a service. Orders change the weights and adapters
/// that an endpoint has loaded.
struct AcquireOrderLease {
    static constexpr std::uint32_t tag = 20;
    ServiceName service;
    Holder holder;
    Milliseconds duration = 0;

    bool operator==(const AcquireOrderLease&) const = default;
    MSGPACK_DEFINE(service, holder, duration)
};

/// Releases the lease. Orders already sent may still arrive until their deadline.
struct ReleaseOrderLease {
    static constexpr std::uint32_t tag = 21;
    ServiceName service;
    Holder holder;
    Epoch epoch = 0;

    bool operator==(const ReleaseOrderLease&) const = default;
    MSGPACK_DEFINE(service, holder, epoch)
};

enum class OrderLeaseStatus : unsigned char {
    Granted,
    Held, ///< The lease belongs to another holder; retry after the wait.
    Released,
    NotHolder,
};

struct OrderLeaseReply {
    static constexpr std::uint32_t tag = 20;
    OrderLeaseStatus status = OrderLeaseStatus::NotHolder;
    Epoch epoch = 0; ///< Fencing token of the lease in force.
    Holder holder; ///< Holder of the lease in force.
    /// If granted: the holder measures it on its monotonic clock from before it sent the request.
    Milliseconds duration = 0;
    /// If held: time until the lease can be granted. If granted: time during which orders of the previous holder may
    /// still arrive; until then, the holder sends no orders to endpoints that do not check the fencing token.
    Milliseconds wait = 0;

    bool operator==(const OrderLeaseReply&) const = default;
    MSGPACK_DEFINE(status, epoch, holder, duration, wait)
};

struct OrderLease {
    Epoch epoch = 0;
    Holder holder;
    LogTime expires = 0;
    LogTime previousOrdersEnd = 0; ///< No order of an earlier holder can arrive from this time on.

    bool operator==(const OrderLease&) const = default;
    MSGPACK_DEFINE(epoch, holder, expires, previousOrdersEnd)
};

/// One order lease per service. The epoch increases with every change of holder and never decreases.
class OrderLeases {
public:
    [[nodiscard]] OrderLeaseReply acquire(const AcquireOrderLease& request, LogTime now);
    [[nodiscard]] OrderLeaseReply release(const ReleaseOrderLease& request, LogTime now);
    [[nodiscard]] const std::map<ServiceName, OrderLease>& leases() const noexcept { return m_leases; }

    bool operator==(const OrderLeases&) const = default;
    MSGPACK_DEFINE(m_leases)

private:
    std::map<ServiceName, OrderLease> m_leases;
};

}

MSGPACK_ADD_ENUM(azurepaddle::control::OrderLeaseStatus)
