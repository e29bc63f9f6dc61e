#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"

#include <array>
#include <mutex>
#include <unordered_map>

namespace azurepaddle::admission {

/// Settings of the limit of requests in progress at one endpoint.
struct ConcurrencySettings {
    double initialLimit = 64;
    double minLimit = 2; ///< Below this an endpoint would never show that it recovered.
    double maxLimit = 1024;
    double tolerance = 2; ///< A latency up to this multiple of the baseline does not lower the limit.
    std::size_t window = 20; ///< Observations per adjustment.

    friend bool operator==(const ConcurrencySettings&, const ConcurrencySettings&) = default;
};

/// Limits the requests in progress of this instance at each endpoint. The limit follows the latency gradient: it falls
/// in proportion when the time to the first token rises above its long-term baseline, and rises slowly otherwise,
/// but only while it is used. Thread-safe.
class ConcurrencyLimiter {
public:
    explicit ConcurrencyLimiter(const ConcurrencySettings& settings = {})
        : m_settings(settings)
    {
    }

    /// Whether one more request may be sent; the router may ask without sending.
    [[nodiscard]] bool hasCapacity(const EndpointId& endpoint) const;

    void onSent(const EndpointId& endpoint);
    void onFirstToken(const EndpointId& endpoint, Duration time);
    void onEnded(const EndpointId& endpoint);
    void remove(const EndpointId& endpoint);

    [[nodiscard]] double limit(const EndpointId& endpoint) const;

private:
    struct State {
        double limit = 0;
        double baseline = 0; ///< Seconds, smoothed over a long time.
        double sum = 0; ///< Seconds in this window.
        std::size_t observations = 0;
        std::size_t inProgress = 0;
        std::size_t mostInProgress = 0; ///< In this window.
    };

    struct Shard {
        mutable std::mutex mutex;
        std::unordered_map<EndpointId, State> states;
    };

    static constexpr std::size_t shardCount = 16;

    [[nodiscard]] Shard& shardOf(const EndpointId& endpoint) noexcept { return m_shards[std::hash<EndpointId> {}(endpoint) % shardCount]; }
    [[nodiscard]] const Shard& shardOf(const EndpointId& endpoint) const noexcept { return m_shards[std::hash<EndpointId> {}(endpoint) % shardCount]; }
    [[nodiscard]] State& stateOf(Shard& shard, const EndpointId& endpoint) const;
    void adjust(State& state) const noexcept;

    ConcurrencySettings m_settings;
    std::array<Shard, shardCount> m_shards;
};

}
