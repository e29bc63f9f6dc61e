#include "azurepaddle/control/order_leases.hpp"

#include <algorithm>

namespace azurepaddle::control {

OrderLeaseReply OrderLeases::acquire(const AcquireOrderLease& request, LogTime now)
{
    OrderLease& lease = m_leases[request.service];
    const bool isRenewal = lease.holder == request.holder;
    // The expiry may have been set by a leader whose clock was behind by the largest allowed difference.
    const LogTime availableAt = lease.holder.empty() ? lease.expires : lease.expires + maxClockDifference;
    if (!isRenewal && lease.epoch > 0 && now < availableAt)
        return { OrderLeaseStatus::Held, lease.epoch, lease.holder, 0, availableAt - now };
    if (!isRenewal) {
        lease.previousOrdersEnd = lease.epoch == 0 ? now : std::max(lease.previousOrdersEnd, availableAt + maxOrderDeadline);
        lease.holder = request.holder;
        ++lease.epoch;
    }
    lease.expires = std::max(lease.expires, now + request.duration);
    return { OrderLeaseStatus::Granted, lease.epoch, lease.holder, request.duration, std::max<Milliseconds>(0, lease.previousOrdersEnd - now) };
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
