#include "azurepaddle/execution/speed_meter.hpp"

#include <algorithm>
#include <vector>

namespace azurepaddle::execution {

namespace {

    constexpr double newestWeight = 0.15;
    constexpr Duration lifetime = std::chrono::seconds(2);
    constexpr Duration defaultMedian = std::chrono::milliseconds(40);

}

void SpeedMeter::note(const EndpointId& id, Duration betweenEvents, TimePoint now)
{
    Entry& entry = m_entries[id];
    const double ms = std::chrono::duration<double, std::milli>(betweenEvents).count();
    const bool isRecent = entry.averageMs > 0 && now - entry.at < lifetime;
    entry.averageMs = isRecent ? entry.averageMs * (1 - newestWeight) + ms * newestWeight : ms;
    entry.at = now;
}

double SpeedMeter::slowness(const EndpointId& id, TimePoint now) const
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || now - found->second.at >= lifetime)
        return 1;
    return found->second.averageMs / std::chrono::duration<double, std::milli>(median(now)).count();
}

Duration SpeedMeter::median(TimePoint now) const
{
    std::vector<double> averages;
    for (const auto& [id, entry] : m_entries) {
        if (now - entry.at < lifetime)
            averages.push_back(entry.averageMs);
    }
    if (averages.empty())
        return defaultMedian;
    const auto middle = averages.begin() + static_cast<std::ptrdiff_t>(averages.size() / 2);
    std::nth_element(averages.begin(), middle, averages.end());
    return std::max<Duration>(std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(*middle)), std::chrono::milliseconds(1));
}

}
