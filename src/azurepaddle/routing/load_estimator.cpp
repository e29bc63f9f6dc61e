#include "azurepaddle/routing/load_estimator.hpp"

#include <algorithm>

namespace azurepaddle::routing {

namespace {

    constexpr Duration changeResolution = std::chrono::milliseconds(20);
    constexpr std::size_t maxChanges = 1024; // 20 s of changes; without a report for that long the older ones stay counted.

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
    const auto isSeen = [reportTime](const Change& entry) { return entry.time <= reportTime; };
    m_changes.erase(std::remove_if(m_changes.begin(), m_changes.end(), isSeen), m_changes.end());
    m_sinceReport = {};
    for (const Change& entry : m_changes)
        add(m_sinceReport, entry.load);
}

Load LoadEstimator::estimate(double scale) const noexcept
{
    const double requests = m_report.requests + scale * m_sinceReport.requests;
    const double tokens = m_report.tokens + scale * m_sinceReport.tokens;
    return { std::max(requests, m_own.requests), std::max({ tokens, m_own.tokens, 0.0 }) };
}

double LoadEstimator::mostRequests(double scale) const noexcept
{
    const double change = m_sinceReport.requests;
    return std::max(m_report.requests + (change > 0 ? scale * change : change), m_own.requests);
}

void LoadEstimator::change(TimePoint now, const Load& load)
{
    add(m_own, load);
    m_own.tokens = std::max(m_own.tokens, 0.0);
    add(m_sinceReport, load);
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
