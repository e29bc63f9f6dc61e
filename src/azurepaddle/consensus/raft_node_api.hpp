#pragma once

#include "azurepaddle/consensus/raft_node.hpp"

#include <algorithm>

namespace azurepaddle::consensus {

namespace internal {

    /// A stored snapshot is the framed membership followed by the application's bytes.
    [[nodiscard]] inline std::string packSnapshot(const Membership& membership, std::string_view bytes)
    {
        return codec::frame(codec::encode(membership)).append(bytes);
    }

    struct UnpackedSnapshot {
        Membership membership;
        std::string_view bytes;
    };

    [[nodiscard]] inline std::optional<UnpackedSnapshot> unpackSnapshot(std::string_view packed)
    {
        const auto framed = codec::unframe(packed);
        if (!framed)
            return std::nullopt;
        auto membership = codec::decode<Membership>(framed->payload);
        if (!membership)
            return std::nullopt;
        return UnpackedSnapshot { std::move(*membership), packed.substr(framed->size) };
    }

}

template <RaftStore Store, RandomSource RandomEngine>
RaftNode<Store, RandomEngine>::RaftNode(Store& store, RandomEngine& random, const RaftSettings& settings, storage::LoadedState state, TimePoint now)
    : m_store(store)
    , m_random(random)
    , m_settings(settings)
    , m_id(state.identity)
    , m_now(now)
    , m_vote(std::move(state.vote))
    , m_lastHeard(now)
{
    AZUREPADDLE_INVARIANT(!m_id.empty(), "a participant needs an identity");
    if (state.snapshot.index > 0) {
        const auto unpacked = internal::unpackSnapshot(state.snapshot.bytes);
        AZUREPADDLE_INVARIANT(unpacked.has_value(), "the stored snapshot has no membership");
        m_log = EntryLog(state.snapshot.index, state.snapshot.term, unpacked->membership);
        m_readySnapshot = ApplicationSnapshot { state.snapshot.index, state.snapshot.term, std::string(unpacked->bytes) };
        m_snapshot = std::make_shared<const storage::Snapshot>(std::move(state.snapshot));
    }
    spillOldEntries();
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
void RaftNode<Store, RandomEngine>::spillOldEntries()
{
    if (!m_settings.scratchFolder.empty())
        m_log.spillInto(std::make_shared<storage::ScratchStore>(m_settings.scratchFolder, "entries"));
}

template <RaftStore Store, RandomSource RandomEngine>
RaftResult<void> RaftNode<Store, RandomEngine>::bootstrap(const Membership& membership)
{
    if (m_vote.term > 0 || m_log.lastIndex() > 0)
        return tl::unexpected(refusal(RaftErrorCode::AlreadyStarted, "this instance already holds a log"));
    if (!membership.voters.contains(m_id))
        return tl::unexpected(refusal(RaftErrorCode::InvalidChange, "a group is founded by one of its voters"));
    setTerm(1);
    persistVote();
    appendOwn(EntryKind::Membership, codec::encode(membership));
    check(m_store.sync());
    m_durableIndex = m_log.lastIndex();
    if (m_failure)
        return tl::unexpected(refusal(RaftErrorCode::StorageFailed, m_failure->message()));
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
    if (m_failure)
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
    if (m_transfer && m_now >= m_transfer->deadline)
        m_transfer.reset();
    if (m_now >= m_heartbeatDue)
        broadcastHeartbeat();
    resendSnapshotParts();
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::receive(const InstanceId& from, const RaftMessage& message, TimePoint now)
{
    const bool isKnown = message.kind <= static_cast<std::uint8_t>(MessageKind::TimeoutNow);
    if (m_failure || !isKnown || message.to != m_id || from == m_id)
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
RaftError RaftNode<Store, RandomEngine>::refusal(RaftErrorCode code, std::string message) const
{
    return { code, std::move(message), m_leader };
}

template <RaftStore Store, RandomSource RandomEngine>
RaftResult<void> RaftNode<Store, RandomEngine>::checkLeader() const
{
    if (m_failure)
        return tl::unexpected(refusal(RaftErrorCode::StorageFailed, m_failure->message()));
    if (m_role != RaftRole::Leader)
        return tl::unexpected(refusal(RaftErrorCode::NotLeader, "this instance does not lead"));
    if (m_transfer)
        return tl::unexpected(refusal(RaftErrorCode::Busy, "the leadership is being transferred"));
    return {};
}

template <RaftStore Store, RandomSource RandomEngine>
EntryPosition RaftNode<Store, RandomEngine>::appendOwn(EntryKind kind, std::string data)
{
    LogEntry entry { m_log.lastIndex() + 1, m_vote.term, static_cast<std::uint8_t>(kind), std::move(data) };
    check(m_store.append({ &entry, 1 }));
    m_log.append(std::move(entry));
    return { m_log.lastIndex(), m_vote.term };
}

template <RaftStore Store, RandomSource RandomEngine>
RaftResult<EntryPosition> RaftNode<Store, RandomEngine>::propose(std::string bytes, TimePoint now)
{
    advanceTime(now);
    if (auto leads = checkLeader(); !leads)
        return tl::unexpected(leads.error());
    if (bytes.size() > storage::maxRecordBytes)
        return tl::unexpected(refusal(RaftErrorCode::TooLarge, fmt::format("proposal of {} bytes exceeds {}", bytes.size(), storage::maxRecordBytes)));
    if (m_log.uncommittedBytes() + bytes.size() > m_settings.uncommittedBytes)
        return tl::unexpected(refusal(RaftErrorCode::Busy, fmt::format("{} bytes wait for a quorum", m_log.uncommittedBytes())));
    const EntryPosition position = appendOwn(EntryKind::Command, std::move(bytes));
    return position;
}

template <RaftStore Store, RandomSource RandomEngine>
RaftResult<EntryPosition> RaftNode<Store, RandomEngine>::proposeChange(const MembershipChange& change, TimePoint now)
{
    advanceTime(now);
    if (auto leads = checkLeader(); !leads)
        return tl::unexpected(leads.error());
    if (m_log.hasPendingMembership() || m_log.commitIndex() < m_firstIndexOfTerm)
        return tl::unexpected(refusal(RaftErrorCode::ChangePending, "an earlier change or the first entry of this leader is not committed"));
    const auto membership = changed(m_log.membership(), change);
    if (!membership)
        return tl::unexpected(refusal(RaftErrorCode::InvalidChange, "the change does not fit the membership"));
    const auto lag = replicationLag(change.node);
    if (change.kind == ChangeKind::PromoteLearner && (!lag || *lag > m_settings.maxPromotionLag))
        return tl::unexpected(refusal(RaftErrorCode::NotCaughtUp, "the learner misses too many entries"));
    const EntryPosition position = appendOwn(EntryKind::Membership, codec::encode(*membership));
    syncProgress();
    return position;
}

template <RaftStore Store, RandomSource RandomEngine>
RaftResult<Ready> RaftNode<Store, RandomEngine>::takeReady()
{
    if (!m_failure && m_role == RaftRole::Leader) {
        startReads();
        broadcastEntries();
    }
    persistVote();
    if (!m_failure)
        check(m_store.sync());
    if (m_failure)
        return tl::unexpected(refusal(RaftErrorCode::StorageFailed, m_failure->message()));
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
    ready.committed = m_log.slice(m_appliedIndex + 1, m_log.commitIndex(), m_settings.readyBytes);
    for (const LogEntry& entry : ready.committed) {
        AZUREPADDLE_INVARIANT(entry.index == m_appliedIndex + 1, fmt::format("entry {} handed out after {}", entry.index, m_appliedIndex));
        m_appliedIndex = entry.index;
    }
    const auto waiting = std::stable_partition(m_readyReads.begin(), m_readyReads.end(),
        [this](const ReadResult& read) { return read.index <= m_appliedIndex; });
    ready.reads.assign(m_readyReads.begin(), waiting);
    m_readyReads.erase(m_readyReads.begin(), waiting);
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::persistVote()
{
    if (!m_failure && std::exchange(m_isVoteDirty, false))
        check(m_store.saveVote(m_vote));
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::check(const storage::StorageResult<void>& result)
{
    if (!result && !m_failure)
        m_failure = result.error();
}

template <RaftStore Store, RandomSource RandomEngine>
RaftStatus RaftNode<Store, RandomEngine>::status() const
{
    return { m_id, m_role, m_vote.term, m_leader, m_log.commitIndex(), m_log.lastIndex(), m_snapshot ? m_snapshot->index : 0, leaseEnd(), m_log.membership() };
}

template <RaftStore Store, RandomSource RandomEngine>
TimePoint RaftNode<Store, RandomEngine>::leaseEnd() const
{
    if (m_role != RaftRole::Leader || m_hasGivenUpLease)
        return {};
    return provenContact() + std::chrono::duration_cast<Duration>(m_settings.electionTimeout * (1.0 - m_settings.clockDrift));
}

template <RaftStore Store, RandomSource RandomEngine>
std::optional<std::uint64_t> RaftNode<Store, RandomEngine>::replicationLag(const InstanceId& node) const
{
    const auto found = m_progress.find(node);
    if (m_role != RaftRole::Leader || found == m_progress.end())
        return std::nullopt;
    return m_log.lastIndex() - found->second.match;
}

template <RaftStore Store, RandomSource RandomEngine>
std::optional<TimePoint> RaftNode<Store, RandomEngine>::lastContact(const InstanceId& node) const
{
    const auto found = m_progress.find(node);
    if (m_role != RaftRole::Leader || found == m_progress.end())
        return std::nullopt;
    return std::max(found->second.ackedSentAt, found->second.since);
}

}
