#pragma once

#include "azurepaddle/core/clock.hpp"

#include <mutex>

namespace azurepaddle::routing {

/// Bounds of the deadlines for progress.
struct ProgressSettings {
    Duration shortest = std::chrono::milliseconds(500); ///< A shorter one would take a pause of the process for silence.
    Duration longest = std::chrono::seconds(20);
    Duration initial = std::chrono::seconds(5); ///< Until enough has been observed.
    double deviations = 6; ///< Distance of a deadline from the mean, in standard deviations.

    friend bool operator==(const ProgressSettings&, const ProgressSettings&) = default;
};

/// Derives how long a stream may be silent before its connection is checked, from observed times of one service. A
/// passed deadline means "ask the endpoint over a new connection", not "failed". Thread-safe.
class ProgressDeadlines {
public:
    explicit ProgressDeadlines(const ProgressSettings& settings = {})
        : m_settings(settings)
    {
    }

    void onFirstToken(double promptTokens, Duration time);
    void onTokenGap(Duration gap);

    /// Time until the first token is due, from sending. Grows with the prompt.
    [[nodiscard]] Duration firstToken(double promptTokens) const;

    /// Time until the next token is due, from the last one.
    [[nodiscard]] Duration nextToken() const;

private:
    struct Observed {
        double mean = 0;
        double variance = 0;
        std::size_t count = 0;
    };

    static void observe(Observed& observed, double seconds) noexcept;
    [[nodiscard]] Duration deadline(const Observed& observed, double factor) const;

    ProgressSettings m_settings;
    mutable std::mutex m_mutex;
    Observed m_firstToken;
    Observed m_gap;
    double m_meanPrompt = 0;
};

}
