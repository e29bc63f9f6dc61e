#pragma once

#include "azurepaddle/core/clock.hpp"

#include <mutex>

namespace azurepaddle::routing {

/// Settings of the progress deadlines.
struct ProgressSettings {
    /// A shorter deadline would mistake a pause of the process for a stalled stream.
    Duration minDeadline = std::chrono::milliseconds(500);
    Duration maxDeadline = std::chrono::seconds(20);
    Duration initialDeadline = std::chrono::seconds(5); ///< Used until there are enough observations.
    double deviationsAboveMean = 6; ///< Distance of a deadline from the mean, in standard deviations.

    friend bool operator==(const ProgressSettings&, const ProgressSettings&) = default;
};

/// Derives from the observed latencies of one service how long a stream may deliver no token before its connection is
/// checked. A missed deadline does not mean that the request failed, only that the endpoint is to be queried over a new
/// connection. Thread-safe.
class ProgressDeadlines {
public:
    explicit ProgressDeadlines(const ProgressSettings& settings = {})
        : m_settings(settings)
    {
    }

    void onFirstToken(double promptTokens, Duration time);
    void onInterTokenLatency(Duration latency);

    /// The longest time from sending a request to its first token. Grows with the prompt.
    [[nodiscard]] Duration firstTokenDeadline(double promptTokens) const;

    /// The longest time between two tokens.
    [[nodiscard]] Duration nextTokenDeadline() const;

private:
    struct LatencyStatistics {
        double mean = 0;
        double variance = 0;
        std::size_t count = 0;
    };

    static void addObservation(LatencyStatistics& statistics, double seconds) noexcept;
    [[nodiscard]] Duration computeDeadline(const LatencyStatistics& statistics, double factor) const;

    ProgressSettings m_settings;
    mutable std::mutex m_mutex;
    LatencyStatistics m_timeToFirstToken;
    LatencyStatistics m_interTokenLatency;
    double m_meanPromptTokens = 0;
};

}
