#include "azurepaddle/admission/fair_queue.hpp"

#include <algorithm>

namespace azurepaddle::admission {

namespace {

    // Keeps work that is new at this instance from starving until the next exchange.
    constexpr double minLocalFraction = 0.01;

}

std::vector<TenantDemand> FairQueue::takeDemands()
{
    std::vector<TenantDemand> result;
    for (auto& [name, tenant] : m_tenants) {
        if (tenant.servedCost != 0 || tenant.queuedCost > 0)
            result.push_back({ name, tenant.servedCost, 0, tenant.queuedCost, 0, tenant.longServedCost, tenant.longQueuedCost });
        // The flows of runs that ended are removed when the tenant is idle.
        if (tenant.queuedCount == 0 && tenant.servedCost == 0)
            tenant.flows.clear();
        tenant.servedCost = 0;
        tenant.longServedCost = 0;
    }
    std::sort(result.begin(), result.end(), [](const auto& left, const auto& right) { return left.tenant < right.tenant; });
    return result;
}

void FairQueue::correctCredits(const std::vector<TenantDemand>& demands, std::size_t instances)
{
    m_defaultLocalFraction = 1.0 / static_cast<double>(std::max<std::size_t>(1, instances));
    for (auto& [name, tenant] : m_tenants)
        tenant.localFraction = 0;
    // Only tenants with queued work at some instance compete for capacity. The demand of the others was met.
    double weightSum = 0;
    double served = 0;
    for (const TenantDemand& demand : demands) {
        if (demand.totalQueued <= 0)
            continue;
        weightSum += weight(demand.tenant);
        served += demand.totalServed;
    }
    for (const TenantDemand& demand : demands) {
        const auto found = m_tenants.find(demand.tenant);
        if (found == m_tenants.end())
            continue;
        Tenant& tenant = found->second;
        const double totalWork = demand.totalServed + demand.totalQueued;
        if (totalWork > 0)
            tenant.localFraction = std::clamp((demand.localServed + demand.localQueued) / totalWork, minLocalFraction, 1.0);
        if (demand.totalQueued <= 0 || demand.localQueued <= 0)
            continue;
        const double entitledCost = served * tenant.weight / weightSum;
        const double missingCost = entitledCost - demand.totalServed;
        // Each instance corrects the part of the difference that corresponds to its fraction of the tenant's queued
        // work.
        tenant.deficit += missingCost * demand.localQueued / demand.totalQueued;
        clampDeficit(tenant);
    }
}

}
