#pragma once

#include "azurepaddle/metrics/histogram.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace azurepaddle::bench {

/// Broken guarantees. Every count must be 0.
struct Violations {
    std::uint64_t sampleTwice = 0;
    std::uint64_t sampleMissing = 0; ///< Neither delivered nor in progress.
    std::uint64_t sampleStale = 0;
    std::uint64_t sampleMislabelled = 0;
    std::uint64_t wrongAnswer = 0; ///< Of another request, incomplete, or given twice.
    std::uint64_t notRunRan = 0;
    std::uint64_t ranTwice = 0; ///< Non-idempotent.
    std::uint64_t unanswered = 0; ///< Open for longer than a minute after its timeout.
    std::uint64_t endpointsLost = 0; ///< To one request, beyond two.

    [[nodiscard]] std::uint64_t total() const noexcept
    {
        return sampleTwice + sampleMissing + sampleStale + sampleMislabelled + wrongAnswer + notRunRan + ranTwice + unanswered + endpointsLost;
    }

    friend bool operator==(const Violations&, const Violations&) = default;
};

/// Figures of one run, in seconds where not stated otherwise.
struct Result {
    std::string scenario;
    std::string policy;
    std::vector<double> shortLatency; ///< Complete answer at the client.
    std::vector<double> shortWait; ///< First token at the instance.
    std::vector<double> longLatency;
    std::vector<double> plainLatency;
    double idleFraction = 0; ///< Of the trainers' time.
    std::uint64_t steps = 0;
    std::uint64_t samples = 0;
    std::uint64_t staleDiscarded = 0;
    double staleness = 0; ///< Mean, in versions, on arrival.
    double lowestShare = 0; ///< Of the fair share, over all busy tenants and 10 s windows.
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t endpointsLostToRequest = 0;
    Violations violations;
    metrics::HistogramSnapshot shortHistogram;
};

/// The value below which this fraction of the values lies; 0 when empty.
[[nodiscard]] inline double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank), values.end());
    return values[rank];
}

}
