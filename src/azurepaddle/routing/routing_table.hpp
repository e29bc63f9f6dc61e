#pragma once

#include "azurepaddle/routing/endpoint_state.hpp"
#include "azurepaddle/routing/progress_deadlines.hpp"

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <unordered_map>
#include <vector>

namespace azurepaddle::routing {

/// Tells whether the caller's own limits admit a further request at an endpoint. It is called under a lock of the router
/// and must not call the router.
using EndpointFilter = std::function<bool(const EndpointId&)>;

}

namespace azurepaddle::routing::internal {

/// The endpoints of one service and their peers' median.
struct ServiceState {
    using Endpoints = std::vector<std::shared_ptr<EndpointState>>;

    explicit ServiceState(const SlowSettings& settings)
        : endpoints(std::make_shared<const Endpoints>())
        , slow(settings)
    {
    }

    std::mutex mutex; ///< Guards `endpoints` and `slow`.
    std::shared_ptr<const Endpoints> endpoints;
    SlowDetector slow;
    ProgressDeadlines progress;
};

/// One request in progress.
struct Attempt {
    std::shared_ptr<ServiceState> service;
    std::shared_ptr<EndpointState> endpoint;
    WorkClass workClass = WorkClass::Short;
    double promptTokens = 0;
    double remainingTokens = 0;
    std::uint32_t tokens = 0;
    TimePoint sent {};
    TimePoint lastToken {};
};

/// The router without its clock and random source: the caller passes the time and a random number. Thread-safe.
class RoutingTable {
public:
    RoutingTable(DataCentreName here, const RouterSettings& settings);

    void update(const EndpointView& view);
    void remove(const EndpointId& endpoint);
    void setShare(const InstanceShare& share);
    [[nodiscard]] tl::expected<EndpointId, RoutingError> choose(const RequestProfile& profile, const EndpointFilter& admits, TimePoint now, std::uint64_t random);
    [[nodiscard]] AttemptId onSent(const RequestProfile& profile, const EndpointId& endpoint, TimePoint now);
    void onToken(AttemptId attempt, std::uint32_t tokens, TimePoint now);
    void onEnded(AttemptId attempt, TimePoint now);
    [[nodiscard]] std::vector<SlowAttempt> tick(TimePoint now);
    [[nodiscard]] Health health(const EndpointId& endpoint) const;
    [[nodiscard]] Load load(const EndpointId& endpoint) const;
    [[nodiscard]] Duration medianInterTokenLatency(const ServiceName& service) const;
    [[nodiscard]] Duration progressDeadline(AttemptId attempt) const;

private:
    struct Known {
        std::shared_ptr<ServiceState> service;
        std::shared_ptr<EndpointState> endpoint;
    };

    struct AttemptShard {
        mutable std::mutex mutex;
        std::unordered_map<AttemptId, Attempt> attempts;
    };

    struct Search;

    static constexpr std::size_t shardCount = 16;

    [[nodiscard]] std::shared_ptr<ServiceState> serviceOf(const ServiceName& name) const;
    [[nodiscard]] Known find(const EndpointId& endpoint) const;
    [[nodiscard]] AttemptShard& shardOf(AttemptId attempt) noexcept { return m_shards[attempt % shardCount]; }
    void consider(Search& search, const std::shared_ptr<EndpointState>& endpoint);
    void sample(Search& search, std::uint64_t random);
    void collectSlow(const AttemptShard& shard, TimePoint now, std::vector<SlowAttempt>& result) const;

    const DataCentreName m_here;
    const RouterSettings m_settings;
    mutable std::shared_mutex m_mutex; ///< Guards the two maps and the share.
    std::unordered_map<ServiceName, std::shared_ptr<ServiceState>> m_services;
    std::unordered_map<EndpointId, Known> m_endpoints;
    InstanceShare m_share;
    std::atomic<AttemptId> m_nextAttempt { 1 };
    std::array<AttemptShard, shardCount> m_shards;
};

}
