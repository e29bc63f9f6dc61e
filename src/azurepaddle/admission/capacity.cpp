#include "azurepaddle/admission/capacity.hpp"

#include <algorithm>
#include <map>

namespace azurepaddle::admission {

namespace {

    constexpr Duration windowLength = std::chrono::seconds(1);
    constexpr double rateSmoothing = 0.3;
    constexpr double timeSmoothing = 0.05;
    constexpr double reservedFraction = 0.1; // Divided evenly: an instance without work keeps this part for new work.

    struct Claim {
        double weight = 1;
        double wanted = 0;
        double granted = 0;
    };

    /// Divides the capacity by weight; what a tenant does not want goes to the others.
    void divide(std::map<TenantName, Claim>& claims, double capacity)
    {
        std::vector<Claim*> open;
        open.reserve(claims.size());
        for (auto& [tenant, claim] : claims)
            open.push_back(&claim);
        std::sort(open.begin(), open.end(), [](const Claim* left, const Claim* right) { return left->wanted / left->weight < right->wanted / right->weight; });
        double weights = 0;
        for (const Claim* claim : open)
            weights += claim->weight;
        for (Claim* claim : open) {
            claim->granted = std::min(claim->wanted, capacity * claim->weight / weights);
            capacity -= claim->granted;
            weights -= claim->weight;
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
    const Duration passed = now - m_windowStart;
    if (passed < windowLength)
        return;
    const double rate = m_windowCost / std::chrono::duration<double>(passed).count();
    // Without a queue the rate shows what was asked for, which bounds the capacity only from below.
    if (m_windowHadQueue || rate > m_rate)
        m_rate += (m_rate == 0 ? 1 : rateSmoothing) * (rate - m_rate);
    m_windowStart = now;
    m_windowCost = 0;
    m_windowHadQueue = hasQueue;
}

std::vector<double> instanceFractions(const std::vector<std::vector<InstanceDemand>>& demands)
{
    std::map<TenantName, Claim> claims;
    double capacity = 0;
    for (const auto& instance : demands) {
        for (const InstanceDemand& demand : instance) {
            Claim& claim = claims[demand.tenant];
            claim.weight = demand.weight;
            claim.wanted += demand.served + demand.queued;
            capacity += demand.served;
        }
    }
    divide(claims, capacity);
    const double even = 1.0 / static_cast<double>(std::max<std::size_t>(1, demands.size()));
    std::vector<double> result(demands.size(), even);
    if (capacity <= 0)
        return result;
    double granted = 0;
    for (const auto& [tenant, claim] : claims)
        granted += claim.granted;
    double sum = 0;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        double part = 0;
        for (const InstanceDemand& demand : demands[i]) {
            const Claim& claim = claims[demand.tenant];
            if (claim.wanted > 0)
                part += claim.granted * (demand.served + demand.queued) / claim.wanted;
        }
        result[i] = std::max(reservedFraction * even, part / granted);
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
