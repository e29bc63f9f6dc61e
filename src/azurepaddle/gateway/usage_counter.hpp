#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"
#include "azurepaddle/core/steady_wall_clock.hpp"
#include "azurepaddle/registry/usage_ledger.hpp"

namespace azurepaddle::gateway {

/// Counts the requests of each workspace that endpoints begin to run, by window of time.
class UsageCounter {
public:
    /// Windows that the leader has not sealed; beyond this number the oldest is dropped.
    static constexpr std::size_t maxWindows = registry::UsageLedger::maxOpenWindows;

    /// The process name identifies this start of the instance in reports.
    UsageCounter(std::string process, Duration windowLength)
        : m_process(std::move(process))
        , m_windowLength(windowLength)
    {
    }

    void add(const WorkspaceName& workspace, TimePoint beganAt);
    /// The counts of all windows that are not known to be sealed.
    [[nodiscard]] registry::UsageReport report() const;
    /// Number of requests counted so far, which tells whether a report contains everything.
    [[nodiscard]] std::uint64_t counted() const noexcept { return m_counted; }
    /// Forgets windows whose total is fixed.
    void onSealed(registry::UsageWindow newest) { m_windows.erase(m_windows.begin(), m_windows.upper_bound(newest)); }

private:
    const std::string m_process;
    const Duration m_windowLength;
    const SteadyWallClock<> m_clock {};
    std::map<registry::UsageWindow, registry::UsageCounts> m_windows;
    std::uint64_t m_counted = 0;
};

/// The window that contains a point in time.
[[nodiscard]] inline registry::UsageWindow usageWindowOf(WallTime time, Duration windowLength)
{
    return static_cast<registry::UsageWindow>(time.time_since_epoch() / windowLength);
}

}
