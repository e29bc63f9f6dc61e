#include "azurepaddle/admission/fair_queue.hpp"

#include <algorithm>

namespace azurepaddle::admission {

namespace {

    constexpr double minLocalFraction = 0.01; // Work that is new at this instance must not starve until the next exchange.

}

std::vector<TenantService> FairQueue::takeServices()
{
    std::vector<TenantService> result;
    for (auto& [name, tenant] : m_tenants) {
        if (tenant.served != 0 || tenant.queued > 0)
            result.push_back({ name, tenant.served, 0, tenant.queued, 0, tenant.longServed, tenant.longQueued });
        // The flows of ended runs go once the tenant is idle.
        if (tenant.count == 0 && tenant.served == 0)
            tenant.flows.clear();
        tenant.served = 0;
        tenant.longServed = 0;
    }
    std::sort(result.begin(), result.end(), [](const auto& left, const auto& right) { return left.tenant < right.tenant; });
    return result;
}

void FairQueue::correctCredits(const std::vector<TenantService>& services, std::size_t instances)
{
    m_defaultFraction = 1.0 / static_cast<double>(std::max<std::size_t>(1, instances));
    for (auto& [name, tenant] : m_tenants)
        tenant.localFraction = 0;
    // Only tenants with work waiting somewhere compete; the others got all they wanted.
    double weights = 0;
    double served = 0;
    for (const TenantService& service : services) {
        if (service.queuedEverywhere <= 0)
            continue;
        weights += weight(service.tenant);
        served += service.servedEverywhere;
    }
    for (const TenantService& service : services) {
        const auto found = m_tenants.find(service.tenant);
        if (found == m_tenants.end())
            continue;
        Tenant& tenant = found->second;
        const double everywhere = service.servedEverywhere + service.queuedEverywhere;
        if (everywhere > 0)
            tenant.localFraction = std::clamp((service.servedHere + service.queuedHere) / everywhere, minLocalFraction, 1.0);
        if (service.queuedEverywhere <= 0 || service.queuedHere <= 0)
            continue;
        const double entitled = served * tenant.weight / weights;
        const double missing = entitled - service.servedEverywhere;
        // Each instance makes up for its part of what is missing, as far as it has the tenant's work.
        tenant.deficit += missing * service.queuedHere / service.queuedEverywhere;
        clampDeficit(tenant);
    }
}

}
