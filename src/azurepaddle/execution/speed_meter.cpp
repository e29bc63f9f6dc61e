#include "azurepaddle/execution/speed_meter.hpp"

#include <algorithm>
#include <vector>

namespace azurepaddle::execution {

namespace {

    // Weights the newest interval so that one slow event suffices: slowdowns caused by other work on the machine last
    // for about ten events.
    constexpr double smoothingFactor = 0.7;
    // Speeds change within a second, so older observations are ignored. The median may include older ones, because it
    // only sets the scale of the comparison.
    constexpr Duration observationLifetime = std::chrono::milliseconds(700);
    constexpr Duration medianLifetime = std::chrono::seconds(2);
    constexpr Duration defaultMedian = std::chrono::milliseconds(40);
    constexpr double unknownSlowness = 1.2;

    bool isWithin(TimePoint at, TimePoint now, Duration limit)
    {
        return at != TimePoint {} && now - at < limit;
    }

}

void SpeedMeter::recordEventInterval(const EndpointId& id, Duration betweenEvents, TimePoint now)
{
    Entry& entry = m_entries[id];
    const double ms = std::chrono::duration<double, std::milli>(betweenEvents).count();
    const bool isRecent = isWithin(entry.observedAt, now, observationLifetime);
    entry.averageMs = isRecent ? entry.averageMs * (1 - smoothingFactor) + ms * smoothingFactor : ms;
    entry.observedAt = now;
    m_cachedMedian = {};
}

void SpeedMeter::recordReportedSlowness(const EndpointId& id, double slowness, TimePoint now)
{
    Entry& entry = m_entries[id];
    entry.reported = slowness;
    entry.reportedAt = now;
}

double SpeedMeter::slowness(const EndpointId& id, TimePoint now) const
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return unknownSlowness;
    const Entry& entry = found->second;
    if (isWithin(entry.reportedAt, now, observationLifetime) && entry.reportedAt >= entry.observedAt)
        return entry.reported;
    if (isWithin(entry.observedAt, now, observationLifetime))
        return entry.averageMs / std::chrono::duration<double, std::milli>(median(now)).count();
    return unknownSlowness;
}

Duration SpeedMeter::median(TimePoint now) const
{
    if (m_cachedMedian.computedAt == now)
        return m_cachedMedian.median;
    std::vector<double> averages;
    for (const auto& [id, entry] : m_entries) {
        if (isWithin(entry.observedAt, now, medianLifetime))
            averages.push_back(entry.averageMs);
    }
    Duration median = defaultMedian;
    if (!averages.empty()) {
        const auto middle = averages.begin() + static_cast<std::ptrdiff_t>(averages.size() / 2);
        std::nth_element(averages.begin(), middle, averages.end());
        median = std::max<Duration>(std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(*middle)), std::chrono::milliseconds(1));
    }
    m_cachedMedian = { now, median };
    return median;
}

}
