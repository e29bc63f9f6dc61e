#pragma once

#include "azurepaddle/consensus/raft_node.hpp"

#include <algorithm>

namespace azurepaddle::consensus {

template <RaftStore Store, RandomSource RandomEngine>
RaftResult<void> RaftNode<Store, RandomEngine>::storeSnapshot(std::uint64_t index, std::string_view bytes)
{
    if (m_failure)
        return tl::unexpected(refusal(RaftErrorCode::StorageFailed, m_failure->message()));
    AZUREPADDLE_INVARIANT(index <= m_appliedIndex, fmt::format("snapshot at entry {} but only {} were handed out", index, m_appliedIndex));
    if (index <= m_log.baseIndex() || (m_snapshot && index <= m_snapshot->index))
        return {};
    storage::Snapshot snapshot { index, *m_log.termAt(index), internal::packSnapshot(m_log.membershipAt(index), bytes) };
    persistVote();
    if (!m_failure)
        check(m_store.saveSnapshot(snapshot.index, snapshot.term, snapshot.bytes));
    if (m_failure)
        return tl::unexpected(refusal(RaftErrorCode::StorageFailed, m_failure->message()));
    m_snapshot = std::make_shared<const storage::Snapshot>(std::move(snapshot));
    if (index > m_settings.trailingEntries)
        m_log.compactTo(index - m_settings.trailingEntries);
    return {};
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::startSnapshot(const InstanceId& to, Progress& progress)
{
    AZUREPADDLE_INVARIANT(m_snapshot && m_snapshot->index >= m_log.baseIndex(), "the log is truncated but no snapshot covers it");
    progress.state = ProgressState::Snapshot;
    progress.snapshot = m_snapshot;
    progress.snapshotOffset = 0;
    sendSnapshotPart(to, progress);
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::sendSnapshotPart(const InstanceId& to, Progress& progress)
{
    const storage::Snapshot& snapshot = *progress.snapshot;
    RaftMessage part = makeMessage(MessageKind::Snapshot, to);
    part.index = snapshot.index;
    part.logTerm = snapshot.term;
    part.round = m_round;
    part.sentAt = m_now.time_since_epoch().count();
    part.offset = progress.snapshotOffset;
    part.total = snapshot.bytes.size();
    part.data = snapshot.bytes.substr(progress.snapshotOffset, m_settings.snapshotPartBytes);
    progress.snapshotSentAt = m_now;
    send(std::move(part));
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::resendSnapshotParts()
{
    for (auto& [id, progress] : m_progress) {
        if (progress.state == ProgressState::Snapshot && m_now >= progress.snapshotSentAt + m_settings.electionTimeout)
            sendSnapshotPart(id, progress);
    }
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::handleSnapshot(const InstanceId& from, const RaftMessage& message)
{
    followLeader(from);
    if (message.index <= m_log.commitIndex())
        return replyMatched(from, message, m_log.commitIndex());
    if (m_log.termAt(message.index) == message.logTerm) {
        // The log is the same up to there. The entries behind may be acknowledged and must stay.
        commitUpTo(message.index);
        return replyMatched(from, message, message.index);
    }
    if (message.total > m_settings.snapshotBytes || message.offset > message.total || message.data.size() > message.total - message.offset)
        return;
    const bool isSame = m_partialSnapshot && m_partialSnapshot->leaderTerm == message.term && m_partialSnapshot->index == message.index
        && m_partialSnapshot->term == message.logTerm && m_partialSnapshot->total == message.total;
    if (!isSame)
        m_partialSnapshot = PartialSnapshot { message.term, message.index, message.logTerm, message.total, {} };
    std::string& held = m_partialSnapshot->bytes;
    if (message.offset == held.size())
        held += message.data;
    if (held.size() == m_partialSnapshot->total)
        return installSnapshot(from, message);
    replySnapshot(from, message, held.size());
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::installSnapshot(const InstanceId& from, const RaftMessage& message)
{
    PartialSnapshot whole = std::move(*m_partialSnapshot);
    m_partialSnapshot.reset();
    auto unpacked = internal::unpackSnapshot(whole.bytes);
    if (!unpacked)
        return replySnapshot(from, message, 0);
    // The term must be durable before anything of that term.
    persistVote();
    if (!m_failure)
        check(m_store.installSnapshot(whole.index, whole.term, whole.bytes));
    if (m_failure)
        return;
    m_log = EntryLog(whole.index, whole.term, std::move(unpacked->membership));
    spillOldEntries();
    m_appliedIndex = whole.index;
    m_durableIndex = whole.index;
    m_readySnapshot = ApplicationSnapshot { whole.index, whole.term, std::string(unpacked->bytes) };
    m_snapshot = std::make_shared<const storage::Snapshot>(storage::Snapshot { whole.index, whole.term, std::move(whole.bytes) });
    replyMatched(from, message, m_log.lastIndex());
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::replySnapshot(const InstanceId& from, const RaftMessage& message, std::uint64_t held)
{
    RaftMessage reply = makeMessage(MessageKind::SnapshotReply, from);
    reply.index = message.index;
    reply.hint = held;
    reply.offset = message.offset;
    reply.round = message.round;
    reply.sentAt = message.sentAt;
    send(std::move(reply));
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::handleSnapshotReply(const InstanceId& from, const RaftMessage& message)
{
    Progress* progress = noteContact(from, message);
    if (progress == nullptr || progress->state != ProgressState::Snapshot || progress->snapshot->index != message.index)
        return;
    // Only the answer to the part in progress asks for another, so that duplicates do not multiply.
    if (message.offset != progress->snapshotOffset || message.hint >= progress->snapshot->bytes.size())
        return;
    progress->snapshotOffset = message.hint;
    sendSnapshotPart(from, *progress);
}

}
