#pragma once

#include "azurepaddle/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace azurepaddle::metrics {

/// One bar of a histogram that is drawn as text.
struct Bar {
    double lowerSeconds = 0;
    double upperSeconds = 0;
    std::uint64_t count = 0;

    friend bool operator==(const Bar&, const Bar&) = default;
};

/// A snapshot of a latency histogram. All instances have the same bins, so that snapshots can be added.
struct HistogramSnapshot {
    std::vector<std::uint64_t> counts; ///< Underflow, the bins in rising order, overflow.
    std::uint64_t count = 0;
    Duration sum {};
    Duration max {};

    /// Adds the values of another snapshot.
    void merge(const HistogramSnapshot& other);

    /// The value in seconds below which this fraction of the values lies, interpolated within its bin; 0 when empty.
    [[nodiscard]] double quantile(double fraction) const;

    /// The non-empty range of the histogram in at most this many bars.
    [[nodiscard]] std::vector<Bar> bars(std::size_t maxBars) const;

    friend bool operator==(const HistogramSnapshot&, const HistogramSnapshot&) = default;
};

/// Draws the bars as lines of text, scaled to this width in characters.
[[nodiscard]] std::string drawBars(const std::vector<Bar>& bars, std::size_t width);

/// Upper bound in seconds of an entry of HistogramSnapshot::counts; infinite for the overflow.
[[nodiscard]] double upperBoundSeconds(std::size_t index) noexcept;

/// Counts durations in logarithmic bins from 10 microseconds to 10,000 seconds. Safe to call from many threads.
class LatencyHistogram {
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram&) = delete;
    LatencyHistogram& operator=(const LatencyHistogram&) = delete;

    void record(Duration value);
    [[nodiscard]] HistogramSnapshot snapshot() const;

private:
    struct Implementation;

    std::unique_ptr<Implementation> m_implementation;
};

}
