#pragma once

#include "azurepaddle/core/clock.hpp"

namespace azurepaddle::gateway {

/// The time in which an instance that got the signal to stop must end.
struct DrainWindow {
    TimePoint end; ///< The last answers must have been sent by then.
    /// Until then load balancers may direct new callers here, who have no better choice.
    TimePoint untilWithdrawn;

    friend bool operator==(const DrainWindow&, const DrainWindow&) = default;
};

/// Whether a request that arrives now, and must be answered within `timeLimit`, is taken. Later than the first moments of
/// a drain, only a request that ends before the drain does is: any other one could be cut off after it has run.
[[nodiscard]] inline bool isTakenDuringDrain(const DrainWindow& window, TimePoint now, Duration timeLimit) noexcept
{
    return now < window.untilWithdrawn || now + timeLimit <= window.end;
}

}
