#include "azurepaddle/consensus/entry_log.hpp"

#include "azurepaddle/core/invariant.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace azurepaddle::consensus {

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
    AZUREPADDLE_INVARIANT(index > m_baseIndex && index <= lastIndex(), fmt::format("entry {} is not in memory", index));
    return m_entries[index - m_baseIndex - 1];
}

std::vector<LogEntry> EntryLog::slice(std::uint64_t first, std::uint64_t last, std::size_t maxBytes) const
{
    std::vector<LogEntry> entries;
    std::size_t bytes = 0;
    for (std::uint64_t index = first; index <= std::min(last, lastIndex()); ++index) {
        const LogEntry& entry = at(index);
        bytes += entry.data.size();
        if (bytes > maxBytes && !entries.empty())
            break;
        entries.push_back(entry);
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
        AZUREPADDLE_INVARIANT(membership.has_value(), fmt::format("entry {} is no membership", entry.index));
        m_memberships.emplace_back(entry.index, std::move(*membership));
    }
    m_uncommittedBytes += entry.data.size();
    m_entries.push_back(std::move(entry));
}

void EntryLog::truncateFrom(std::uint64_t index)
{
    AZUREPADDLE_INVARIANT(index > m_commitIndex, fmt::format("entry {} is committed up to {} and must not change", index, m_commitIndex));
    while (lastIndex() >= index) {
        m_uncommittedBytes -= m_entries.back().data.size();
        m_entries.pop_back();
    }
    while (m_memberships.size() > 1 && m_memberships.back().first >= index)
        m_memberships.pop_back();
}

void EntryLog::commitTo(std::uint64_t index)
{
    AZUREPADDLE_INVARIANT(index >= m_commitIndex, fmt::format("commit index falls from {} to {}", m_commitIndex, index));
    AZUREPADDLE_INVARIANT(index <= lastIndex(), fmt::format("commit index {} beyond the last entry {}", index, lastIndex()));
    while (m_commitIndex < index)
        m_uncommittedBytes -= at(++m_commitIndex).data.size();
}

void EntryLog::compactTo(std::uint64_t index)
{
    AZUREPADDLE_INVARIANT(index <= m_commitIndex, fmt::format("entry {} is not committed and must be kept", index));
    if (index <= m_baseIndex)
        return;
    m_baseTerm = *termAt(index);
    m_entries.erase(m_entries.begin(), m_entries.begin() + static_cast<std::ptrdiff_t>(index - m_baseIndex));
    m_baseIndex = index;
    while (m_memberships.size() > 1 && m_memberships[1].first <= index)
        m_memberships.erase(m_memberships.begin());
}

const Membership& EntryLog::membershipAt(std::uint64_t index) const
{
    const auto after = std::upper_bound(m_memberships.begin(), m_memberships.end(), index,
        [](std::uint64_t value, const auto& entry) { return value < entry.first; });
    AZUREPADDLE_INVARIANT(after != m_memberships.begin(), fmt::format("the membership at entry {} is forgotten", index));
    return std::prev(after)->second;
}

}
