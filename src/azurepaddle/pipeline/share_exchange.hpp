#pragma once

#include "azurepaddle/pipeline/dispatcher.hpp"
#include "azurepaddle/pipeline/peer_exchange.hpp"

#include <map>
#include <vector>

namespace azurepaddle::pipeline {

/// Demands of all instances for one service, in the order of the instances' names.
struct ServiceDemands {
    std::vector<std::vector<admission::InstanceDemand>> byInstance;
    std::size_t self = 0; ///< Position of this instance.
};

/// Once a second compares what all instances gave to each tenant, corrects the local queues by it, and divides the
/// endpoints' slots among the instances. Not thread-safe.
class ShareExchange {
public:
    explicit ShareExchange(InstanceId self)
        : m_self(std::move(self))
    {
    }

    void exchange(const std::vector<ServiceName>& services, LiveAdmission& admission, LiveRouter& router, PeerExchange& peers);

private:
    [[nodiscard]] ServiceDemands collect(const ServiceName& service, const std::vector<InstanceView>& views,
        const std::vector<admission::InstanceDemand>& own) const;
    void applyShare(const std::vector<ServiceDemands>& demands, LiveRouter& router);

    const InstanceId m_self;
    std::vector<double> m_parts; ///< Smoothed parts of all slots, in the order of the instances.
    std::vector<double> m_longParts; ///< The same for long work.
};

}
