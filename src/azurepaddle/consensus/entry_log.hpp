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

/// The part of the log at hand, its commit index and the memberships in it. Checks that committed entries never
/// change and that the commit index never falls. Not thread-safe.
class EntryLog {
public:
    EntryLog() = default;
    /// A log that begins after the base entry, with the membership in force there.
    EntryLog(std::uint64_t baseIndex, std::uint64_t baseTerm, Membership membership);

    /// Keeps the data of all but the newest entries in the store instead of memory.
    void spillInto(std::shared_ptr<storage::ScratchStore> store) { m_spillStore = std::move(store); }

    [[nodiscard]] std::uint64_t baseIndex() const noexcept { return m_baseIndex; }
    [[nodiscard]] std::uint64_t lastIndex() const noexcept { return m_baseIndex + m_entries.size(); }
    [[nodiscard]] std::uint64_t lastTerm() const noexcept { return m_entries.empty() ? m_baseTerm : m_entries.back().term; }
    [[nodiscard]] std::uint64_t commitIndex() const noexcept { return m_commitIndex; }
    /// The term of an entry, or nothing outside of [baseIndex, lastIndex].
    [[nodiscard]] std::optional<std::uint64_t> termAt(std::uint64_t index) const noexcept;
    /// Entries from an index on, up to a size in bytes but at least one if there is one, and up to a last index.
    [[nodiscard]] std::vector<LogEntry> slice(std::uint64_t first, std::uint64_t last, std::size_t maxBytes) const;
    /// The highest index of at most `index` whose term is at most `term`; the base index if there is none.
    [[nodiscard]] std::uint64_t highestWithTermAtMost(std::uint64_t index, std::uint64_t term) const noexcept;

    /// Appends the entry at lastIndex + 1.
    void append(LogEntry entry);
    /// Removes the uncommitted entries from an index on, and the memberships in them.
    void truncateFrom(std::uint64_t index);
    void commitTo(std::uint64_t index);
    /// Forgets the committed entries up to an index.
    void compactTo(std::uint64_t index);

    /// The newest membership, committed or not.
    [[nodiscard]] const Membership& membership() const noexcept { return m_memberships.back().second; }
    /// The membership in force at an index that is not below the base.
    [[nodiscard]] const Membership& membershipAt(std::uint64_t index) const;
    /// Whether the newest membership is not committed.
    [[nodiscard]] bool hasPendingMembership() const noexcept { return m_memberships.back().first > m_commitIndex; }
    /// Bytes of the entries behind the commit index.
    [[nodiscard]] std::size_t uncommittedBytes() const noexcept { return m_uncommittedBytes; }

private:
    /// The entry at an index in (baseIndex, lastIndex], without its data if that was spilled.
    [[nodiscard]] const LogEntry& at(std::uint64_t index) const;
    [[nodiscard]] std::size_t dataSize(std::uint64_t index) const;
    void spillOld();
    void forgetSpilled(std::uint64_t index);

    std::uint64_t m_baseIndex = 0;
    std::uint64_t m_baseTerm = 0;
    std::uint64_t m_commitIndex = 0;
    std::deque<LogEntry> m_entries;
    /// Index and membership, ascending. The first is in force at the base.
    std::vector<std::pair<std::uint64_t, Membership>> m_memberships { { 0, {} } };
    std::size_t m_uncommittedBytes = 0;
    std::shared_ptr<storage::ScratchStore> m_spillStore; ///< Null: everything stays in memory.
    std::map<std::uint64_t, storage::ScratchRef> m_spilled; ///< Data that is in the store, by index.
    std::uint64_t m_spilledTo = 0; ///< Highest index that was looked at for spilling.
};

}
