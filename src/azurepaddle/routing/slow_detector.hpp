#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"

#include <cstdint>
#include <unordered_map>

namespace azurepaddle::routing {

/// Limits of the detection of slow endpoints.
struct SlowSettings {
    double excludeRatio = 2.5; ///< Time between tokens against the median of the peers.
    double returnRatio = 1.5; ///< Below this ratio an excluded endpoint counts as recovered.
    double firstTokenRatio = 4; ///< Time to the first token against the median of the peers.
    double maxExcludedShare = 0.34; ///< Of the endpoints of a service.
    std::uint32_t observationsToExclude = 2; ///< Consecutive slow observations; one may be a prefill of another request.
    std::uint32_t observationsToReturn = 8; ///< Tokens of probe requests.
    std::uint32_t minPeers = 3; ///< Endpoints with recent observations, below which nothing is excluded.
    Duration firstTokenFloor = std::chrono::milliseconds(200); ///< No first token is slow below this time.
    Duration tokenFloor = std::chrono::milliseconds(40); ///< No time between tokens is slow below this time.
    Duration probeInterval = std::chrono::milliseconds(300);
    Duration returnPeriod = std::chrono::seconds(1); ///< Time of reduced use after an exclusion.
    Duration staleAfter = std::chrono::seconds(10); ///< Older observations do not enter the median.

    friend bool operator==(const SlowSettings&, const SlowSettings&) = default;
};

enum class Health : unsigned char {
    Normal,
    Returning, ///< Used with reduced load after an exclusion.
    Excluded, ///< Gets only probe requests.
};

/// Finds the endpoints of one service that are slow against the median of their peers, from the observations of this
/// instance. A slowdown of all endpoints raises the median and excludes none. Not thread-safe.
class SlowDetector {
public:
    explicit SlowDetector(const SlowSettings& settings = {})
        : m_settings(settings)
    {
    }

    void add(const EndpointId& endpoint);
    void remove(const EndpointId& endpoint);

    /// The time between two tokens of one stream.
    void onTokenGap(const EndpointId& endpoint, Duration gap, TimePoint now);

    /// The time from sending to the first token.
    void onFirstToken(const EndpointId& endpoint, Duration time, TimePoint now);

    /// A stream has been silent for this long and still is. Unlike a gap it is known before the token arrives.
    void onSilence(const EndpointId& endpoint, Duration silence, bool beforeFirstToken, TimePoint now);

    /// Computes the medians and changes the health of endpoints. To be called several times a second.
    void evaluate(TimePoint now);

    [[nodiscard]] Health health(const EndpointId& endpoint) const;

    /// Whether an excluded endpoint may get a probe request now; a true answer starts the next interval.
    [[nodiscard]] bool takeProbe(const EndpointId& endpoint, TimePoint now);

    /// Time between tokens against the median of the peers, 1 if unknown or faster.
    [[nodiscard]] double slowness(const EndpointId& endpoint) const;

    /// Median of the time between tokens over the endpoints; zero while unknown.
    [[nodiscard]] Duration medianGap() const noexcept;
    /// Median of the time to the first token over the endpoints; zero while unknown.
    [[nodiscard]] Duration medianFirstToken() const noexcept;
    [[nodiscard]] std::size_t excludedCount() const noexcept;

private:
    struct State {
        double gap = 0; ///< Smoothed, in seconds; 0 while unknown.
        double firstToken = 0;
        TimePoint gapTime {};
        TimePoint firstTokenTime {};
        std::uint32_t slowObservations = 0; ///< Consecutive.
        std::uint32_t goodObservations = 0; ///< Consecutive, while excluded.
        Health health = Health::Normal;
        TimePoint healthTime {};
        TimePoint nextProbe {};
    };

    [[nodiscard]] bool isSlowGap(double seconds) const noexcept;
    /// Not while other streams of the endpoint get tokens in time: the request then waits for a slot.
    [[nodiscard]] bool isSlowFirstToken(const State& state, double seconds, TimePoint now) const noexcept;
    void computeMedians(TimePoint now);
    void judge(State& state, bool slow) const noexcept;
    void updateHealth(State& state, TimePoint now, std::size_t& excluded) const;

    SlowSettings m_settings;
    std::unordered_map<EndpointId, State> m_states;
    double m_medianGap = 0;
    double m_medianFirstToken = 0;
    std::size_t m_peers = 0;
};

}
