#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"

#include <cstdint>
#include <unordered_map>

namespace azurepaddle::routing {

/// Settings of the detection of slow endpoints.
struct SlowDetectorSettings {
    double excludeRatio = 2.5; ///< An inter-token latency above this multiple of the median is slow.
    double recoveryRatio = 1.5; ///< An excluded endpoint has recovered below this multiple of the median.
    double firstTokenRatio = 4; ///< A time to first token above this multiple of the median is slow.
    double maxExcludedFraction = 0.34; ///< Largest fraction of a service's endpoints that may be excluded at once.
    std::uint32_t observationsToExclude = 2; ///< Consecutive; one may be caused by the prefill of another request.
    std::uint32_t observationsToRecover = 8; ///< Consecutive tokens of probe requests that are not slow.
    std::uint32_t minPeers = 3; ///< Nothing is excluded while fewer endpoints have recent observations.
    Duration minSlowTimeToFirstToken = std::chrono::milliseconds(200); ///< A shorter time to first token is never slow.
    Duration minSlowInterTokenLatency = std::chrono::milliseconds(40); ///< A shorter inter-token latency is never slow.
    Duration probeInterval = std::chrono::milliseconds(300); ///< Between probe requests to one excluded endpoint.
    /// Time after an exclusion during which the endpoint is used only in part.
    Duration recoveryPeriod = std::chrono::seconds(1);
    Duration staleAfter = std::chrono::seconds(10); ///< Older observations are left out of the median.

    friend bool operator==(const SlowDetectorSettings&, const SlowDetectorSettings&) = default;
};

enum class Health : unsigned char {
    Normal,
    Recovering, ///< Used only in part after an exclusion.
    Excluded, ///< Receives only probe requests.
};

/// Detects the endpoints of one service whose latency is high compared to the median of all its endpoints, as observed
/// by this instance. A slowdown of all endpoints raises the median, so that none is excluded. Not thread-safe.
class SlowDetector {
public:
    explicit SlowDetector(const SlowDetectorSettings& settings = {})
        : m_settings(settings)
    {
    }

    void add(const EndpointId& endpoint);
    void remove(const EndpointId& endpoint);

    /// Records the time between two tokens of one stream.
    void onInterTokenLatency(const EndpointId& endpoint, Duration latency, TimePoint now);

    /// Records the time from sending a request to its first token.
    void onFirstToken(const EndpointId& endpoint, Duration time, TimePoint now);

    /// Records that a stream has waited for its next token for the time `elapsed` and has not received it yet. This
    /// detects a slow endpoint before the token arrives.
    void onPendingToken(const EndpointId& endpoint, Duration elapsed, bool isFirstToken, TimePoint now);

    /// Computes the medians and updates the health of the endpoints. To be called several times a second.
    void evaluate(TimePoint now);

    [[nodiscard]] Health health(const EndpointId& endpoint) const;

    /// Returns whether a probe request may be sent to an excluded endpoint now. If so, the next probe is due one probe
    /// interval later.
    [[nodiscard]] bool tryAcquireProbe(const EndpointId& endpoint, TimePoint now);

    /// The endpoint's inter-token latency divided by the median, at least 1; 1 while unknown.
    [[nodiscard]] double latencyRatio(const EndpointId& endpoint) const;

    /// Median inter-token latency over the endpoints; zero while unknown.
    [[nodiscard]] Duration medianInterTokenLatency() const noexcept;
    /// Median time to first token over the endpoints; zero while unknown.
    [[nodiscard]] Duration medianTimeToFirstToken() const noexcept;
    [[nodiscard]] std::size_t excludedCount() const noexcept;

private:
    struct State {
        double interTokenLatency = 0; ///< Smoothed, in seconds; 0 while unknown.
        double timeToFirstToken = 0;
        TimePoint lastTokenTime {};
        TimePoint lastFirstTokenTime {};
        std::uint32_t slowObservations = 0; ///< Consecutive.
        std::uint32_t goodObservations = 0; ///< Consecutive, while excluded.
        Health health = Health::Normal;
        TimePoint healthChangeTime {};
        TimePoint nextProbe {};
    };

    [[nodiscard]] bool isSlowInterTokenLatency(double seconds) const noexcept;
    /// Never true if another stream of the endpoint received a token within `minSlowTimeToFirstToken`: the request is
    /// then waiting for a slot.
    [[nodiscard]] bool isSlowFirstToken(const State& state, double seconds, TimePoint now) const noexcept;
    void computeMedians(TimePoint now);
    void recordObservation(State& state, bool isSlow) const noexcept;
    void updateHealth(State& state, TimePoint now, std::size_t& excluded) const;

    SlowDetectorSettings m_settings;
    std::unordered_map<EndpointId, State> m_states;
    double m_medianInterTokenLatency = 0;
    double m_medianTimeToFirstToken = 0;
    std::size_t m_peerCount = 0;
};

}
