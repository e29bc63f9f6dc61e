#pragma once

#include "azurepaddle/pipeline/dispatcher.hpp"
#include "azurepaddle/pipeline/peer_exchange.hpp"

#include <map>
#include <vector>

namespace azurepaddle::pipeline {

/// Demands of all instances for one service, ordered by instance name.
struct ServiceDemands {
    std::vector<std::vector<admission::InstanceDemand>> byInstance;
    std::size_t self = 0; ///< Index of this instance.
};

/// Compares, once a second, the work that all instances served for each tenant, corrects the tenants' credits in the
/// local queues accordingly, and divides the endpoints' slots among the instances. Not thread-safe.
class ShareExchange {
public:
    explicit ShareExchange(InstanceId self)
        : m_self(std::move(self))
    {
    }

    void exchange(const std::vector<ServiceName>& services, LiveAdmission& admission, LiveRouter& router, PeerExchange& peers);

private:
    [[nodiscard]] ServiceDemands collect(const ServiceName& service, const std::vector<InstanceView>& views,
        const std::vector<admission::InstanceDemand>& ownDemands) const;
    void applyShare(const std::vector<ServiceDemands>& demands, LiveRouter& router);

    const InstanceId m_self;
    /// Smoothed fraction of all slots for each instance, in the order of the instances.
    std::vector<double> m_slotFractions;
    /// Smoothed fraction of the slots for long work for each instance, in the same order.
    std::vector<double> m_longSlotFractions;
};

}
