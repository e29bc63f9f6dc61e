#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"

#include <mutex>
#include <unordered_map>

namespace azurepaddle::admission {

/// Settings of a budget for additional attempts.
struct RetryBudgetSettings {
    double ratio = 0.1; ///< Additional attempts earned by each first attempt.
    /// Additional attempts that a tenant may accumulate: as many as two full endpoints of 16 slots run.
    double burst = 32;
    double totalBurst = 128; ///< Additional attempts that all tenants together may accumulate.
    std::size_t maxTenants = 10000; ///< Tenants whose balance is kept.

    friend bool operator==(const RetryBudgetSettings&, const RetryBudgetSettings&) = default;
};

/// Limits additional attempts (retries or hedged copies) to a fraction of the first attempts, per tenant and overall.
/// Thread-safe.
class RetryBudget {
public:
    explicit RetryBudget(const RetryBudgetSettings& settings = {})
        : m_settings(settings)
        , m_total(settings.totalBurst)
    {
    }

    /// Records a first attempt, which adds `ratio` to the budgets of the tenant and of all tenants.
    void onRequest(const TenantName& tenant);

    /// Takes one additional attempt from both budgets. Returns false if either is exhausted.
    [[nodiscard]] bool tryAcquire(const TenantName& tenant);

private:
    [[nodiscard]] double& balanceOf(const TenantName& tenant);

    RetryBudgetSettings m_settings;
    std::mutex m_mutex;
    double m_total;
    std::unordered_map<TenantName, double> m_balances;
};

/// Settings of hedging.
struct HedgeSettings {
    double maxUtilisation = 1.0; ///< No copies from this fraction of slots in use, because they would delay other work.
    RetryBudgetSettings budget { 0.1, 40, 100, 10000 };

    friend bool operator==(const HedgeSettings&, const HedgeSettings&) = default;
};

/// A request in progress for which a hedged copy is considered.
struct HedgeCandidate {
    TenantName tenant;
    bool isIdempotent = false;
    bool isSuspect = false; ///< A request with this fingerprint was in progress on an endpoint that failed.
    bool hasCopy = false;
    double utilisation = 0; ///< Estimated fraction of slots in use over all endpoints of the service.
    double remainingSeconds = 0; ///< Expected time until the attempt in progress finishes.
    double copySeconds = 0; ///< Expected run time of a copy.

    friend bool operator==(const HedgeCandidate&, const HedgeCandidate&) = default;
};

/// Decides whether to send a hedged copy of a request. A copy is sent only if the request is idempotent and not a
/// suspect, the copy is expected to finish much sooner, the endpoints are not full and the budget allows it.
/// Thread-safe.
class HedgePolicy {
public:
    explicit HedgePolicy(const HedgeSettings& settings = {})
        : m_settings(settings)
        , m_budget(settings.budget)
    {
    }

    void onRequest(const TenantName& tenant) { m_budget.onRequest(tenant); }
    /// Returns whether to send a copy, and takes it from the budget if so.
    [[nodiscard]] bool allow(const HedgeCandidate& candidate);

private:
    HedgeSettings m_settings;
    RetryBudget m_budget;
};

}
