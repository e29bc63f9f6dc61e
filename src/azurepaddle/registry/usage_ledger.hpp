#pragma once

#include "azurepaddle/codec/codec.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace azurepaddle::registry {

/// Number of a window of time: windows have one length and the first one begins at the Unix epoch.
using UsageWindow = std::uint64_t;
/// Requests by name of the workspace.
using UsageCounts = std::map<std::string, std::uint64_t>;

/// The requests of each workspace that began to run in one window.
struct WindowUsage {
    UsageWindow window = 0;
    UsageCounts counts;

    friend bool operator==(const WindowUsage&, const WindowUsage&) = default;
    MSGPACK_DEFINE(window, counts)
};

/// The cumulative counts of one process. The ledger keeps the largest count reported for each window and workspace.
struct UsageReport {
    std::string process; ///< Unique for each start of an instance.
    std::vector<WindowUsage> windows;

    friend bool operator==(const UsageReport&, const UsageReport&) = default;
    MSGPACK_DEFINE(process, windows)
};

/// The replicated counts of requests by window. A window is open until it is sealed, which fixes its total; it is kept
/// until its report to the platform is confirmed. Bounded and deterministic.
class UsageLedger {
public:
    /// Beyond this number of open windows the newest are dropped: reports of a process whose clock is ahead must neither fill
    /// the memory nor displace those of others.
    static constexpr std::size_t maxOpenWindows = 64;
    /// Sealed windows that wait for their confirmation; beyond this number the oldest is dropped.
    static constexpr std::size_t maxSealedWindows = 128;

    struct Snapshot {
        std::vector<UsageReport> open;
        std::vector<WindowUsage> sealed;
        std::optional<UsageWindow> newestSealed;
        MSGPACK_DEFINE(open, sealed, newestSealed)
    };

    /// Records the counts of windows that are not sealed. Counts never decrease.
    void record(const UsageReport& report);
    /// Fixes the total of a window. Ignored unless the window follows the newest sealed one.
    void seal(UsageWindow window);
    /// Forgets a sealed window whose report the platform has accepted.
    void confirm(UsageWindow window) { m_sealed.erase(window); }

    /// The newest sealed window; empty if none was sealed yet.
    [[nodiscard]] std::optional<UsageWindow> newestSealed() const noexcept { return m_newestSealed; }
    /// The oldest window for which counts are recorded and that is not sealed.
    [[nodiscard]] std::optional<UsageWindow> oldestOpen() const;
    /// The oldest sealed window without a confirmation.
    [[nodiscard]] std::optional<WindowUsage> oldestUnconfirmed() const;
    [[nodiscard]] std::size_t unconfirmed() const noexcept { return m_sealed.size(); }

    [[nodiscard]] Snapshot snapshot() const;
    void restore(const Snapshot& snapshot);

private:
    [[nodiscard]] bool makeRoomFor(UsageWindow window);
    [[nodiscard]] bool isSealed(UsageWindow window) const noexcept { return m_newestSealed && window <= *m_newestSealed; }

    std::map<UsageWindow, std::map<std::string, UsageCounts>> m_open; ///< Counts by window and process.
    std::map<UsageWindow, UsageCounts> m_sealed; ///< Totals of the sealed windows without a confirmation.
    std::optional<UsageWindow> m_newestSealed;
};

}
