#include "azurepaddle/control/order_leases.hpp"

#include <algorithm>

namespace azurepaddle::control {

OrderLeaseReply OrderLeases::acquire(const AcquireOrderLease& request, LogTime now)
{
    OrderLease& lease = m_leases[request.service];
    const bool isRenewal = lease.holder == request.holder;
    // The expiry may have been set by a leader whose clock was behind by the largest allowed difference.
    const LogTime free = lease.holder.empty() ? lease.expires : lease.expires + maxClockDifference;
    if (!isRenewal && lease.epoch > 0 && now < free)
        return { OrderLeaseStatus::Held, lease.epoch, lease.holder, 0, free - now };
    if (!isRenewal) {
        lease.quietFrom = lease.epoch == 0 ? now : std::max(lease.quietFrom, free + maxOrderDeadline);
        lease.holder = request.holder;
        ++lease.epoch;
    }
    lease.expires = std::max(lease.expires, now + request.duration);
    return { OrderLeaseStatus::Granted, lease.epoch, lease.holder, request.duration, std::max<Milliseconds>(0, lease.quietFrom - now) };
}

OrderLeaseReply OrderLeases::release(const ReleaseOrderLease& request, LogTime now)
{
    const auto found = m_leases.find(request.service);
    if (found == m_leases.end())
        return { OrderLeaseStatus::NotHolder, 0, {}, 0, 0 };
    OrderLease& lease = found->second;
    if (lease.holder != request.holder || lease.epoch != request.epoch)
        return { OrderLeaseStatus::NotHolder, lease.epoch, lease.holder, 0, 0 };
    lease.holder = {};
    lease.expires = now;
    return { OrderLeaseStatus::Released, lease.epoch, {}, 0, 0 };
}

}
