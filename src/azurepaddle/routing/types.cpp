#include "azurepaddle/routing/types.hpp"

namespace azurepaddle::routing {

std::uint32_t slotsInRange(std::uint32_t slots, const SlotRange& range, std::uint64_t offset) noexcept
{
    std::uint32_t count = 0;
    for (std::uint32_t i = 0; i < slots; ++i) {
        // The offset rotates the positions of the slots within [0, 1). Each position lies in exactly one range.
        const double shift = static_cast<double>(offset % 1024U) / 1024.0;
        double position = (static_cast<double>(i) + shift) / static_cast<double>(slots);
        position -= position >= 1 ? 1 : 0;
        count += position >= range.begin && position < range.end ? 1 : 0;
    }
    return count;
}

}
