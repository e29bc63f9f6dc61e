#pragma once

#include "azurepaddle/core/random.hpp"
#include "azurepaddle/routing/routing_table.hpp"

#include <utility>

namespace azurepaddle::routing {

/// Chooses endpoints. Thread-safe. The clock must outlive the router.
///
/// A sender calls `choose`, then `onSent`, then `onToken` for what it receives, then `onFinished` or `onFailed` once.
/// `tick` is to be called every 25 to 100 ms: slow endpoints are found there.
template <typename ClockType, typename RandomType>
class Router {
    static_assert(Clock<ClockType>);
    static_assert(RandomSource<RandomType>);

public:
    Router(const ClockType& clock, RandomType random, DataCentreName here, const RouterSettings& settings = {})
        : m_clock(clock)
        , m_random(std::move(random))
        , m_table(std::move(here), settings)
    {
    }

    /// Adds an endpoint or replaces what is known of it.
    void update(const EndpointView& view) { m_table.update(view); }

    /// Forgets an endpoint that left or died. Requests in progress there still end by `onFinished` or `onFailed`.
    void remove(const EndpointId& endpoint) { m_table.remove(endpoint); }

    /// Takes over this instance's part of the slots and of the traffic.
    void setShare(const InstanceShare& share) { m_table.setShare(share); }

    /// The endpoint with the lowest cost among a few random ones that have room, or now and then an excluded endpoint
    /// that is due for a probe. `admits` may exclude endpoints that other limits close.
    [[nodiscard]] tl::expected<EndpointId, RoutingError> choose(const RequestProfile& profile, const EndpointFilter& admits = {})
    {
        return m_table.choose(profile, admits, m_clock.now(), draw());
    }

    /// The request is about to be sent to the endpoint.
    [[nodiscard]] AttemptId onSent(const RequestProfile& profile, const EndpointId& endpoint)
    {
        return m_table.onSent(profile, endpoint, m_clock.now());
    }

    /// Tokens arrived.
    void onToken(AttemptId attempt, std::uint32_t tokens = 1) { m_table.onToken(attempt, tokens, m_clock.now()); }

    void onFinished(AttemptId attempt) { m_table.onEnded(attempt, m_clock.now()); }

    /// The attempt failed or was cancelled.
    void onFailed(AttemptId attempt) { m_table.onEnded(attempt, m_clock.now()); }

    /// Evaluates the endpoints' health. Returns the requests in progress on excluded endpoints.
    [[nodiscard]] std::vector<SlowAttempt> tick() { return m_table.tick(m_clock.now()); }

    [[nodiscard]] Health health(const EndpointId& endpoint) const { return m_table.health(endpoint); }

    /// The estimated load of an endpoint.
    [[nodiscard]] Load load(const EndpointId& endpoint) const { return m_table.load(endpoint); }

    /// Median of the time between tokens over the endpoints of a service; zero while unknown.
    [[nodiscard]] Duration medianInterTokenLatency(const ServiceName& service) const { return m_table.medianInterTokenLatency(service); }

    /// The longest silence of an attempt after which its connection is checked; zero if the attempt is not in progress.
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
