#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"

#include <cstddef>
#include <deque>
#include <vector>

namespace azurepaddle::rollout {

/// Quantiles of the most recent durations.
class RecentDurations {
public:
    explicit RecentDurations(std::size_t capacity) noexcept
        : m_capacity(capacity)
    {
    }

    void add(Duration duration);
    /// The smallest duration that at least this share, from 0 to 1, does not exceed. Zero without durations.
    [[nodiscard]] Duration quantile(double share) const noexcept;
    [[nodiscard]] std::size_t count() const noexcept { return m_sorted.size(); }

private:
    std::size_t m_capacity;
    std::deque<Duration> m_recent;
    std::vector<Duration> m_sorted;
};

/// Predicts the trainer's version from the times at which it rose.
class VersionForecast {
public:
    /// The interval is assumed until the version has risen twice.
    VersionForecast(WeightVersion version, Duration interval, TimePoint now) noexcept;

    void onVersion(WeightVersion version, TimePoint now) noexcept;
    /// Restarts from a version that may be lower.
    void reset(WeightVersion version, TimePoint now) noexcept;

    [[nodiscard]] WeightVersion current() const noexcept { return m_version; }
    /// The version expected to be current at a time that is not in the past.
    [[nodiscard]] WeightVersion expectedAt(TimePoint time) const noexcept;
    [[nodiscard]] Duration interval() const noexcept { return m_interval; }

private:
    WeightVersion m_version;
    Duration m_interval;
    TimePoint m_versionSince;
    bool m_hasRisen = false;
};

}
