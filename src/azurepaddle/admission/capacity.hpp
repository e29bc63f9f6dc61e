#pragma once

#include "azurepaddle/admission/types.hpp"

#include <vector>

namespace azurepaddle::admission {

/// Measures the work per second that a service's endpoints do for this instance, and the time per token. Not
/// thread-safe.
class CapacityMeter {
public:
    void onFinished(double cost, double outputTokens, Duration runTime, bool hasQueue, TimePoint now);

    /// Cost per second; 0 while unknown.
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

/// What one instance published about a tenant's work in the last interval.
struct InstanceDemand {
    TenantName tenant;
    double weight = 1;
    double served = 0; ///< Cost sent to endpoints.
    double queued = 0; ///< Cost waiting.
    double longServed = 0; ///< The part of long work.
    double longQueued = 0;

    friend bool operator==(const InstanceDemand&, const InstanceDemand&) = default;
};

/// The fraction of the endpoints' slots that each instance may use, in the order of the instances. The capacity is what
/// was served in the last interval; it is divided among the tenants by weight, up to what each wants, and a tenant's
/// part goes to the instances in proportion to its work there. Every instance keeps a small part for new work. All
/// instances that compute this from equal demands get equal fractions.
[[nodiscard]] std::vector<double> instanceFractions(const std::vector<std::vector<InstanceDemand>>& demands);

/// The same for the slots open to long work, from the demands for long work alone.
[[nodiscard]] std::vector<double> longInstanceFractions(std::vector<std::vector<InstanceDemand>> demands);

}
