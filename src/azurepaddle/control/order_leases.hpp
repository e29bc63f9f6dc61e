#pragma once

#include "azurepaddle/control/types.hpp"

#include <map>

namespace azurepaddle::control {

/// Acquires or renews the right to send orders to the endpoints of a service.
struct AcquireOrderLease {
    static constexpr std::uint32_t tag = 20;
    ServiceName service;
    Holder holder;
    Milliseconds duration = 0;

    bool operator==(const AcquireOrderLease&) const = default;
    MSGPACK_DEFINE(service, holder, duration)
};

/// Gives the lease up. Orders already sent may still arrive until their deadline.
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
    Held, ///< Another holder has it; retry after the wait.
    Released,
    NotHolder,
};

struct OrderLeaseReply {
    static constexpr std::uint32_t tag = 20;
    OrderLeaseStatus status = OrderLeaseStatus::NotHolder;
    Epoch epoch = 0; ///< Fencing token of the lease in force.
    Holder holder; ///< Holder of the lease in force.
    Milliseconds duration = 0; ///< Granted: counted by the holder on its monotonic clock from before it sent the request.
    /// Held: time until the lease can be granted. Granted: time during which orders of the previous holder may still
    /// arrive; the holder sends nothing to endpoints that ignore the token before it has passed.
    Milliseconds wait = 0;

    bool operator==(const OrderLeaseReply&) const = default;
    MSGPACK_DEFINE(status, epoch, holder, duration, wait)
};

struct OrderLease {
    Epoch epoch = 0;
    Holder holder;
    LogTime expires = 0;
    LogTime quietFrom = 0; ///< From then on no order of an earlier holder can arrive.

    bool operator==(const OrderLease&) const = default;
    MSGPACK_DEFINE(epoch, holder, expires, quietFrom)
};

/// One order lease per service. The epoch rises with every change of holder and never falls.
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
