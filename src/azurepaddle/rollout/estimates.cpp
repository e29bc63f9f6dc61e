#include "azurepaddle/rollout/estimates.hpp"

#include <algorithm>
#include <cmath>

namespace azurepaddle::rollout {

void RecentDurations::add(Duration duration)
{
    if (m_recent.size() == m_capacity) {
        m_sorted.erase(std::lower_bound(m_sorted.begin(), m_sorted.end(), m_recent.front()));
        m_recent.pop_front();
    }
    m_recent.push_back(duration);
    m_sorted.insert(std::upper_bound(m_sorted.begin(), m_sorted.end(), duration), duration);
}

Duration RecentDurations::quantile(double share) const noexcept
{
    if (m_sorted.empty())
        return Duration::zero();
    const double rank = std::ceil(share * static_cast<double>(m_sorted.size()));
    const auto position = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    return m_sorted[std::min(position, m_sorted.size() - 1)];
}

VersionForecast::VersionForecast(WeightVersion version, Duration interval, TimePoint now) noexcept
    : m_version(version)
    , m_interval(std::max(interval, Duration(1)))
    , m_versionSince(now)
{
}

void VersionForecast::onVersion(WeightVersion version, TimePoint now) noexcept
{
    if (version <= m_version)
        return;
    const Duration step = (now - m_versionSince) / static_cast<Duration::rep>(version - m_version);
    // The first increase gives no interval, because the start time of the version before it is unknown.
    if (m_hasRisen && step > Duration::zero())
        m_interval = (m_interval + step) / 2;
    m_hasRisen = true;
    m_version = version;
    m_versionSince = now;
}

void VersionForecast::reset(WeightVersion version, TimePoint now) noexcept
{
    m_version = version;
    m_versionSince = now;
    m_hasRisen = false;
}

WeightVersion VersionForecast::expectedAt(TimePoint time) const noexcept
{
    const Duration elapsed = std::max(time - m_versionSince, Duration::zero());
    return m_version + static_cast<WeightVersion>(elapsed / m_interval);
}

}
