#pragma once

#include "azurepaddle/consensus/entry_log.hpp"
#include "azurepaddle/consensus/message_delay.hpp"
#include "azurepaddle/consensus/progress.hpp"
#include "azurepaddle/consensus/types.hpp"
#include "azurepaddle/core/invariant.hpp"
#include "azurepaddle/core/random.hpp"

#include <fmt/format.h>
#include <map>

namespace azurepaddle::consensus {

/// One participant of a replicated log (Raft) as a deterministic state machine. It reads no clock and sends nothing:
/// every call carries the monotonic time, and takeReady returns what to send and apply. It writes to its store, and
/// takeReady makes everything durable before it releases a message, so calls made between two takeReady share one
/// fsync. After any call the driver calls takeReady until it returns an empty Ready. A failed write makes takeReady
/// return StorageFailed for good; the process must then stop. Not thread-safe. docs/consensus.md explains the rules.
template <RaftStore Store, RandomSource RandomEngine>
class RaftNode {
public:
    /// Continues from the loaded state of the store. Store and random source must outlive the node.
    RaftNode(Store& store, RandomEngine& random, const RaftSettings& settings, storage::LoadedState state, TimePoint now);

    RaftNode(const RaftNode&) = delete;
    RaftNode& operator=(const RaftNode&) = delete;

    /// Founds a group with these voters, one of which is this instance. All of them must be given the same
    /// membership, once. AlreadyStarted if the store holds anything.
    [[nodiscard]] RaftResult<void> bootstrap(const Membership& membership);

    /// Lets time pass. Call it at least every tenth of the heartbeat interval.
    void tick(TimePoint now);
    /// Handles a message. The sender must be authenticated.
    void receive(const InstanceId& from, const RaftMessage& message, TimePoint now);
    /// Appends a command if this instance leads.
    [[nodiscard]] RaftResult<EntryPosition> propose(std::string bytes, TimePoint now);
    /// Appends a membership change if this instance leads and no other change is pending.
    [[nodiscard]] RaftResult<EntryPosition> proposeChange(const MembershipChange& change, TimePoint now);
    /// Asks for a linearisable read. The answer with this id comes with a later Ready.
    void requestRead(std::uint64_t id, TimePoint now);
    /// Hands leadership to another voter as soon as it holds all entries. Given up after an election timeout.
    [[nodiscard]] RaftResult<void> transferLeadership(const InstanceId& target, TimePoint now);
    /// Makes state durable and returns what to do. Empty if there is nothing.
    [[nodiscard]] RaftResult<Ready> takeReady();
    /// Stores the application's state after the entry at this index, which must have been handed out, and drops the
    /// log before it. Ignored if a newer snapshot exists.
    [[nodiscard]] RaftResult<void> storeSnapshot(std::uint64_t index, std::string_view bytes);

    [[nodiscard]] RaftStatus status() const;
    // Parts of the status, for callers that ask often: the status copies the membership.
    [[nodiscard]] RaftRole role() const noexcept { return m_role; }
    [[nodiscard]] std::uint64_t term() const noexcept { return m_vote.term; }
    [[nodiscard]] std::uint64_t commitIndex() const noexcept { return m_log.commitIndex(); }
    /// When a leader was last known to have committed nothing that this instance does not hold. For followers.
    [[nodiscard]] TimePoint caughtUpAt() const noexcept { return m_caughtUpAt; }
    [[nodiscard]] const InstanceId& leader() const noexcept { return m_leader; }
    [[nodiscard]] const Membership& membership() const noexcept { return m_log.membership(); }
    /// Until then no other participant can be elected. In the past unless this is the leader.
    [[nodiscard]] TimePoint leaseEnd() const;
    /// Entries of the last known leader that a learner does not hold yet; nothing unless this instance leads.
    [[nodiscard]] std::optional<std::uint64_t> replicationLag(const InstanceId& node) const;
    /// When the newest message that another participant acknowledged was sent, or when this leader began to send to it.
    /// Nothing unless this instance leads.
    [[nodiscard]] std::optional<TimePoint> lastContact(const InstanceId& node) const;

private:
    struct PendingRead {
        std::uint64_t id = 0;
        std::uint64_t round = 0; ///< 0 until the read index is known.
        std::uint64_t index = 0;
    };
    struct Transfer {
        InstanceId target;
        TimePoint deadline;
        bool isSent = false;
    };
    /// A snapshot of which the first parts have arrived.
    struct PartialSnapshot {
        std::uint64_t leaderTerm = 0; ///< Parts of two leaders never mix: their encodings may differ.
        std::uint64_t index = 0;
        std::uint64_t term = 0;
        std::uint64_t total = 0;
        std::string bytes;
    };

    // raft_node_api.hpp: calls of the driver, persistence.
    void spillOldEntries();
    void advanceTime(TimePoint now);
    void persistVote();
    void collectCommitted(Ready& ready);
    void fail(const storage::StorageError& error);
    void check(const storage::StorageResult<void>& result);
    [[nodiscard]] RaftError refusal(RaftErrorCode code, std::string message) const;
    [[nodiscard]] RaftResult<void> checkLeader() const;
    EntryPosition appendOwn(EntryKind kind, std::string data);

    // raft_node_election.hpp: roles, votes, leases.
    void becomeFollower(std::uint64_t term, const InstanceId& leader);
    void becomePreCandidate();
    void becomeCandidate(bool isForced);
    void becomeLeader();
    void resetElectionDeadline();
    void setTerm(std::uint64_t term);
    void voteFor(const InstanceId& candidate);
    [[nodiscard]] bool isVoter() const { return m_log.membership().voters.contains(m_id); }
    [[nodiscard]] bool hearsLeader() const;
    [[nodiscard]] bool isUpToDate(const RaftMessage& request) const;
    [[nodiscard]] TimePoint provenContact() const;
    [[nodiscard]] TimePoint assumedContact() const;
    void checkQuorum();
    void askForVotes(MessageKind kind, std::uint64_t term, bool isForced);
    void handlePreVote(const InstanceId& from, const RaftMessage& message);
    void giveWay(const InstanceId& candidate);
    void handleVote(const InstanceId& from, const RaftMessage& message);
    void handleVoteReply(const InstanceId& from, const RaftMessage& message);
    void handleTimeoutNow(const InstanceId& from);
    [[nodiscard]] bool acceptTerm(const InstanceId& from, const RaftMessage& message);
    void answerOldTerm(const InstanceId& from, const RaftMessage& message);

    // raft_node_replication.hpp: entries, commit, reads, transfer.
    void syncProgress();
    void broadcastHeartbeat();
    void sendHeartbeat(const InstanceId& to, Progress& progress);
    void sendEntries(const InstanceId& to, Progress& progress);
    void broadcastEntries();
    void advanceCommit();
    void commitUpTo(std::uint64_t index);
    void startReads();
    void finishReads();
    void refuseReads();
    void continueTransfer();
    void followLeader(const InstanceId& from);
    [[nodiscard]] bool isWellFormed(const RaftMessage& message) const;
    void handleAppend(const InstanceId& from, const RaftMessage& message);
    void mergeEntries(const RaftMessage& message);
    void rejectAppend(const InstanceId& from, const RaftMessage& message);
    void handleAppendReply(const InstanceId& from, const RaftMessage& message);
    void handleRejection(const InstanceId& from, Progress& progress, const RaftMessage& message);
    Progress* noteContact(const InstanceId& from, const RaftMessage& message);

    // raft_node_snapshot.hpp: snapshots in parts.
    void startSnapshot(const InstanceId& to, Progress& progress);
    void sendSnapshotPart(const InstanceId& to, Progress& progress);
    void resendSnapshotParts();
    void handleSnapshot(const InstanceId& from, const RaftMessage& message);
    void handleSnapshotReply(const InstanceId& from, const RaftMessage& message);
    void installSnapshot(const InstanceId& from, const RaftMessage& message);
    void replySnapshot(const InstanceId& from, const RaftMessage& message, std::uint64_t held);
    void replyMatched(const InstanceId& from, const RaftMessage& message, std::uint64_t index);

    [[nodiscard]] RaftMessage makeMessage(MessageKind kind, const InstanceId& to) const;
    void send(RaftMessage message) { m_messages.push_back(std::move(message)); }

    Store& m_store;
    RandomEngine& m_random;
    const RaftSettings m_settings;
    const InstanceId m_id;

    TimePoint m_now;
    RaftRole m_role = RaftRole::Follower;
    storage::Vote m_vote; ///< Term and vote.
    bool m_isVoteDirty = false;
    EntryLog m_log;
    std::shared_ptr<const storage::Snapshot> m_snapshot; ///< The newest one, with its membership. Null if none.
    std::uint64_t m_appliedIndex = 0; ///< Last entry handed out.
    std::uint64_t m_durableIndex = 0; ///< Last entry synced to this instance's store.
    std::optional<storage::StorageError> m_failure;

    InstanceId m_leader;
    TimePoint m_lastHeard; ///< Last message of a leader, or the start of this instance.
    TimePoint m_caughtUpAt; ///< When the leader sent the last message whose commit index was reached here.
    MessageDelay m_leaderDelay; ///< Of messages of the present leader.
    TimePoint m_electionDeadline;
    std::set<InstanceId> m_votesGranted;
    bool m_hasGivenWay = false; ///< Postponed its own election for another instance in this term.

    std::map<InstanceId, Progress> m_progress;
    TimePoint m_heartbeatDue;
    std::uint64_t m_firstIndexOfTerm = 0; ///< Index of this leader's first entry.
    std::uint64_t m_round = 0;
    std::vector<PendingRead> m_reads;
    std::optional<Transfer> m_transfer;
    bool m_hasGivenUpLease = false;
    std::optional<PartialSnapshot> m_partialSnapshot;

    std::optional<ApplicationSnapshot> m_readySnapshot;
    std::vector<ReadResult> m_readyReads;
    std::vector<RaftMessage> m_messages;
};

}

#include "azurepaddle/consensus/raft_node_api.hpp" // IWYU pragma: export
#include "azurepaddle/consensus/raft_node_election.hpp" // IWYU pragma: export
#include "azurepaddle/consensus/raft_node_reads.hpp" // IWYU pragma: export
#include "azurepaddle/consensus/raft_node_replication.hpp" // IWYU pragma: export
#include "azurepaddle/consensus/raft_node_snapshot.hpp" // IWYU pragma: export
