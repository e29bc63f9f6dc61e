#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"

#include <cstddef>
#include <deque>
#include <vector>

namespace azurepaddle::rollout {

/// Computes quantiles over a sliding window of the most recent durations.
class RecentDurations {
public:
    explicit RecentDurations(std::size_t capacity) noexcept
        : m_capacity(capacity)
    {
    }

    void add(Duration duration);
    /// Returns the smallest recorded duration that is not exceeded by at least this share (0 to 1) of the durations,
    /// or zero if none were recorded.
    [[nodiscard]] Duration quantile(double share) const noexcept;
    [[nodiscard]] std::size_t count() const noexcept { return m_sorted.size(); }

private:
    std::size_t m_capacity;
    std::deque<Duration> m_recent;
    std::vector<Duration> m_sorted;
};

/// Predicts the trainer's weight version from the times of its previous increases.
class VersionForecast {
public:
    /// Uses the given interval between versions until two increases have been observed.
    VersionForecast(WeightVersion version, Duration interval, TimePoint now) noexcept;

    void onVersion(WeightVersion version, TimePoint now) noexcept;
    /// Restarts the prediction from a version that may be lower than the current one.
    void reset(WeightVersion version, TimePoint now) noexcept;

    [[nodiscard]] WeightVersion current() const noexcept { return m_version; }
    /// Returns the version that is expected to be current at the given time, which must not be in the past.
    [[nodiscard]] WeightVersion expectedAt(TimePoint time) const noexcept;
    [[nodiscard]] Duration interval() const noexcept { return m_interval; }

private:
    WeightVersion m_version;
    Duration m_interval;
    TimePoint m_versionSince;
    bool m_hasRisen = false;
};

}
