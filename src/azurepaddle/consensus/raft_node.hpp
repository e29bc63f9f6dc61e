#pragma once

#include "azurepaddle/consensus/entry_log.hpp"
#include "azurepaddle/consensus/message_delay.hpp"
#include "azurepaddle/consensus/progress.hpp"
#include "azurepaddle/consensus/send_time_bound.hpp"
#include "azurepaddle/consensus/types.hpp"
#include "azurepaddle/core/invariant.hpp"
#include "azurepaddle/core/random.hpp"

#include <fmt/format.h>
#include <map>

namespace azurepaddle::consensus {

/// One participant of a replicated log (Raft), implemented as a deterministic state machine without clock or network
/// access: the caller passes the monotonic time to each call, and takeReady returns the messages to send and the
/// entries to apply. takeReady syncs all writes before it returns a message, so calls made between two takeReady share
/// one fsync. After any call, the driver calls takeReady until it returns an empty Ready. After a failed write,
/// takeReady always returns StorageFailed, and the process must stop. Not thread-safe. docs/consensus.md explains the
/// rules.
template <RaftStore Store, RandomSource RandomEngine>
class RaftNode {
public:
    /// Resumes from the state loaded from the store. Store and random source must outlive the node.
    RaftNode(Store& store, RandomEngine& random, const RaftSettings& settings, storage::LoadedState state, TimePoint now);

    RaftNode(const RaftNode&) = delete;
    RaftNode& operator=(const RaftNode&) = delete;

    /// Bootstraps a group with these voters, one of which must be this instance. The call is made once on every voter,
    /// with the same membership. Fails with AlreadyStarted if the store is not empty.
    [[nodiscard]] RaftResult<void> bootstrap(const Membership& membership);

    /// Advances the time: starts elections, sends heartbeats and resends snapshot chunks when they are due. Must be
    /// called at least every tenth of the heartbeat interval.
    void tick(TimePoint now);
    /// Handles a message. The caller must have authenticated the sender.
    void receive(const InstanceId& from, const RaftMessage& message, TimePoint now);
    /// Appends a command to the log. Only the leader accepts it.
    [[nodiscard]] RaftResult<EntryPosition> propose(std::string bytes, TimePoint now);
    /// Appends a membership change to the log. Only the leader accepts it, and only if no other change is pending.
    [[nodiscard]] RaftResult<EntryPosition> proposeChange(const MembershipChange& change, TimePoint now);
    /// Requests a linearisable read. A later Ready returns the result with this id.
    void requestRead(std::uint64_t id, TimePoint now);
    /// Transfers the leadership to another voter as soon as that voter holds all entries. The transfer is abandoned
    /// after one election timeout.
    [[nodiscard]] RaftResult<void> transferLeadership(const InstanceId& target, TimePoint now);
    /// Makes all state durable and returns the work for the driver. The result is empty if there is none.
    [[nodiscard]] RaftResult<Ready> takeReady();
    /// Stores the application state as of the entry at this index, which must have been returned for applying, and
    /// compacts the log before it. Does nothing if a newer snapshot exists.
    [[nodiscard]] RaftResult<void> storeSnapshot(std::uint64_t index, std::string_view bytes);

    [[nodiscard]] RaftStatus status() const;
    // Single fields of the status, for frequent callers: status() copies the membership.
    [[nodiscard]] RaftRole role() const noexcept { return m_role; }
    [[nodiscard]] std::uint64_t term() const noexcept { return m_vote.term; }
    [[nodiscard]] std::uint64_t commitIndex() const noexcept { return m_log.commitIndex(); }
    /// For followers: the latest time at which the leader is known to have committed no entry that this instance lacks.
    [[nodiscard]] TimePoint caughtUpAt() const noexcept { return m_caughtUpAt; }
    [[nodiscard]] const InstanceId& leader() const noexcept { return m_leader; }
    /// The newest membership in the log, committed or not. Another leader may still replace an uncommitted one.
    [[nodiscard]] const Membership& membership() const noexcept { return m_log.membership(); }
    /// The newest membership that is known to be committed, which every later leader holds. Empty before the first.
    [[nodiscard]] const Membership& committedMembership() const { return m_log.membershipAt(m_log.commitIndex()); }
    /// End of the leader lease, before which no other participant can be elected. In the past unless this instance is
    /// the leader.
    [[nodiscard]] TimePoint leaseEnd() const;
    /// Number of entries that another participant lacks; nothing unless this instance is the leader.
    [[nodiscard]] std::optional<std::uint64_t> replicationLag(const InstanceId& node) const;
    /// Send time of the newest message that another participant acknowledged, or the time at which this leader started
    /// to send to it if that is later. Nothing unless this instance is the leader.
    [[nodiscard]] std::optional<TimePoint> lastContact(const InstanceId& node) const;
    /// Send time of the newest message that another participant acknowledged to this leader. Nothing if it has not
    /// acknowledged any, or unless this instance is the leader.
    [[nodiscard]] std::optional<TimePoint> lastAcknowledgement(const InstanceId& node) const;
    /// Time at which this leader started to send to another participant. Nothing unless this instance is the leader.
    [[nodiscard]] std::optional<TimePoint> trackedSince(const InstanceId& node) const;

private:
    struct PendingRead {
        std::uint64_t id = 0;
        std::uint64_t readRound = 0; ///< 0 until the read index is determined.
        std::uint64_t index = 0;
    };
    struct Transfer {
        InstanceId target;
        TimePoint deadline;
        bool isSent = false;
    };
    /// A snapshot whose first chunks were received.
    struct PartialSnapshot {
        std::uint64_t leaderTerm = 0; ///< Chunks from different leaders are never combined: their encodings may differ.
        std::uint64_t index = 0;
        std::uint64_t term = 0;
        std::uint64_t totalBytes = 0;
        std::string bytes;
    };

    // raft_node_api.hpp: public interface, persistence.
    void configureSpilling();
    void advanceTime(TimePoint now);
    void persistVote();
    void collectCommitted(Ready& ready);
    void fail(const storage::StorageError& error);
    void recordStorageFailure(const storage::StorageResult<void>& result);
    [[nodiscard]] RaftError makeError(RaftErrorCode code, std::string message) const;
    [[nodiscard]] RaftResult<void> checkLeader() const;
    EntryPosition appendLocally(EntryKind kind, std::string data);
    [[nodiscard]] RaftResult<void> checkPromotion(const InstanceId& learner) const;
    [[nodiscard]] const Progress* progressOf(const InstanceId& node) const;

    // raft_node_election.hpp: roles, votes, leases.
    void becomeFollower(std::uint64_t term, const InstanceId& leader);
    void becomePreCandidate();
    void becomeCandidate(bool isTransfer);
    void becomeLeader();
    void resetElectionDeadline();
    void setTerm(std::uint64_t term);
    void voteFor(const InstanceId& candidate);
    [[nodiscard]] bool isVoter() const { return m_log.membership().voters.contains(m_id); }
    [[nodiscard]] bool hasLeaderContact() const;
    [[nodiscard]] bool isUpToDate(const RaftMessage& request) const;
    [[nodiscard]] TimePoint quorumAckTime() const;
    [[nodiscard]] TimePoint quorumAckTimeWithGrace() const;
    void checkQuorum();
    void requestVotes(MessageKind kind, std::uint64_t term, bool isTransfer);
    void handlePreVote(const InstanceId& from, const RaftMessage& message);
    void deferElection(const InstanceId& candidate);
    void handleVote(const InstanceId& from, const RaftMessage& message);
    void handleVoteReply(const InstanceId& from, const RaftMessage& message);
    void handleTimeoutNow(const InstanceId& from);
    [[nodiscard]] bool acceptTerm(const InstanceId& from, const RaftMessage& message);
    void replyToStaleTerm(const InstanceId& from, const RaftMessage& message);

    // raft_node_replication.hpp and raft_node_reads.hpp: entries, commit, reads, transfer.
    void syncProgress();
    void broadcastHeartbeat();
    [[nodiscard]] RaftMessage makeAppend(const InstanceId& to, const Progress& progress) const;
    void sendHeartbeat(const InstanceId& to, Progress& progress);
    void sendEntries(const InstanceId& to, Progress& progress);
    void broadcastEntries();
    void advanceCommit();
    void commitUpTo(std::uint64_t index);
    void startReads();
    void finishReads();
    void rejectReads();
    void continueTransfer();
    void followLeader(const InstanceId& from);
    [[nodiscard]] bool isWellFormed(const RaftMessage& message) const;
    void handleAppend(const InstanceId& from, const RaftMessage& message);
    [[nodiscard]] RaftMessage makeReply(MessageKind kind, const InstanceId& to, const RaftMessage& message) const;
    void recordCaughtUp(const RaftMessage& message);
    [[nodiscard]] std::optional<TimePoint> recordSendTime(const RaftMessage& message);
    void mergeEntries(const RaftMessage& message);
    void rejectAppend(const InstanceId& from, const RaftMessage& message);
    void handleAppendReply(const InstanceId& from, const RaftMessage& message);
    void handleRejection(const InstanceId& from, Progress& progress, const RaftMessage& message);
    Progress* recordAck(const InstanceId& from, const RaftMessage& message);

    // raft_node_snapshot.hpp: transfer of snapshots in chunks.
    void startSnapshot(const InstanceId& to, Progress& progress);
    void sendSnapshotChunk(const InstanceId& to, Progress& progress);
    void resendSnapshotChunks();
    void handleSnapshot(const InstanceId& from, const RaftMessage& message);
    void handleSnapshotReply(const InstanceId& from, const RaftMessage& message);
    void installSnapshot(const InstanceId& from, const RaftMessage& message);
    void replySnapshot(const InstanceId& from, const RaftMessage& message, std::uint64_t receivedBytes);
    void replyMatched(const InstanceId& from, const RaftMessage& message, std::uint64_t index);

    [[nodiscard]] RaftMessage makeMessage(MessageKind kind, const InstanceId& to) const;
    void send(RaftMessage message) { m_messages.push_back(std::move(message)); }

    Store& m_store;
    RandomEngine& m_random;
    const RaftSettings m_settings;
    const InstanceId m_id;
    const TimePoint m_startedAt;

    TimePoint m_now;
    RaftRole m_role = RaftRole::Follower;
    storage::Vote m_vote;
    bool m_isVoteDirty = false;
    EntryLog m_log;
    std::shared_ptr<const storage::Snapshot> m_snapshot; ///< The newest snapshot, including its membership; null if there is none.
    std::uint64_t m_appliedIndex = 0; ///< Last entry returned for applying.
    std::uint64_t m_durableIndex = 0; ///< Last entry synced to the store of this instance.
    std::optional<storage::StorageError> m_storageFailure;

    InstanceId m_leader;
    TimePoint m_lastLeaderContact; ///< Time of the last message from a leader; initially the start of this instance, because its lease from before a restart may still hold.
    TimePoint m_caughtUpAt; ///< Time after which a leader has sent a commit index that covers everything acknowledged and which this instance has reached.
    SendTimeBound m_leaderSendTime; ///< Send time of messages from the current leader.
    MessageDelay m_leaderDelay; ///< Delay of messages from the current leader if that runs an earlier release.
    TimePoint m_electionDeadline;
    std::set<InstanceId> m_votesGranted;
    bool m_hasDeferredElection = false; ///< This instance has postponed its own election in favour of another candidate in this term.

    std::map<InstanceId, Progress> m_progress;
    TimePoint m_heartbeatDue;
    std::uint64_t m_firstIndexOfTerm = 0; ///< Index of the first entry that this leader appended in its term.
    std::uint64_t m_readRound = 0;
    std::vector<PendingRead> m_pendingReads;
    std::optional<Transfer> m_pendingTransfer;
    bool m_isLeaseRelinquished = false;
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
