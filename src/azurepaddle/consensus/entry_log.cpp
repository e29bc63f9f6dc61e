#include "azurepaddle/consensus/entry_log.hpp"

#include "azurepaddle/core/invariant.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace azurepaddle::consensus {

namespace {

    // The newest entries are sent to participants that keep up with the leader, so their data stays in memory.
    constexpr std::uint64_t entriesInMemory = 128;
    // Below this size, the bookkeeping for spilled data costs more than keeping the data in memory.
    constexpr std::size_t minSpilledBytes = 512;

}

EntryLog::EntryLog(std::uint64_t baseIndex, std::uint64_t baseTerm, Membership membership)
    : m_baseIndex(baseIndex)
    , m_baseTerm(baseTerm)
    , m_commitIndex(baseIndex)
    , m_memberships { { baseIndex, std::move(membership) } }
{
}

std::optional<std::uint64_t> EntryLog::termAt(std::uint64_t index) const noexcept
{
    if (index < m_baseIndex || index > lastIndex())
        return std::nullopt;
    return index == m_baseIndex ? m_baseTerm : m_entries[index - m_baseIndex - 1].term;
}

const LogEntry& EntryLog::at(std::uint64_t index) const
{
    AZUREPADDLE_INVARIANT(index > m_baseIndex && index <= lastIndex(), fmt::format("entry {} is outside the log", index));
    return m_entries[index - m_baseIndex - 1];
}

std::vector<LogEntry> EntryLog::slice(std::uint64_t first, std::uint64_t last, std::size_t maxBytes) const
{
    std::vector<LogEntry> entries;
    std::size_t bytes = 0;
    for (std::uint64_t index = first; index <= std::min(last, lastIndex()); ++index) {
        bytes += dataSize(index);
        if (bytes > maxBytes && !entries.empty())
            break;
        entries.push_back(at(index));
        if (const auto spilled = m_spilled.find(index); spilled != m_spilled.end()) {
            entries.back().data = m_spillStore->read(spilled->second);
            AZUREPADDLE_INVARIANT(entries.back().data.size() == spilled->second.size, fmt::format("the spilled data of entry {} cannot be read back", index));
        }
    }
    return entries;
}

std::uint64_t EntryLog::highestWithTermAtMost(std::uint64_t index, std::uint64_t term) const noexcept
{
    std::uint64_t found = std::min(index, lastIndex());
    while (found > m_baseIndex && m_entries[found - m_baseIndex - 1].term > term)
        --found;
    return std::max(found, m_baseIndex);
}

void EntryLog::append(LogEntry entry)
{
    AZUREPADDLE_INVARIANT(entry.index == lastIndex() + 1, fmt::format("entry {} appended after {}", entry.index, lastIndex()));
    AZUREPADDLE_INVARIANT(entry.term >= lastTerm(), fmt::format("entry {} has a lower term than the one before", entry.index));
    if (entry.kind == static_cast<std::uint8_t>(EntryKind::Membership)) {
        auto membership = codec::decode<Membership>(entry.data);
        AZUREPADDLE_INVARIANT(membership.has_value(), fmt::format("the data of entry {} does not decode as a membership", entry.index));
        m_memberships.emplace_back(entry.index, std::move(*membership));
    }
    m_uncommittedBytes += entry.data.size();
    m_entries.push_back(std::move(entry));
    spillOldEntries();
}

std::size_t EntryLog::dataSize(std::uint64_t index) const
{
    const auto spilled = m_spilled.find(index);
    return spilled == m_spilled.end() ? at(index).data.size() : spilled->second.size;
}

void EntryLog::spillOldEntries()
{
    if (!m_spillStore || lastIndex() <= entriesInMemory)
        return;
    m_spillCheckedIndex = std::max(m_spillCheckedIndex, m_baseIndex);
    while (m_spillCheckedIndex < lastIndex() - entriesInMemory) {
        LogEntry& entry = m_entries[++m_spillCheckedIndex - m_baseIndex - 1];
        if (entry.data.size() >= minSpilledBytes)
            m_spilled[entry.index] = m_spillStore->append(std::exchange(entry.data, {}));
    }
}

void EntryLog::releaseSpilled(std::uint64_t index)
{
    const auto spilled = m_spilled.find(index);
    if (spilled == m_spilled.end())
        return;
    m_spillStore->release(spilled->second);
    m_spilled.erase(spilled);
}

void EntryLog::truncateFrom(std::uint64_t index)
{
    AZUREPADDLE_INVARIANT(index > m_commitIndex, fmt::format("cannot truncate from entry {}: the log is committed up to {}", index, m_commitIndex));
    while (lastIndex() >= index) {
        m_uncommittedBytes -= dataSize(lastIndex());
        releaseSpilled(lastIndex());
        m_entries.pop_back();
    }
    m_spillCheckedIndex = std::min(m_spillCheckedIndex, lastIndex());
    while (m_memberships.size() > 1 && m_memberships.back().first >= index)
        m_memberships.pop_back();
}

void EntryLog::commitTo(std::uint64_t index)
{
    AZUREPADDLE_INVARIANT(index >= m_commitIndex, fmt::format("commit index decreases from {} to {}", m_commitIndex, index));
    AZUREPADDLE_INVARIANT(index <= lastIndex(), fmt::format("commit index {} exceeds the last index {}", index, lastIndex()));
    while (m_commitIndex < index)
        m_uncommittedBytes -= dataSize(++m_commitIndex);
}

void EntryLog::compactTo(std::uint64_t index)
{
    AZUREPADDLE_INVARIANT(index <= m_commitIndex, fmt::format("cannot compact to entry {}: it is not committed", index));
    if (index <= m_baseIndex)
        return;
    m_baseTerm = *termAt(index);
    for (std::uint64_t dropped = m_baseIndex + 1; dropped <= index; ++dropped)
        releaseSpilled(dropped);
    m_entries.erase(m_entries.begin(), m_entries.begin() + static_cast<std::ptrdiff_t>(index - m_baseIndex));
    m_baseIndex = index;
    while (m_memberships.size() > 1 && m_memberships[1].first <= index)
        m_memberships.erase(m_memberships.begin());
}

const Membership& EntryLog::membershipAt(std::uint64_t index) const
{
    const auto after = std::upper_bound(m_memberships.begin(), m_memberships.end(), index,
        [](std::uint64_t value, const auto& entry) { return value < entry.first; });
    AZUREPADDLE_INVARIANT(after != m_memberships.begin(), fmt::format("the membership at entry {} was removed by compaction", index));
    return std::prev(after)->second;
}

}
