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
    double weightBytes = 20e9; ///< Of one version.
    Duration switchTimeTarget = std::chrono::seconds(7); ///< From the first switch order to the last replica.
    double switchTimeShare = 0.7; ///< Share of the target planned for; the rest covers swaps that are repeated.
    Duration initialSwapDuration = std::chrono::seconds(1); ///< Assumed until a swap was seen.
    Duration prefetchTimeout = std::chrono::minutes(5); ///< A prefetch that is not reported done by then is ordered again.
    Duration prefetchWaitLimit = std::chrono::minutes(10); ///< Switching then starts without the endpoints that lag.
    Duration orderTimeout = std::chrono::seconds(2); ///< An order without effect on the stated state by then is lost.
    Duration swapTimeout = std::chrono::seconds(10); ///< A swap still running by then is ordered again.

    bool operator==(const PlannerSettings&) const = default;
};

/// What the endpoints of a service should serve.
struct TargetWeights {
    WeightVersion version = 0;
    std::set<std::string> adapters;

    bool operator==(const TargetWeights&) const = default;
};

struct RolloutProgress {
    std::size_t endpoints = 0;
    std::size_t prefetched = 0; ///< Serve the wanted version or hold it ready.
    std::size_t switched = 0; ///< State that they serve the wanted version and only that.
    bool isSwitching = false; ///< The first switch order is out.
    std::optional<Duration> switchTime; ///< From the first switch order until all had switched.
    std::uint64_t repeatedSwitches = 0; ///< Orders repeated because the stated state was not as wanted.

    bool operator==(const RolloutProgress&) const = default;
};

/// Brings the endpoints of one service to a weight version and a set of adapters. Prefetches everywhere within the rate
/// of the weight store and then switches a few endpoints at a time, so that the others go on serving. Judges success
/// only by what endpoints state. Performs no I/O. Not thread-safe.
class RolloutPlanner {
public:
    explicit RolloutPlanner(PlannerSettings settings) noexcept;

    void setTarget(TargetWeights target, TimePoint now);
    void onReport(const EndpointReport& report, TimePoint now);
    void onEndpointRemoved(const EndpointId& endpoint);
    /// The endpoint refused the order or it could not be sent.
    void onOrderFailed(const OrderAction& action, TimePoint now);
    /// Takes back an action that was not sent, for example without a lease.
    void onOrderNotSent(const OrderAction& action);

    /// Actions due now, in order of endpoint. They count as sent.
    [[nodiscard]] std::vector<OrderAction> plan(TimePoint now);

    /// The version of an endpoint whose state is clear. Others get no labelled work.
    [[nodiscard]] std::optional<WeightVersion> confirmedVersion(const EndpointId& endpoint) const;
    /// True if the endpoint states exactly what is wanted.
    [[nodiscard]] bool isAtTarget(const EndpointId& endpoint) const;
    /// The newest version that at least this share of the endpoints with a clear state serve. 0 if there is none.
    [[nodiscard]] WeightVersion servedVersion(double share) const;
    /// Endpoints that may switch at the same time.
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
        TimePoint unconfirmedUntil {}; ///< Reports asked for earlier do not show the effect of the last switch order.
        std::optional<TimePoint> swappingSince; ///< First report in a row that stated a swap in progress.
        bool wasSwitchOrdered = false; ///< A switch to the wanted version was ordered before.
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
