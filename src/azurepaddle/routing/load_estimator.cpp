#include "azurepaddle/routing/load_estimator.hpp"

#include <algorithm>

namespace azurepaddle::routing {

namespace {

    constexpr Duration changeResolution = std::chrono::milliseconds(20);
    // Covers 20 s without a report. Older changes are merged in pairs and stay counted.
    constexpr std::size_t maxChanges = 1024;

    void add(Load& into, const Load& load) noexcept
    {
        into.requests += load.requests;
        into.tokens += load.tokens;
    }

}

void LoadEstimator::onReport(const Load& load, TimePoint reportTime)
{
    if (reportTime < m_reportTime)
        return;
    m_report = load;
    m_reportTime = reportTime;
    const auto isInReport = [reportTime](const Change& entry) { return entry.time <= reportTime; };
    m_changes.erase(std::remove_if(m_changes.begin(), m_changes.end(), isInReport), m_changes.end());
    m_changeSinceReport = {};
    for (const Change& entry : m_changes)
        add(m_changeSinceReport, entry.load);
}

Load LoadEstimator::estimate(double scale) const noexcept
{
    const double requests = m_report.requests + scale * m_changeSinceReport.requests;
    const double tokens = m_report.tokens + scale * m_changeSinceReport.tokens;
    return { std::max(requests, m_inProgress.requests), std::max({ tokens, m_inProgress.tokens, 0.0 }) };
}

double LoadEstimator::requestsUpperBound(double scale) const noexcept
{
    const double requestChange = m_changeSinceReport.requests;
    return std::max(m_report.requests + (requestChange > 0 ? scale * requestChange : requestChange), m_inProgress.requests);
}

void LoadEstimator::recordChange(TimePoint now, const Load& load)
{
    add(m_inProgress, load);
    m_inProgress.tokens = std::max(m_inProgress.tokens, 0.0);
    add(m_changeSinceReport, load);
    if (!m_changes.empty() && now - m_changes.back().time < changeResolution) {
        add(m_changes.back().load, load);
        return;
    }
    if (m_changes.size() >= maxChanges)
        compact();
    m_changes.push_back({ now, load });
}

void LoadEstimator::compact()
{
    for (std::size_t i = 0; i < maxChanges / 2; ++i) {
        Change merged = m_changes[2 * i];
        add(merged.load, m_changes[2 * i + 1].load);
        m_changes[i] = merged;
    }
    m_changes.resize(maxChanges / 2);
}

}
