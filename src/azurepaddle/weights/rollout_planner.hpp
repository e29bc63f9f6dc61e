#pragma once

#include "azurepaddle/weights/order.hpp"
#include "azurepaddle/weights/store_limit.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace azurepaddle::weights {

struct PlannerSettings {
    double storeBytesPerSecond = 10e9;
    double weightBytes = 20e9; ///< Size of one version.
    /// Target time from the first switch order until the last replica has switched.
    Duration switchTimeTarget = std::chrono::seconds(7);
    /// Share of the target time that waves are planned for; the rest is reserved for repeated swaps.
    double switchTimeShare = 0.7;
    /// Estimated swap duration until the first swap is observed.
    Duration initialSwapDuration = std::chrono::seconds(1);
    /// A prefetch that is not reported complete within this time is ordered again.
    Duration prefetchTimeout = std::chrono::minutes(5);
    /// After this time, switching starts without endpoints that have not prefetched.
    Duration prefetchWaitLimit = std::chrono::minutes(10);
    /// If an endpoint does not report the effect of a switch or adapter order within this time, the order is considered
    /// lost. While the endpoint reports a swap in progress, swapTimeout applies instead.
    Duration orderTimeout = std::chrono::seconds(2);
    Duration swapTimeout = std::chrono::seconds(10); ///< A swap that is still running after this time is ordered again.

    bool operator==(const PlannerSettings&) const = default;
};

/// The version and adapters that the endpoints of a service should serve.
struct TargetWeights {
    WeightVersion version = 0;
    std::set<std::string> adapters;

    bool operator==(const TargetWeights&) const = default;
};

struct RolloutProgress {
    std::size_t endpoints = 0;
    std::size_t prefetched = 0; ///< Endpoints that serve the target version or have prefetched it.
    std::size_t switched = 0; ///< Endpoints that report the target version as the only one served.
    bool isSwitching = false; ///< The first switch order has been planned.
    std::optional<Duration> switchTime; ///< Time from the first switch order until all endpoints had switched.
    std::uint64_t repeatedSwitches = 0; ///< Switch orders repeated because the reported state did not match the target.

    bool operator==(const RolloutProgress&) const = default;
};

/// Rolls out a weight version and a set of adapters to the endpoints of one service. Prefetches the version on all
/// endpoints within the rate limit of the weight store and then switches a few endpoints at a time, so that the others
/// continue to serve. Determines success only from the reported state. Performs no I/O. Not thread-safe.
class RolloutPlanner {
public:
    explicit RolloutPlanner(PlannerSettings settings) noexcept;

    void setTarget(TargetWeights target, TimePoint now);
    void onReport(const EndpointReport& report, TimePoint now);
    void onEndpointRemoved(const EndpointId& endpoint);
    /// Handles an order that the endpoint rejected or that could not be sent.
    void onOrderFailed(const OrderAction& action, TimePoint now);
    /// Reverts an action that was not sent, for example because no lease was held.
    void onOrderNotSent(const OrderAction& action);

    /// Returns the actions due now, in order of endpoint, and marks them as sent.
    [[nodiscard]] std::vector<OrderAction> plan(TimePoint now);

    /// Returns the only version that an endpoint serves, if its reported state shows one and is newer than its last
    /// switch order. Endpoints without a confirmed version receive no labelled work.
    [[nodiscard]] std::optional<WeightVersion> confirmedVersion(const EndpointId& endpoint) const;
    /// True if the version and adapters that the endpoint reports match the target exactly.
    [[nodiscard]] bool isAtTarget(const EndpointId& endpoint) const;
    /// Returns the newest version such that at least this share of the endpoints with a confirmed version serve it or
    /// a newer one, or 0 if no endpoint has a confirmed version.
    [[nodiscard]] WeightVersion servedVersion(double share) const;
    /// Returns the number of endpoints that may switch at the same time.
    [[nodiscard]] std::size_t waveSize() const noexcept;
    [[nodiscard]] RolloutProgress progress() const;

private:
    struct PendingOrder {
        OrderAction action;
        TimePoint sent {};
    };
    struct Endpoint {
        EndpointReport report;
        std::optional<PendingOrder> prefetch;
        std::optional<PendingOrder> change; ///< A switch or an adapter order.
        /// Reports requested up to this time do not show the effect of the last switch order.
        TimePoint unconfirmedUntil {};
        std::optional<TimePoint> swappingSince; ///< Time of the first consecutive report with a swap in progress.
        bool wasSwitchOrdered = false; ///< A switch to the target version was ordered before.
    };

    [[nodiscard]] static std::optional<WeightVersion> confirmedVersion(const Endpoint& endpoint);
    [[nodiscard]] bool hasPrefetched(const Endpoint& endpoint) const;
    [[nodiscard]] bool hasSwitched(const Endpoint& endpoint) const;
    [[nodiscard]] bool maySwitch(TimePoint now) const;
    [[nodiscard]] std::size_t switchesInProgress(TimePoint now) const noexcept;
    [[nodiscard]] bool isSwapStuck(const Endpoint& endpoint) const noexcept;
    void completePendingOrders(Endpoint& endpoint, TimePoint now);
    void planPrefetch(Endpoint& endpoint, TimePoint now, std::vector<OrderAction>& actions);
    void planSwitch(Endpoint& endpoint, TimePoint now, std::vector<OrderAction>& actions);
    void planAdapters(Endpoint& endpoint, TimePoint now, std::vector<OrderAction>& actions);
    void recordCompletion(TimePoint now);

    PlannerSettings m_settings;
    StoreRateLimiter m_storeLimiter;
    TargetWeights m_target;
    TimePoint m_targetSince {};
    std::optional<TimePoint> m_switchStarted;
    std::optional<Duration> m_switchTime;
    Duration m_swapDuration;
    std::uint64_t m_repeatedSwitches = 0;
    std::map<EndpointId, Endpoint> m_endpoints;
};

}
