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
    // Without newer observations, a slowdown is assumed to decline to nothing until this time after the last one. Long
    // items would otherwise return to a slow endpoint as soon as all items have left it.
    constexpr Duration slowdownMemory = std::chrono::seconds(4);
    // The lasting speed is the lower quartile of the newest periods: slowdowns that pass take up fewer than three quarters
    // of them.
    constexpr Duration periodLength = std::chrono::milliseconds(250);
    constexpr std::size_t minPeriods = 4;
    constexpr std::size_t maxPeriods = 20;
    constexpr std::size_t quartile = 4;
    // A greater difference is treated as a slowdown that passes, so that no endpoint is avoided for good.
    constexpr double maxLastingSlowness = 1.6;
    // From this multiple of the lasting time between events on, an endpoint counts as slowed down.
    constexpr double slowdownThreshold = 1.5;

    double toSeconds(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    bool isWithin(TimePoint at, TimePoint now, Duration limit)
    {
        return at != TimePoint {} && now - at < limit;
    }

}

void SpeedMeter::recordInPeriod(Entry& entry, double ms, TimePoint now)
{
    if (!entry.periods.empty() && now - entry.periods.back().startedAt < periodLength) {
        entry.periods.back().sumMs += ms;
        ++entry.periods.back().count;
        return;
    }
    // The last period is complete now.
    if (entry.periods.size() >= minPeriods) {
        std::vector<double> means;
        for (const Period& period : entry.periods)
            means.push_back(period.meanMs());
        const auto lower = means.begin() + static_cast<std::ptrdiff_t>(means.size() / quartile);
        std::nth_element(means.begin(), lower, means.end());
        entry.lastingMs = *lower;
    }
    entry.periods.push_back({ now, ms, 1 });
    if (entry.periods.size() > maxPeriods)
        entry.periods.pop_front();
}

void SpeedMeter::recordEventInterval(const EndpointId& id, Duration betweenEvents, TimePoint now)
{
    Entry& entry = m_entries[id];
    const double ms = std::chrono::duration<double, std::milli>(betweenEvents).count();
    const bool isRecent = isWithin(entry.observedAt, now, observationLifetime);
    entry.averageMs = isRecent ? entry.averageMs * (1 - smoothingFactor) + ms * smoothingFactor : ms;
    entry.observedAt = now;
    recordInPeriod(entry, ms, now);
    if (entry.lastingMs == 0 || entry.averageMs < entry.lastingMs * slowdownThreshold)
        entry.slowSince = {};
    else if (entry.slowSince == TimePoint {})
        entry.slowSince = now;
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
    const bool isReported = isWithin(entry.reportedAt, now, observationLifetime) && entry.reportedAt >= entry.observedAt;
    const double reported = isReported ? entry.reported * lastingSlowness(id, now) : 0;
    if (isWithin(entry.observedAt, now, observationLifetime))
        return isReported ? reported : entry.averageMs / medianMs(now);
    const double remembered = rememberedSlowness(entry, now);
    if (isReported || remembered > 0)
        return std::max(reported, remembered);
    return entry.lastingMs > 0 ? lastingSlowness(id, now) : unknownSlowness;
}

/// What is left of a slowdown that was observed last; 0 if none was, or if it is too long ago.
double SpeedMeter::rememberedSlowness(const Entry& entry, TimePoint now) const
{
    if (entry.slowSince == TimePoint {} || !isWithin(entry.observedAt, now, slowdownMemory))
        return 0;
    const double lasting = std::min(entry.lastingMs, entry.averageMs);
    const double left = 1 - toSeconds(now - entry.observedAt - observationLifetime) / toSeconds(slowdownMemory - observationLifetime);
    return (lasting + (entry.averageMs - lasting) * left) / medianMs(now);
}

double SpeedMeter::lastingSlowness(const EndpointId& id, TimePoint now) const
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.lastingMs == 0)
        return 1;
    return std::clamp(found->second.lastingMs / medianMs(now), 1 / maxLastingSlowness, maxLastingSlowness);
}

Duration SpeedMeter::slowFor(const EndpointId& id, TimePoint now) const
{
    const auto found = m_entries.find(id);
    const bool isSlow = found != m_entries.end() && found->second.slowSince != TimePoint {} && isWithin(found->second.observedAt, now, slowdownMemory);
    return isSlow ? now - found->second.slowSince : Duration::zero();
}

Duration SpeedMeter::median(TimePoint now) const
{
    if (m_cachedMedian.computedAt == now)
        return m_cachedMedian.median;
    std::vector<double> times;
    for (const auto& [id, entry] : m_entries) {
        if (isWithin(entry.observedAt, now, medianLifetime))
            times.push_back(entry.lastingMs > 0 ? entry.lastingMs : entry.averageMs);
    }
    Duration median = defaultMedian;
    if (!times.empty()) {
        const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
        std::nth_element(times.begin(), middle, times.end());
        median = std::max<Duration>(std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(*middle)), std::chrono::milliseconds(1));
    }
    m_cachedMedian = { now, median };
    return median;
}

}
