#include "azurepaddle/execution/speed_meter.hpp"

#include <algorithm>
#include <vector>

namespace azurepaddle::execution {

namespace {

    // One slow event is enough to notice: slowdowns by work of others on the machine last for about ten events.
    constexpr double newestWeight = 0.7;
    // Speeds change within a second, so that older knowledge says little. The median may use it: it is only the scale.
    constexpr Duration lifetime = std::chrono::milliseconds(700);
    constexpr Duration medianLifetime = std::chrono::seconds(2);
    constexpr Duration defaultMedian = std::chrono::milliseconds(40);
    constexpr double unknownSlowness = 1.2;

    bool isNewer(TimePoint at, TimePoint now, Duration limit)
    {
        return at != TimePoint {} && now - at < limit;
    }

}

void SpeedMeter::note(const EndpointId& id, Duration betweenEvents, TimePoint now)
{
    Entry& entry = m_entries[id];
    const double ms = std::chrono::duration<double, std::milli>(betweenEvents).count();
    const bool isRecent = isNewer(entry.observedAt, now, lifetime);
    entry.averageMs = isRecent ? entry.averageMs * (1 - newestWeight) + ms * newestWeight : ms;
    entry.observedAt = now;
    m_knownMedian = {};
}

void SpeedMeter::noteReported(const EndpointId& id, double slowness, TimePoint now)
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
    if (isNewer(entry.reportedAt, now, lifetime) && entry.reportedAt >= entry.observedAt)
        return entry.reported;
    if (isNewer(entry.observedAt, now, lifetime))
        return entry.averageMs / std::chrono::duration<double, std::milli>(median(now)).count();
    return unknownSlowness;
}

Duration SpeedMeter::median(TimePoint now) const
{
    if (m_knownMedian.at == now)
        return m_knownMedian.median;
    std::vector<double> averages;
    for (const auto& [id, entry] : m_entries) {
        if (isNewer(entry.observedAt, now, medianLifetime))
            averages.push_back(entry.averageMs);
    }
    Duration median = defaultMedian;
    if (!averages.empty()) {
        const auto middle = averages.begin() + static_cast<std::ptrdiff_t>(averages.size() / 2);
        std::nth_element(averages.begin(), middle, averages.end());
        median = std::max<Duration>(std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(*middle)), std::chrono::milliseconds(1));
    }
    m_knownMedian = { now, median };
    return median;
}

}
