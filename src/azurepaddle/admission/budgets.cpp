#include "azurepaddle/admission/budgets.hpp"

#include <algorithm>

namespace azurepaddle::admission {

namespace {

    // A copy must be expected to finish this many times sooner, or its additional load outweighs the gain.
    constexpr double minHedgeSpeedup = 1.5;

}

void RetryBudget::onRequest(const TenantName& tenant)
{
    const std::lock_guard lock(m_mutex);
    double& balance = balanceOf(tenant);
    balance = std::min(m_settings.burst, balance + m_settings.ratio);
    m_total = std::min(m_settings.totalBurst, m_total + m_settings.ratio);
}

bool RetryBudget::tryAcquire(const TenantName& tenant)
{
    const std::lock_guard lock(m_mutex);
    double& balance = balanceOf(tenant);
    if (balance < 1 || m_total < 1)
        return false;
    balance -= 1;
    m_total -= 1;
    return true;
}

double& RetryBudget::balanceOf(const TenantName& tenant)
{
    const auto found = m_balances.find(tenant);
    if (found != m_balances.end())
        return found->second;
    if (m_balances.size() >= m_settings.maxTenants)
        m_balances.erase(m_balances.begin());
    return m_balances.emplace(tenant, m_settings.burst).first->second;
}

bool HedgePolicy::allow(const HedgeCandidate& candidate)
{
    if (!candidate.isIdempotent || candidate.isSuspect || candidate.hasCopy)
        return false;
    if (candidate.utilisation >= m_settings.maxUtilisation)
        return false;
    if (candidate.remainingSeconds < minHedgeSpeedup * candidate.copySeconds)
        return false;
    return m_budget.tryAcquire(candidate.tenant);
}

}
