#pragma once

#include "azurepaddle/core/clock.hpp"

#include <cstdint>
#include <vector>

namespace azurepaddle::scaling {

/// An item that is waiting or running.
struct WorkItem {
    Duration remaining {}; ///< Time to generate the rest of it at the median endpoint.
    Duration untilDue {}; ///< Below 0 if it is late.

    friend bool operator==(const WorkItem&, const WorkItem&) = default;
};

/// The slots for the work of a service.
struct Slots {
    std::uint32_t serving = 0;
    std::uint32_t booting = 0;
    Duration bootLeft {}; ///< Time until those that boot serve.
    Duration bootTime {}; ///< Time until further ones serve once they are ordered.

    friend bool operator==(const Slots&, const Slots&) = default;
};

/// Returns the number of slots with which all items that are not late yet end in time. If less than half
/// of the time until the due time would remain after booting, returns the number that would have sufficed from the start, so
/// that similar work that follows ends in time.
[[nodiscard]] std::uint32_t slotsNeeded(std::vector<WorkItem> work, const Slots& slots);

}
