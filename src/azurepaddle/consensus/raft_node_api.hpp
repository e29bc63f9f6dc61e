#pragma once

#include "azurepaddle/consensus/raft_node.hpp"

#include <algorithm>

namespace azurepaddle::consensus {

namespace internal {

    /// Encodes a snapshot for storage: the framed membership followed by the bytes of the application.
    [[nodiscard]] inline std::string encodeSnapshot(const Membership& membership, std::string_view bytes)
    {
        return codec::frame(codec::encode(membership)).append(bytes);
    }

    struct DecodedSnapshot {
        Membership membership;
        std::string_view bytes;
    };

    [[nodiscard]] inline std::optional<DecodedSnapshot> decodeSnapshot(std::string_view encoded)
    {
        const auto framed = codec::unframe(encoded);
        if (!framed)
            return std::nullopt;
        auto membership = codec::decode<Membership>(framed->payload);
        if (!membership)
            return std::nullopt;
        return DecodedSnapshot { std::move(*membership), encoded.substr(framed->size) };
    }

}

template <RaftStore Store, RandomSource RandomEngine>
RaftNode<Store, RandomEngine>::RaftNode(Store& store, RandomEngine& random, const RaftSettings& settings, storage::LoadedState state, TimePoint now)
    : m_store(store)
    , m_random(random)
    , m_settings(settings)
    , m_id(state.identity)
    , m_startedAt(now)
    , m_now(now)
    , m_vote(std::move(state.vote))
    , m_lastLeaderContact(now)
{
    AZUREPADDLE_INVARIANT(!m_id.empty(), "the stored state has no identity");
    if (state.snapshot.index > 0) {
        const auto decoded = internal::decodeSnapshot(state.snapshot.bytes);
        AZUREPADDLE_INVARIANT(decoded.has_value(), "the membership in the stored snapshot cannot be decoded");
        m_log = EntryLog(state.snapshot.index, state.snapshot.term, decoded->membership);
        m_readySnapshot = ApplicationSnapshot { state.snapshot.index, state.snapshot.term, std::string(decoded->bytes) };
        m_snapshot = std::make_shared<const storage::Snapshot>(std::move(state.snapshot));
    }
    configureSpilling();
    for (storage::LogRecord& record : state.records) {
        if (record.index > m_log.baseIndex())
            m_log.append(std::move(record));
    }
    m_appliedIndex = m_log.baseIndex();
    m_durableIndex = m_log.lastIndex();
    AZUREPADDLE_INVARIANT(m_vote.term >= m_log.lastTerm(), "the stored term is lower than that of the log");
    resetElectionDeadline();
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::configureSpilling()
{
    if (!m_settings.scratchFolder.empty())
        m_log.setSpillStore(std::make_shared<storage::ScratchStore>(m_settings.scratchFolder, "entries"));
}

template <RaftStore Store, RandomSource RandomEngine>
RaftResult<void> RaftNode<Store, RandomEngine>::bootstrap(const Membership& membership)
{
    if (m_vote.term > 0 || m_log.lastIndex() > 0)
        return tl::unexpected(makeError(RaftErrorCode::AlreadyStarted, "this instance already holds a log"));
    if (!membership.voters.contains(m_id))
        return tl::unexpected(makeError(RaftErrorCode::InvalidChange, "this instance is not among the voters of the new group"));
    setTerm(1);
    persistVote();
    appendLocally(EntryKind::Membership, codec::encode(membership));
    recordStorageFailure(m_store.sync());
    m_durableIndex = m_log.lastIndex();
    if (m_storageFailure)
        return tl::unexpected(makeError(RaftErrorCode::StorageFailed, m_storageFailure->message()));
    return {};
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::advanceTime(TimePoint now)
{
    m_now = std::max(m_now, now);
    if (m_role == RaftRole::Leader)
        checkQuorum();
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::tick(TimePoint now)
{
    if (m_storageFailure)
        return;
    advanceTime(now);
    if (m_role != RaftRole::Leader) {
        if (m_now < m_electionDeadline)
            return;
        if (isVoter())
            becomePreCandidate();
        else
            resetElectionDeadline();
        return;
    }
    if (m_pendingTransfer && m_now >= m_pendingTransfer->deadline)
        m_pendingTransfer.reset();
    if (m_now >= m_heartbeatDue)
        broadcastHeartbeat();
    resendSnapshotChunks();
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::receive(const InstanceId& from, const RaftMessage& message, TimePoint now)
{
    const bool isKnownKind = message.kind <= static_cast<std::uint8_t>(MessageKind::TimeoutNow);
    if (m_storageFailure || !isKnownKind || message.to != m_id || from == m_id)
        return;
    advanceTime(now);
    if (!acceptTerm(from, message))
        return;
    switch (message.messageKind()) {
    case MessageKind::PreVote:
        return handlePreVote(from, message);
    case MessageKind::Vote:
        return handleVote(from, message);
    case MessageKind::PreVoteReply:
    case MessageKind::VoteReply:
        return handleVoteReply(from, message);
    case MessageKind::Append:
        return handleAppend(from, message);
    case MessageKind::AppendReply:
        return handleAppendReply(from, message);
    case MessageKind::Snapshot:
        return handleSnapshot(from, message);
    case MessageKind::SnapshotReply:
        return handleSnapshotReply(from, message);
    case MessageKind::TimeoutNow:
        return handleTimeoutNow(from);
    }
}

template <RaftStore Store, RandomSource RandomEngine>
RaftError RaftNode<Store, RandomEngine>::makeError(RaftErrorCode code, std::string message) const
{
    return { code, std::move(message), m_leader };
}

template <RaftStore Store, RandomSource RandomEngine>
RaftResult<void> RaftNode<Store, RandomEngine>::checkLeader() const
{
    if (m_storageFailure)
        return tl::unexpected(makeError(RaftErrorCode::StorageFailed, m_storageFailure->message()));
    if (m_role != RaftRole::Leader)
        return tl::unexpected(makeError(RaftErrorCode::NotLeader, "this instance does not lead"));
    if (m_pendingTransfer)
        return tl::unexpected(makeError(RaftErrorCode::Busy, "the leadership is being transferred"));
    return {};
}

template <RaftStore Store, RandomSource RandomEngine>
EntryPosition RaftNode<Store, RandomEngine>::appendLocally(EntryKind kind, std::string data)
{
    LogEntry entry { m_log.lastIndex() + 1, m_vote.term, static_cast<std::uint8_t>(kind), std::move(data) };
    recordStorageFailure(m_store.append({ &entry, 1 }));
    m_log.append(std::move(entry));
    return { m_log.lastIndex(), m_vote.term };
}

template <RaftStore Store, RandomSource RandomEngine>
RaftResult<EntryPosition> RaftNode<Store, RandomEngine>::propose(std::string bytes, TimePoint now)
{
    advanceTime(now);
    if (auto leaderCheck = checkLeader(); !leaderCheck)
        return tl::unexpected(leaderCheck.error());
    if (bytes.size() > storage::maxRecordBytes)
        return tl::unexpected(makeError(RaftErrorCode::TooLarge, fmt::format("proposal of {} bytes exceeds {}", bytes.size(), storage::maxRecordBytes)));
    if (m_log.uncommittedBytes() + bytes.size() > m_settings.maxUncommittedBytes)
        return tl::unexpected(makeError(RaftErrorCode::Busy, fmt::format("{} bytes wait for a quorum", m_log.uncommittedBytes())));
    const EntryPosition position = appendLocally(EntryKind::Command, std::move(bytes));
    return position;
}

template <RaftStore Store, RandomSource RandomEngine>
RaftResult<EntryPosition> RaftNode<Store, RandomEngine>::proposeChange(const MembershipChange& change, TimePoint now)
{
    advanceTime(now);
    if (auto leaderCheck = checkLeader(); !leaderCheck)
        return tl::unexpected(leaderCheck.error());
    if (m_log.hasPendingMembership() || m_log.commitIndex() < m_firstIndexOfTerm)
        return tl::unexpected(makeError(RaftErrorCode::ChangePending, "an earlier membership change, or the first entry of this leader in its term, is not committed yet"));
    const auto membership = applyChange(m_log.membership(), change);
    if (!membership)
        return tl::unexpected(makeError(RaftErrorCode::InvalidChange, "the change does not apply to the current membership"));
    if (change.kind == ChangeKind::PromoteLearner) {
        if (auto promotionCheck = checkPromotion(change.node); !promotionCheck)
            return tl::unexpected(promotionCheck.error());
    }
    const EntryPosition position = appendLocally(EntryKind::Membership, codec::encode(*membership));
    syncProgress();
    return position;
}

/// Checks that a learner holds nearly the whole log and answers. The number of missing entries alone does not show that:
/// in a short log, it is small even for a learner that has never answered.
template <RaftStore Store, RandomSource RandomEngine>
RaftResult<void> RaftNode<Store, RandomEngine>::checkPromotion(const InstanceId& learner) const
{
    const auto lag = replicationLag(learner);
    if (!lag || *lag > m_settings.maxPromotionLag)
        return tl::unexpected(makeError(RaftErrorCode::NotCaughtUp, fmt::format("the learner lacks more than {} entries", m_settings.maxPromotionLag)));
    const auto acknowledged = lastAcknowledgement(learner);
    if (!acknowledged || m_now - *acknowledged > m_settings.electionTimeout)
        return tl::unexpected(makeError(RaftErrorCode::NotCaughtUp, "the learner has not answered within the election timeout"));
    return {};
}

template <RaftStore Store, RandomSource RandomEngine>
RaftResult<Ready> RaftNode<Store, RandomEngine>::takeReady()
{
    if (!m_storageFailure && m_role == RaftRole::Leader) {
        startReads();
        broadcastEntries();
    }
    persistVote();
    if (!m_storageFailure)
        recordStorageFailure(m_store.sync());
    if (m_storageFailure)
        return tl::unexpected(makeError(RaftErrorCode::StorageFailed, m_storageFailure->message()));
    m_durableIndex = m_log.lastIndex();
    if (m_role == RaftRole::Leader) {
        advanceCommit();
        finishReads();
    }
    Ready ready;
    collectCommitted(ready);
    ready.messages = std::exchange(m_messages, {});
    return ready;
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::collectCommitted(Ready& ready)
{
    ready.snapshot = std::exchange(m_readySnapshot, std::nullopt);
    const std::uint64_t last = std::min(m_log.commitIndex(), m_appliedIndex + m_settings.maxReadyEntries);
    ready.committed = m_log.slice(m_appliedIndex + 1, last, m_settings.maxReadyBytes);
    for (const LogEntry& entry : ready.committed) {
        AZUREPADDLE_INVARIANT(entry.index == m_appliedIndex + 1, fmt::format("entry {} returned for applying after entry {}", entry.index, m_appliedIndex));
        m_appliedIndex = entry.index;
    }
    const auto firstWaiting = std::stable_partition(m_readyReads.begin(), m_readyReads.end(),
        [this](const ReadResult& read) { return read.index <= m_appliedIndex; });
    ready.reads.assign(m_readyReads.begin(), firstWaiting);
    m_readyReads.erase(m_readyReads.begin(), firstWaiting);
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::persistVote()
{
    if (!m_storageFailure && std::exchange(m_isVoteDirty, false))
        recordStorageFailure(m_store.saveVote(m_vote));
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::recordStorageFailure(const storage::StorageResult<void>& result)
{
    if (!result && !m_storageFailure)
        m_storageFailure = result.error();
}

template <RaftStore Store, RandomSource RandomEngine>
RaftStatus RaftNode<Store, RandomEngine>::status() const
{
    return { m_id, m_role, m_vote.term, m_leader, m_log.commitIndex(), m_log.lastIndex(), m_snapshot ? m_snapshot->index : 0, leaseEnd(), m_log.membership() };
}

template <RaftStore Store, RandomSource RandomEngine>
TimePoint RaftNode<Store, RandomEngine>::leaseEnd() const
{
    if (m_role != RaftRole::Leader || m_isLeaseRelinquished)
        return {};
    return quorumAckTime() + std::chrono::duration_cast<Duration>(m_settings.electionTimeout * (1.0 - m_settings.clockDrift));
}

/// Returns the replication state of another participant, or null unless this instance is the leader and tracks it.
template <RaftStore Store, RandomSource RandomEngine>
const Progress* RaftNode<Store, RandomEngine>::progressOf(const InstanceId& node) const
{
    const auto found = m_progress.find(node);
    return m_role != RaftRole::Leader || found == m_progress.end() ? nullptr : &found->second;
}

template <RaftStore Store, RandomSource RandomEngine>
std::optional<std::uint64_t> RaftNode<Store, RandomEngine>::replicationLag(const InstanceId& node) const
{
    const Progress* progress = progressOf(node);
    return progress ? std::optional(m_log.lastIndex() - progress->match) : std::nullopt;
}

template <RaftStore Store, RandomSource RandomEngine>
std::optional<TimePoint> RaftNode<Store, RandomEngine>::lastContact(const InstanceId& node) const
{
    const Progress* progress = progressOf(node);
    return progress ? std::optional(std::max(progress->ackedSentAt, progress->trackedSince)) : std::nullopt;
}

template <RaftStore Store, RandomSource RandomEngine>
std::optional<TimePoint> RaftNode<Store, RandomEngine>::lastAcknowledgement(const InstanceId& node) const
{
    const Progress* progress = progressOf(node);
    const bool hasAcknowledged = progress && progress->ackedSentAt > TimePoint {};
    return hasAcknowledged ? std::optional(progress->ackedSentAt) : std::nullopt;
}

template <RaftStore Store, RandomSource RandomEngine>
std::optional<TimePoint> RaftNode<Store, RandomEngine>::trackedSince(const InstanceId& node) const
{
    const Progress* progress = progressOf(node);
    return progress ? std::optional(progress->trackedSince) : std::nullopt;
}

}
