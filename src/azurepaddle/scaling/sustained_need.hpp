#pragma once

#include "azurepaddle/core/clock.hpp"

#include <cstdint>
#include <deque>
#include <utility>

namespace azurepaddle::scaling {

/// The sliding minimum of the number of endpoints needed. It filters out bursts that are shorter than the time after
/// which an ordered endpoint serves.
class SustainedNeed {
public:
    explicit SustainedNeed(Duration period)
        : m_period(period)
    {
    }

    /// Adds the endpoints needed at a time, and returns the number that was needed during the whole period until then; 0
    /// while the need is known for less than the period.
    std::uint32_t add(std::uint32_t endpoints, TimePoint now);
    void clear();

private:
    Duration m_period;
    std::deque<std::pair<TimePoint, std::uint32_t>> m_lowest; ///< Increasing numbers, the first one is the lowest of the period.
    TimePoint m_since {};
    bool m_isStarted = false;
};

}
