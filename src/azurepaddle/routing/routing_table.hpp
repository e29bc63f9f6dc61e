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

/// Returns whether limits outside the router admit one more request at an endpoint. The router calls it with a lock
/// held, so it must not call the router.
using EndpointFilter = std::function<bool(const EndpointId&)>;

}

namespace azurepaddle::routing::internal {

/// The endpoints of one service and their latency statistics.
struct ServiceState {
    using Endpoints = std::vector<std::shared_ptr<EndpointState>>;

    explicit ServiceState(const SlowDetectorSettings& settings)
        : endpoints(std::make_shared<const Endpoints>())
        , slowDetector(settings)
    {
    }

    std::mutex mutex; ///< Guards `endpoints` and `slowDetector`.
    std::shared_ptr<const Endpoints> endpoints;
    SlowDetector slowDetector;
    ProgressDeadlines progressDeadlines;
};

/// One request in progress.
struct Attempt {
    std::shared_ptr<ServiceState> service;
    std::shared_ptr<EndpointState> endpoint;
    WorkClass workClass = WorkClass::Short;
    double promptTokens = 0;
    double remainingTokens = 0;
    std::uint32_t receivedTokens = 0;
    TimePoint sentTime {};
    TimePoint lastTokenTime {};
};

/// The implementation of the router, independent of the types of clock and random source: the caller passes the current
/// time and a random number. Thread-safe.
class RoutingTable {
public:
    RoutingTable(DataCentreName localDataCentre, const RouterSettings& settings);

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
    struct EndpointEntry {
        std::shared_ptr<ServiceState> service;
        std::shared_ptr<EndpointState> endpoint;
    };

    struct AttemptShard {
        mutable std::mutex mutex;
        std::unordered_map<AttemptId, Attempt> attempts;
    };

    struct Selection;

    static constexpr std::size_t shardCount = 16;

    [[nodiscard]] std::shared_ptr<ServiceState> serviceOf(const ServiceName& name) const;
    [[nodiscard]] EndpointEntry find(const EndpointId& endpoint) const;
    [[nodiscard]] AttemptShard& shardOf(AttemptId attempt) noexcept { return m_shards[attempt % shardCount]; }
    void evaluateEndpoint(Selection& selection, const std::shared_ptr<EndpointState>& endpoint);
    void sampleEndpoints(Selection& selection, std::uint64_t random);
    void collectSlow(const AttemptShard& shard, TimePoint now, std::vector<SlowAttempt>& result) const;

    const DataCentreName m_localDataCentre;
    const RouterSettings m_settings;
    mutable std::shared_mutex m_mutex; ///< Guards `m_services`, `m_endpoints` and `m_share`.
    std::unordered_map<ServiceName, std::shared_ptr<ServiceState>> m_services;
    std::unordered_map<EndpointId, EndpointEntry> m_endpoints;
    InstanceShare m_share;
    std::atomic<AttemptId> m_nextAttempt { 1 };
    std::array<AttemptShard, shardCount> m_shards;
};

}
