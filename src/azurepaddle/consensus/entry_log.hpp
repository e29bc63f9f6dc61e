#pragma once

#include "azurepaddle/consensus/membership.hpp"
#include "azurepaddle/consensus/message.hpp"
#include "azurepaddle/storage/scratch_store.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace azurepaddle::consensus {

/// The log entries after the last compacted one, the commit index and the memberships in force at these entries. Checks
/// that committed entries never change and that the commit index never decreases. Not thread-safe.
class EntryLog {
public:
    EntryLog() = default;
    /// Creates an empty log after the base entry, the last one that was compacted, with the membership in force there.
    EntryLog(std::uint64_t baseIndex, std::uint64_t baseTerm, Membership membership);

    /// Moves the data of all but the newest entries from memory to the store.
    void setSpillStore(std::shared_ptr<storage::ScratchStore> store) { m_spillStore = std::move(store); }

    [[nodiscard]] std::uint64_t baseIndex() const noexcept { return m_baseIndex; }
    [[nodiscard]] std::uint64_t lastIndex() const noexcept { return m_baseIndex + m_entries.size(); }
    [[nodiscard]] std::uint64_t lastTerm() const noexcept { return m_entries.empty() ? m_baseTerm : m_entries.back().term; }
    [[nodiscard]] std::uint64_t commitIndex() const noexcept { return m_commitIndex; }
    /// Returns the term of an entry, or nothing for an index outside of [baseIndex, lastIndex].
    [[nodiscard]] std::optional<std::uint64_t> termAt(std::uint64_t index) const noexcept;
    /// Returns the entries from `first` to `last`, limited to `maxBytes` of data, but at least one entry if there is
    /// one.
    [[nodiscard]] std::vector<LogEntry> slice(std::uint64_t first, std::uint64_t last, std::size_t maxBytes) const;
    /// Returns the highest index, not above `index`, whose term is at most `term`, or the base index if there is none.
    [[nodiscard]] std::uint64_t highestWithTermAtMost(std::uint64_t index, std::uint64_t term) const noexcept;

    /// Appends the entry at lastIndex + 1.
    void append(LogEntry entry);
    /// Removes the uncommitted entries from an index on, together with their memberships.
    void truncateFrom(std::uint64_t index);
    void commitTo(std::uint64_t index);
    /// Drops the committed entries up to and including an index.
    void compactTo(std::uint64_t index);

    /// The newest membership, committed or not.
    [[nodiscard]] const Membership& membership() const noexcept { return m_memberships.back().second; }
    /// The membership in force at an index that is not below the base.
    [[nodiscard]] const Membership& membershipAt(std::uint64_t index) const;
    /// Whether the newest membership is not committed.
    [[nodiscard]] bool hasPendingMembership() const noexcept { return m_memberships.back().first > m_commitIndex; }
    /// Size of the data of all entries after the commit index.
    [[nodiscard]] std::size_t uncommittedBytes() const noexcept { return m_uncommittedBytes; }

private:
    /// Returns the entry at an index in (baseIndex, lastIndex]. Its data is empty if it was spilled.
    [[nodiscard]] const LogEntry& at(std::uint64_t index) const;
    [[nodiscard]] std::size_t dataSize(std::uint64_t index) const;
    void spillOldEntries();
    void releaseSpilled(std::uint64_t index);

    std::uint64_t m_baseIndex = 0;
    std::uint64_t m_baseTerm = 0;
    std::uint64_t m_commitIndex = 0;
    std::deque<LogEntry> m_entries;
    /// Index and membership, in ascending order. The first is in force at the base entry.
    std::vector<std::pair<std::uint64_t, Membership>> m_memberships { { 0, {} } };
    std::size_t m_uncommittedBytes = 0;
    std::shared_ptr<storage::ScratchStore> m_spillStore; ///< If null, all data stays in memory.
    std::map<std::uint64_t, storage::ScratchRef> m_spilled; ///< References to data in the store, by log index.
    std::uint64_t m_spillCheckedIndex = 0; ///< Highest index already considered for spilling.
};

}
