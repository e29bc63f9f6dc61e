#include "azurepaddle/scaling/demand.hpp"

#include <algorithm>
#include <cmath>

namespace azurepaddle::scaling {

namespace {

    // Items take longer than at the median endpoint where an endpoint is slow, reads the prompt again after a move, or
    // has to load weights first.
    constexpr double timeMargin = 1.25;
    constexpr Duration itemOverhead = std::chrono::milliseconds(200);

    /// All items that are due until some time.
    struct Backlog {
        std::uint32_t count = 0;
        Duration total {};
        Duration longest {};

        void add(Duration remaining)
        {
            ++count;
            total += remaining;
            longest = std::max(longest, remaining);
        }
    };

    /// Returns the number of slots that do an amount of work within a time, at most one for each item.
    std::uint32_t slotsFor(Duration work, Duration available, std::uint32_t maximum)
    {
        if (available <= Duration::zero())
            return maximum;
        const double slots = std::ceil(static_cast<double>(work.count()) / static_cast<double>(available.count()));
        return slots >= maximum ? maximum : static_cast<std::uint32_t>(std::max(slots, 0.0));
    }

    // Items that begin longest first end within the total divided by the slots, and at most this share of the longest one.
    constexpr double longestShare = 1.0 / 3;

    std::uint32_t slotsNeededFor(const Backlog& backlog, Duration untilDue, const Slots& slots)
    {
        const Duration available = untilDue - std::chrono::duration_cast<Duration>(backlog.longest * longestShare);
        const std::uint32_t needed = slotsFor(backlog.total, available, backlog.count);
        if (needed <= slots.serving)
            return needed;
        const std::uint32_t ordered = std::min(backlog.count, slots.serving + slots.booting);
        if (available <= Duration::zero() || untilDue <= slots.bootTime)
            return ordered;
        // Slots that serve for less than half of the time add little to this work; they are ordered for similar work that
        // follows.
        const Duration availableToNew = available - slots.bootTime;
        if (availableToNew < available / 2)
            return std::max(needed, ordered);
        const Duration done = available * slots.serving + std::max(available - slots.bootLeft, Duration::zero()) * slots.booting;
        if (done >= backlog.total)
            return ordered;
        return ordered + slotsFor(backlog.total - done, availableToNew, backlog.count - ordered);
    }

}

std::uint32_t slotsNeeded(std::vector<WorkItem> work, const Slots& slots)
{
    std::erase_if(work, [](const WorkItem& item) { return item.untilDue <= Duration::zero(); });
    std::sort(work.begin(), work.end(), [](const WorkItem& a, const WorkItem& b) { return a.untilDue < b.untilDue; });
    Backlog backlog;
    std::uint32_t needed = 0;
    for (std::size_t index = 0; index < work.size(); ++index) {
        backlog.add(std::chrono::duration_cast<Duration>(work[index].remaining * timeMargin) + itemOverhead);
        if (index + 1 == work.size() || work[index + 1].untilDue > work[index].untilDue)
            needed = std::max(needed, slotsNeededFor(backlog, work[index].untilDue, slots));
    }
    return needed;
}

}
