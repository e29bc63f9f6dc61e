#include "azurepaddle/gateway/usage_counter.hpp"

namespace azurepaddle::gateway {

void UsageCounter::add(const WorkspaceName& workspace, TimePoint beganAt)
{
    ++m_windows[usageWindowOf(m_clock.at(beganAt), m_windowLength)][workspace.value()];
    ++m_counted;
    if (m_windows.size() > maxWindows)
        m_windows.erase(m_windows.begin());
}

registry::UsageReport UsageCounter::report() const
{
    registry::UsageReport report { m_process, {} };
    for (const auto& [window, counts] : m_windows)
        report.windows.push_back({ window, counts });
    return report;
}

}
