#pragma once

#include "azurepaddle/admission/types.hpp"

#include <vector>

namespace azurepaddle::admission {

/// Measures the cost per second that a service's endpoints process for this instance, and the time per token. Not
/// thread-safe.
class CapacityMeter {
public:
    /// Records a finished request. `hasQueue` tells whether further requests were queued when it finished.
    void onFinished(double cost, double outputTokens, Duration runTime, bool hasQueue, TimePoint now);

    /// Processed cost per second; 0 while unknown.
    [[nodiscard]] double rate() const noexcept { return m_rate; }
    /// Seconds per generated token; 0 while unknown.
    [[nodiscard]] double secondsPerToken() const noexcept { return m_secondsPerToken; }

private:
    TimePoint m_windowStart {};
    double m_windowCost = 0;
    bool m_windowHadQueue = false;
    double m_rate = 0;
    double m_secondsPerToken = 0;
};

/// The cost of one tenant's requests at one instance in the last interval, both those sent to endpoints and those
/// queued, as published by that instance.
struct InstanceDemand {
    TenantName tenant;
    double weight = 1;
    double served = 0; ///< Cost of the requests sent to endpoints.
    double queued = 0; ///< Cost of the queued requests.
    double longServed = 0; ///< The part of `served` that is long work.
    double longQueued = 0; ///< The part of `queued` that is long work.

    friend bool operator==(const InstanceDemand&, const InstanceDemand&) = default;
};

/// Returns the fraction of the endpoints' slots that each instance may use, in the order of the instances. The capacity
/// is the cost served in the last interval. It is divided among the tenants by weight, up to the demand of each, and a
/// tenant's part is divided among the instances in proportion to its work at each. Every instance keeps a small part
/// for new work. All instances compute the same fractions from the same demands.
[[nodiscard]] std::vector<double> instanceFractions(const std::vector<std::vector<InstanceDemand>>& demands);

/// Returns the corresponding fractions of the slots open to long work, computed from the demands for long work alone.
[[nodiscard]] std::vector<double> longInstanceFractions(std::vector<std::vector<InstanceDemand>> demands);

}
