#pragma once

#include "azurepaddle/membership/gossip.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace azurepaddle::membership::internal {

/// The updates that still have to be gossiped, the least sent first.
class UpdateQueue {
public:
    /// Queues the newest record of a member; replaces an older one.
    void push(const MemberRecord& record);

    /// Takes records of at most this many encoded bytes, and drops those that were sent often enough.
    [[nodiscard]] std::vector<MemberRecord> take(std::size_t budget, unsigned maxTransmits);

    [[nodiscard]] bool empty() const noexcept { return m_items.empty(); }

private:
    struct Item {
        MemberRecord record;
        std::size_t bytes = 0;
        unsigned transmits = 0;
    };

    std::vector<Item> m_items;
};

/// The other members and their states. Every function is told the time.
class MemberStore {
public:
    struct Member {
        MemberRecord record;
        TimePoint since; ///< Of the state.
    };
    using Members = std::map<InstanceId, Member>;

    explicit MemberStore(std::size_t maxMembers)
        : m_maxMembers(maxMembers)
    {
    }

    /// Applies a record about another instance and notes a change of state. News are queued if they are to be spread.
    void apply(const MemberRecord& record, TimePoint now, bool spread);

    /// Sets a state in the incarnation that is known.
    void setState(const InstanceId& id, MemberState state, TimePoint now);

    /// Turns suspects into dead members after the suspicion time and forgets dead and leaving ones after the retention.
    void age(TimePoint now, Duration suspicion, Duration retention);

    [[nodiscard]] const Member* find(const InstanceId& id) const;
    [[nodiscard]] const Members& all() const noexcept { return m_members; }
    [[nodiscard]] std::vector<InstanceId> inState(MemberState state) const;
    /// Alive and suspected members.
    [[nodiscard]] std::size_t countPresent() const noexcept { return m_present; }
    /// Whether an alive or suspected member listens there.
    [[nodiscard]] bool isPresentAt(const std::string& peerAddress) const;
    /// Equal for tables that hold the same alive and suspected members with the same metadata.
    [[nodiscard]] std::uint64_t digest(const MemberRecord& self) const;
    /// Records after the cursor of at most this many encoded bytes, at least one; and the next cursor.
    [[nodiscard]] std::pair<std::vector<MemberRecord>, std::string> page(const std::string& cursor, std::size_t budget) const;

    [[nodiscard]] UpdateQueue& queue() noexcept { return m_queue; }
    [[nodiscard]] std::vector<MemberChange> takeChanges() { return std::exchange(m_changes, {}); }

private:
    void enter(Member& member, MemberState state, TimePoint now, bool spread);

    std::size_t m_maxMembers;
    Members m_members;
    std::size_t m_present = 0;
    UpdateQueue m_queue;
    std::vector<MemberChange> m_changes;
};

}
