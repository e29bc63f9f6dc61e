#include "prefix_cache.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace azurepaddle::standin {

namespace {

    // Older events are lost when nobody takes them, as with an engine whose event queue is full.
    constexpr std::size_t maxEvents = 4096;

}

std::vector<std::uint64_t> prefixHashes(std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t previous = 0;
    for (std::size_t at = 0; at + prefixBlockBytes <= prompt.size(); at += prefixBlockBytes) {
        previous = XXH64(prompt.data() + at, prefixBlockBytes, previous);
        hashes.push_back(previous);
    }
    return hashes;
}

std::size_t PrefixCache::use(const std::vector<std::uint64_t>& hashes, std::int64_t timeMs)
{
    std::size_t hits = 0;
    bool isHit = true;
    for (const std::uint64_t hash : hashes) {
        const auto found = m_index.find(hash);
        isHit = isHit && found != m_index.end();
        hits += isHit ? 1 : 0;
        if (found != m_index.end()) {
            m_order.splice(m_order.begin(), m_order, found->second);
            continue;
        }
        m_order.push_front(hash);
        m_index.emplace(hash, m_order.begin());
        record(true, hash, timeMs);
    }
    while (m_index.size() > m_capacity) {
        record(false, m_order.back(), timeMs);
        m_index.erase(m_order.back());
        m_order.pop_back();
    }
    return hits;
}

std::vector<CacheEvent> PrefixCache::takeEvents(std::int64_t untilMs)
{
    std::vector<CacheEvent> taken;
    while (!m_events.empty() && m_events.front().timeMs <= untilMs) {
        taken.push_back(m_events.front());
        m_events.pop_front();
    }
    return taken;
}

void PrefixCache::record(bool isStored, std::uint64_t prefix, std::int64_t timeMs)
{
    m_events.push_back({ m_nextSequence++, isStored, prefix, timeMs });
    if (m_events.size() > maxEvents)
        m_events.pop_front();
}

}
