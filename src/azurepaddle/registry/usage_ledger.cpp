#include "azurepaddle/registry/usage_ledger.hpp"

#include <algorithm>
#include <iterator>

namespace azurepaddle::registry {

void UsageLedger::record(const UsageReport& report)
{
    for (const WindowUsage& usage : report.windows) {
        if (isSealed(usage.window) || !makeRoomFor(usage.window))
            continue;
        UsageCounts& counts = m_open[usage.window][report.process];
        for (const auto& [workspace, count] : usage.counts) {
            std::uint64_t& known = counts[workspace];
            known = std::max(known, count);
        }
    }
}

/// Drops the newest open window if there are too many. False if the given one would be the newest.
bool UsageLedger::makeRoomFor(UsageWindow window)
{
    if (m_open.contains(window) || m_open.size() < maxOpenWindows)
        return true;
    const auto newest = std::prev(m_open.end());
    if (window > newest->first)
        return false;
    m_open.erase(newest);
    return true;
}

void UsageLedger::seal(UsageWindow window)
{
    if (m_newestSealed && window != *m_newestSealed + 1)
        return;
    UsageCounts& total = m_sealed[window];
    if (const auto open = m_open.find(window); open != m_open.end()) {
        for (const auto& [process, counts] : open->second) {
            for (const auto& [workspace, count] : counts)
                total[workspace] += count;
        }
    }
    m_newestSealed = window;
    m_open.erase(m_open.begin(), m_open.upper_bound(window));
    if (m_sealed.size() > maxSealedWindows)
        m_sealed.erase(m_sealed.begin());
}

std::optional<UsageWindow> UsageLedger::oldestOpen() const
{
    return m_open.empty() ? std::nullopt : std::optional(m_open.begin()->first);
}

std::optional<WindowUsage> UsageLedger::oldestUnconfirmed() const
{
    if (m_sealed.empty())
        return std::nullopt;
    return WindowUsage { m_sealed.begin()->first, m_sealed.begin()->second };
}

UsageLedger::Snapshot UsageLedger::snapshot() const
{
    Snapshot snapshot;
    snapshot.newestSealed = m_newestSealed;
    for (const auto& [window, counts] : m_sealed)
        snapshot.sealed.push_back({ window, counts });
    std::map<std::string, UsageReport> byProcess;
    for (const auto& [window, processes] : m_open) {
        for (const auto& [process, counts] : processes)
            byProcess[process].windows.push_back({ window, counts });
    }
    for (auto& [process, report] : byProcess) {
        report.process = process;
        snapshot.open.push_back(std::move(report));
    }
    return snapshot;
}

void UsageLedger::restore(const Snapshot& snapshot)
{
    m_open.clear();
    m_sealed.clear();
    m_newestSealed = snapshot.newestSealed;
    for (const WindowUsage& usage : snapshot.sealed)
        m_sealed[usage.window] = usage.counts;
    for (const UsageReport& report : snapshot.open)
        record(report);
}

}
