#include "azurepaddle/admission/capacity.hpp"

#include <algorithm>
#include <map>

namespace azurepaddle::admission {

namespace {

    constexpr Duration windowLength = std::chrono::seconds(1);
    constexpr double rateSmoothing = 0.3;
    constexpr double timeSmoothing = 0.05;
    // Divided evenly among the instances, so that one without work can start new work.
    constexpr double reservedFraction = 0.1;

    struct TenantAllocation {
        double weight = 1;
        double demanded = 0;
        double allocated = 0;
    };

    /// Divides the capacity among the tenants by weight. What a tenant does not need is divided among the others.
    void allocateCapacity(std::map<TenantName, TenantAllocation>& allocations, double capacity)
    {
        std::vector<TenantAllocation*> unallocated;
        unallocated.reserve(allocations.size());
        for (auto& [tenant, allocation] : allocations)
            unallocated.push_back(&allocation);
        std::sort(unallocated.begin(), unallocated.end(), [](const TenantAllocation* left, const TenantAllocation* right) { return left->demanded / left->weight < right->demanded / right->weight; });
        double remainingWeight = 0;
        for (const TenantAllocation* allocation : unallocated)
            remainingWeight += allocation->weight;
        for (TenantAllocation* allocation : unallocated) {
            allocation->allocated = std::min(allocation->demanded, capacity * allocation->weight / remainingWeight);
            capacity -= allocation->allocated;
            remainingWeight -= allocation->weight;
        }
    }

}

void CapacityMeter::onFinished(double cost, double outputTokens, Duration runTime, bool hasQueue, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(runTime).count() / std::max(1.0, outputTokens);
    m_secondsPerToken += (m_secondsPerToken == 0 ? 1 : timeSmoothing) * (seconds - m_secondsPerToken);
    if (m_windowStart == TimePoint {})
        m_windowStart = now;
    m_windowCost += cost;
    m_windowHadQueue = m_windowHadQueue || hasQueue;
    const Duration elapsed = now - m_windowStart;
    if (elapsed < windowLength)
        return;
    const double rate = m_windowCost / std::chrono::duration<double>(elapsed).count();
    // Without a queue the rate is limited by the demand, so that it is only a lower bound of the capacity.
    if (m_windowHadQueue || rate > m_rate)
        m_rate += (m_rate == 0 ? 1 : rateSmoothing) * (rate - m_rate);
    m_windowStart = now;
    m_windowCost = 0;
    m_windowHadQueue = hasQueue;
}

std::vector<double> instanceFractions(const std::vector<std::vector<InstanceDemand>>& demands)
{
    std::map<TenantName, TenantAllocation> allocations;
    double capacity = 0;
    for (const auto& instance : demands) {
        for (const InstanceDemand& demand : instance) {
            TenantAllocation& allocation = allocations[demand.tenant];
            allocation.weight = demand.weight;
            allocation.demanded += demand.served + demand.queued;
            capacity += demand.served;
        }
    }
    allocateCapacity(allocations, capacity);
    const double equalFraction = 1.0 / static_cast<double>(std::max<std::size_t>(1, demands.size()));
    std::vector<double> result(demands.size(), equalFraction);
    if (capacity <= 0)
        return result;
    double allocated = 0;
    for (const auto& [tenant, allocation] : allocations)
        allocated += allocation.allocated;
    double sum = 0;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        double share = 0;
        for (const InstanceDemand& demand : demands[i]) {
            const TenantAllocation& allocation = allocations[demand.tenant];
            if (allocation.demanded > 0)
                share += allocation.allocated * (demand.served + demand.queued) / allocation.demanded;
        }
        result[i] = std::max(reservedFraction * equalFraction, share / allocated);
        sum += result[i];
    }
    for (double& fraction : result)
        fraction /= sum;
    return result;
}

std::vector<double> longInstanceFractions(std::vector<std::vector<InstanceDemand>> demands)
{
    for (auto& instance : demands) {
        for (InstanceDemand& demand : instance) {
            demand.served = demand.longServed;
            demand.queued = demand.longQueued;
        }
    }
    return instanceFractions(demands);
}

}
