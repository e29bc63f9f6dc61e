#include "engine_core.hpp"

#include <algorithm>

namespace azurepaddle::standin {

EngineWeights EngineCore::weights() const
{
    const std::scoped_lock lock(m_mutex);
    return m_weights;
}

void EngineCore::addLoaded(std::uint64_t version)
{
    const std::scoped_lock lock(m_mutex);
    auto& loaded = m_weights.loaded;
    if (std::find(loaded.begin(), loaded.end(), version) == loaded.end())
        loaded.push_back(version);
    const auto isActive = [&](std::uint64_t held) { return std::find(m_weights.active.begin(), m_weights.active.end(), held) != m_weights.active.end(); };
    while (loaded.size() > std::max(m_options.versionsHeld, m_weights.active.size() + 1)) {
        const auto oldest = std::find_if_not(loaded.begin(), loaded.end(), isActive);
        loaded.erase(oldest);
    }
}

bool EngineCore::switchTo(std::uint64_t version, bool isPartial)
{
    const std::scoped_lock lock(m_mutex);
    auto& weights = m_weights;
    if (std::find(weights.loaded.begin(), weights.loaded.end(), version) == weights.loaded.end())
        return false;
    if (weights.active.size() == 1 && weights.active.front() == version)
        return true;
    if (isPartial)
        weights.active = { version, weights.active.back() };
    else
        weights.active = { version };
    m_pausedUntil = m_clock.now() + std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(m_options.switchMs * m_options.timeScale));
    return true;
}

bool EngineCore::addAdapter(const std::string& adapter)
{
    const std::scoped_lock lock(m_mutex);
    auto& adapters = m_weights.adapters;
    if (std::find(adapters.begin(), adapters.end(), adapter) != adapters.end())
        return true;
    if (adapters.size() >= m_options.adapters)
        return false;
    adapters.push_back(adapter);
    return true;
}

void EngineCore::removeAdapter(const std::string& adapter)
{
    const std::scoped_lock lock(m_mutex);
    std::erase(m_weights.adapters, adapter);
}

void EngineCore::setRole(const std::string& role)
{
    const std::scoped_lock lock(m_mutex);
    m_weights.role = role;
}

std::vector<CacheEvent> EngineCore::takeCacheEvents(std::int64_t untilMs)
{
    const std::scoped_lock lock(m_mutex);
    return m_cache.takeEvents(untilMs);
}

std::size_t EngineCore::cachedBlocks() const
{
    const std::scoped_lock lock(m_mutex);
    return m_cache.size();
}

void EngineCore::importPrefixes(const std::vector<std::uint64_t>& prefixes)
{
    const std::scoped_lock lock(m_mutex);
    static_cast<void>(m_cache.use(prefixes, m_clock.wallNow().time_since_epoch().count()));
}

}
