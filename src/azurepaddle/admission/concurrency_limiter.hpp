#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"

#include <array>
#include <mutex>
#include <unordered_map>

namespace azurepaddle::admission {

/// Settings of the limit on the requests in progress at one endpoint.
struct ConcurrencySettings {
    double initialLimit = 64;
    double minLimit = 2; ///< With a lower limit too few requests would be sent to detect a recovery.
    double maxLimit = 1024;
    double tolerance = 2; ///< A latency up to this multiple of the baseline does not lower the limit.
    std::size_t window = 20; ///< Observations per adjustment.

    friend bool operator==(const ConcurrencySettings&, const ConcurrencySettings&) = default;
};

/// Limits the requests that this instance has in progress at each endpoint. The limit follows the latency gradient: it
/// is lowered in proportion when the time to first token exceeds its long-term baseline, and raised slowly otherwise,
/// but only while at least half of it is used. Thread-safe.
class ConcurrencyLimiter {
public:
    explicit ConcurrencyLimiter(const ConcurrencySettings& settings = {})
        : m_settings(settings)
    {
    }

    /// Whether one more request may be sent. The call itself does not count as a request.
    [[nodiscard]] bool hasCapacity(const EndpointId& endpoint) const;

    void onSent(const EndpointId& endpoint);
    void onFirstToken(const EndpointId& endpoint, Duration time);
    void onEnded(const EndpointId& endpoint);
    void remove(const EndpointId& endpoint);

    [[nodiscard]] double limit(const EndpointId& endpoint) const;

private:
    struct State {
        double limit = 0;
        double baseline = 0; ///< Long-term average of the time to first token, in seconds.
        double latencySum = 0; ///< Sum of the observations in the current window, in seconds.
        std::size_t observations = 0;
        std::size_t inProgress = 0;
        std::size_t maxInProgress = 0; ///< Maximum in the current window.
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
