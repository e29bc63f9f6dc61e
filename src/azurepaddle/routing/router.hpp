#pragma once

#include "azurepaddle/core/random.hpp"
#include "azurepaddle/routing/routing_table.hpp"

#include <utility>

namespace azurepaddle::routing {

/// Chooses the endpoint for each request. Thread-safe. The clock must outlive the router.
///
/// For each attempt the caller calls `choose`, then `onSent`, then `onToken` for the tokens received, and finally
/// either `onFinished` or `onFailed` once. `tick` detects slow endpoints and must be called every 25 to 100 ms.
template <typename ClockType, typename RandomType>
class Router {
    static_assert(Clock<ClockType>);
    static_assert(RandomSource<RandomType>);

public:
    Router(const ClockType& clock, RandomType random, DataCentreName localDataCentre, const RouterSettings& settings = {})
        : m_clock(clock)
        , m_random(std::move(random))
        , m_table(std::move(localDataCentre), settings)
    {
    }

    /// Adds an endpoint or replaces its last report.
    void update(const EndpointView& view) { m_table.update(view); }

    /// Removes an endpoint that was withdrawn or failed. `onFinished` or `onFailed` must still be called for each of
    /// its requests in progress.
    void remove(const EndpointId& endpoint) { m_table.remove(endpoint); }

    /// Sets this instance's share of the slots and of the traffic.
    void setShare(const InstanceShare& share) { m_table.setShare(share); }

    /// Returns the endpoint with the lowest cost among a few randomly chosen endpoints that have a free slot, or an
    /// excluded endpoint if it is due for a probe. `admits` may reject endpoints because of other limits.
    [[nodiscard]] tl::expected<EndpointId, RoutingError> choose(const RequestProfile& profile, const EndpointFilter& admits = {})
    {
        return m_table.choose(profile, admits, m_clock.now(), draw());
    }

    /// Registers an attempt. To be called just before the request is sent to the endpoint.
    [[nodiscard]] AttemptId onSent(const RequestProfile& profile, const EndpointId& endpoint)
    {
        return m_table.onSent(profile, endpoint, m_clock.now());
    }

    /// Records tokens received from the endpoint.
    void onToken(AttemptId attempt, std::uint32_t tokens = 1) { m_table.onToken(attempt, tokens, m_clock.now()); }

    void onFinished(AttemptId attempt) { m_table.onEnded(attempt, m_clock.now()); }

    /// Ends an attempt that failed or was cancelled.
    void onFailed(AttemptId attempt) { m_table.onEnded(attempt, m_clock.now()); }

    /// Evaluates the health of the endpoints. Returns the attempts in progress on excluded endpoints.
    [[nodiscard]] std::vector<SlowAttempt> tick() { return m_table.tick(m_clock.now()); }

    [[nodiscard]] Health health(const EndpointId& endpoint) const { return m_table.health(endpoint); }

    /// The estimated load of an endpoint.
    [[nodiscard]] Load load(const EndpointId& endpoint) const { return m_table.load(endpoint); }

    /// Median inter-token latency over the endpoints of a service; zero while unknown.
    [[nodiscard]] Duration medianInterTokenLatency(const ServiceName& service) const { return m_table.medianInterTokenLatency(service); }

    /// The time without a token after which the connection of an attempt is checked; zero if the attempt is not in
    /// progress.
    [[nodiscard]] Duration progressDeadline(AttemptId attempt) const { return m_table.progressDeadline(attempt); }

private:
    [[nodiscard]] std::uint64_t draw()
    {
        const std::lock_guard lock(m_randomMutex);
        return m_random.next();
    }

    const ClockType& m_clock;
    std::mutex m_randomMutex;
    RandomType m_random;
    internal::RoutingTable m_table;
};

}
