#pragma once

#include "azurepaddle/membership/gossip.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace azurepaddle::membership::internal {

/// The updates that are still to be gossiped, those sent least often first.
class UpdateQueue {
public:
    /// Queues the newest record of a member and replaces an older one.
    void push(const MemberRecord& record);

    /// Returns records with a total encoded size of at most `budget`, and removes those that were taken `maxTransmits`
    /// times.
    [[nodiscard]] std::vector<MemberRecord> take(std::size_t budget, unsigned maxTransmits);

    [[nodiscard]] bool empty() const noexcept { return m_items.empty(); }

private:
    struct Item {
        MemberRecord record;
        std::size_t bytes = 0;
        unsigned transmitCount = 0;
    };

    std::vector<Item> m_items;
};

/// The other members and their states. Functions get the current time as an argument.
class MemberStore {
public:
    struct Member {
        MemberRecord record;
        TimePoint stateSince;
    };
    using Members = std::map<InstanceId, Member>;

    explicit MemberStore(std::size_t maxMembers)
        : m_maxMembers(maxMembers)
    {
    }

    /// Applies a record of another instance and records a change of its state. Changes are queued for gossip if
    /// `disseminate` is set.
    void apply(const MemberRecord& record, TimePoint now, bool disseminate);

    /// Sets the state of a member within its current incarnation.
    void setState(const InstanceId& id, MemberState state, TimePoint now);

    /// Marks suspects as dead after the suspicion timeout and removes dead and leaving members after the retention.
    void expire(TimePoint now, Duration suspicionTimeout, Duration retention);

    [[nodiscard]] const Member* find(const InstanceId& id) const;
    [[nodiscard]] const Members& all() const noexcept { return m_members; }
    [[nodiscard]] std::vector<InstanceId> idsInState(MemberState state) const;
    /// Number of alive and suspected members.
    [[nodiscard]] std::size_t countPresent() const noexcept { return m_presentCount; }
    /// Whether an alive or suspected member has this peer address.
    [[nodiscard]] bool isPresentAt(const std::string& peerAddress) const;
    /// Equal for tables that hold the same alive and suspected members with the same metadata.
    [[nodiscard]] std::uint64_t digest(const MemberRecord& self) const;
    /// Records after the cursor with a total encoded size of at most `budget`, but at least one if there is any, and
    /// the next cursor; it is empty after the last record.
    [[nodiscard]] std::pair<std::vector<MemberRecord>, std::string> page(const std::string& cursor, std::size_t budget) const;

    [[nodiscard]] UpdateQueue& queue() noexcept { return m_queue; }
    [[nodiscard]] std::vector<MemberChange> takeChanges() { return std::exchange(m_changes, {}); }

private:
    void enterState(Member& member, MemberState state, TimePoint now, bool disseminate);

    std::size_t m_maxMembers;
    Members m_members;
    std::size_t m_presentCount = 0;
    UpdateQueue m_queue;
    std::vector<MemberChange> m_changes;
};

}
