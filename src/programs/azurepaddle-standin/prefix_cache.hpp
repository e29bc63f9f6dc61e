#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace azurepaddle::standin {

/// Bytes of prompt in one block of the prefix cache.
constexpr std::size_t prefixBlockBytes = 256;

/// Hashes of the prompt's prefixes at whole blocks, the shortest first: XXH64 of a block, seeded with the hash of the
/// prefix before it, and with 0 for the first.
[[nodiscard]] std::vector<std::uint64_t> prefixHashes(std::string_view prompt);

struct CacheEvent {
    std::uint64_t sequence = 0; ///< Without gaps when created, so that a reader notices missing events.
    bool isStored = true; ///< Otherwise evicted.
    std::uint64_t prefix = 0;
    std::int64_t timeMs = 0;
};

/// Cache of prompt prefixes in a limited number of blocks; the least recently used block is evicted first.
class PrefixCache {
public:
    explicit PrefixCache(std::size_t capacity) noexcept
        : m_capacity(capacity)
    {
    }

    /// Blocks of the prompt that were cached; afterwards all of them are, within the capacity.
    std::size_t use(const std::vector<std::uint64_t>& hashes, std::int64_t timeMs);

    [[nodiscard]] std::size_t size() const noexcept { return m_index.size(); }
    [[nodiscard]] bool contains(std::uint64_t hash) const { return m_index.contains(hash); }

    /// Removes and returns the events up to a time.
    [[nodiscard]] std::vector<CacheEvent> takeEvents(std::int64_t untilMs);

private:
    void record(bool isStored, std::uint64_t prefix, std::int64_t timeMs);

    std::size_t m_capacity;
    std::list<std::uint64_t> m_order; // The most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_index;
    std::deque<CacheEvent> m_events;
    std::uint64_t m_nextSequence = 1;
};

}
