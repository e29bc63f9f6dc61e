#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"

#include <mutex>
#include <unordered_map>

namespace azurepaddle::admission {

/// Settings of a budget of additional attempts.
struct BudgetSettings {
    double ratio = 0.1; ///< Additional attempts per first attempt.
    double burst = 32; ///< Additional attempts that a tenant may save up: two endpoints of 16 slots full of its work.
    double totalBurst = 128; ///< The same for all tenants together.
    std::size_t maxTenants = 10000;

    friend bool operator==(const BudgetSettings&, const BudgetSettings&) = default;
};

/// Bounds additional attempts (retries or hedged copies) to a fraction of first attempts, per tenant and overall.
/// Thread-safe.
class RetryBudget {
public:
    explicit RetryBudget(const BudgetSettings& settings = {})
        : m_settings(settings)
        , m_total(settings.totalBurst)
    {
    }

    /// Earns the fraction for a first attempt.
    void onRequest(const TenantName& tenant);

    /// Takes one additional attempt out of both budgets. False if either is used up.
    [[nodiscard]] bool tryAcquire(const TenantName& tenant);

private:
    [[nodiscard]] double& balanceOf(const TenantName& tenant);

    BudgetSettings m_settings;
    std::mutex m_mutex;
    double m_total;
    std::unordered_map<TenantName, double> m_balances;
};

/// Settings of hedging.
struct HedgeSettings {
    double maxUtilisation = 1.0; ///< Fraction of the slots in use from which a copy would delay other work.
    BudgetSettings budget { 0.1, 40, 100, 10000 };

    friend bool operator==(const HedgeSettings&, const HedgeSettings&) = default;
};

/// What the hedging decision needs to know of a request in progress.
struct HedgeCandidate {
    TenantName tenant;
    bool isIdempotent = false;
    bool isSuspect = false; ///< In progress on an endpoint that died, with this fingerprint.
    bool hasCopy = false;
    double utilisation = 0; ///< Estimated fraction of the slots of all endpoints of the service in use.
    double remainingSeconds = 0; ///< Expected time in seconds until the end where it runs.
    double copySeconds = 0; ///< Expected time in seconds of a copy.

    friend bool operator==(const HedgeCandidate&, const HedgeCandidate&) = default;
};

/// Decides on hedged copies: only of idempotent work that is no suspect, within a budget, only where a copy is expected
/// to end clearly earlier, and none while the endpoints are nearly full. Thread-safe.
class HedgePolicy {
public:
    explicit HedgePolicy(const HedgeSettings& settings = {})
        : m_settings(settings)
        , m_budget(settings.budget)
    {
    }

    void onRequest(const TenantName& tenant) { m_budget.onRequest(tenant); }
    [[nodiscard]] bool allow(const HedgeCandidate& candidate);

private:
    HedgeSettings m_settings;
    RetryBudget m_budget;
};

}
