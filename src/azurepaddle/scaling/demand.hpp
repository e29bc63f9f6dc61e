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

/// Returns the number of slots with which all items that are not late yet end in time, given the slots that serve now.
/// Slots beyond these begin to serve after the boot time. Slots that would come too late for an item are not counted for
/// it.
[[nodiscard]] std::uint32_t slotsNeeded(std::vector<WorkItem> work, std::uint32_t servingSlots, Duration bootTime);

}
