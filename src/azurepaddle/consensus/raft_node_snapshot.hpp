#pragma once

#include "azurepaddle/consensus/raft_node.hpp"

#include <algorithm>

namespace azurepaddle::consensus {

template <RaftStore Store, RandomSource RandomEngine>
RaftResult<void> RaftNode<Store, RandomEngine>::storeSnapshot(std::uint64_t index, std::string_view bytes)
{
    if (m_storageFailure)
        return tl::unexpected(makeError(RaftErrorCode::StorageFailed, m_storageFailure->message()));
    AZUREPADDLE_INVARIANT(index <= m_appliedIndex, fmt::format("snapshot at entry {}, but only entries up to {} were returned for applying", index, m_appliedIndex));
    if (index <= m_log.baseIndex() || (m_snapshot && index <= m_snapshot->index))
        return {};
    storage::Snapshot snapshot { index, *m_log.termAt(index), internal::encodeSnapshot(m_log.membershipAt(index), bytes) };
    persistVote();
    if (!m_storageFailure)
        recordStorageFailure(m_store.saveSnapshot(snapshot.index, snapshot.term, snapshot.bytes));
    if (m_storageFailure)
        return tl::unexpected(makeError(RaftErrorCode::StorageFailed, m_storageFailure->message()));
    m_snapshot = std::make_shared<const storage::Snapshot>(std::move(snapshot));
    if (index > m_settings.trailingEntries)
        m_log.compactTo(index - m_settings.trailingEntries);
    return {};
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::startSnapshot(const InstanceId& to, Progress& progress)
{
    AZUREPADDLE_INVARIANT(m_snapshot && m_snapshot->index >= m_log.baseIndex(), "the log is compacted but no snapshot covers the removed entries");
    progress.state = ProgressState::Snapshot;
    progress.snapshot = m_snapshot;
    progress.snapshotOffset = 0;
    sendSnapshotChunk(to, progress);
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::sendSnapshotChunk(const InstanceId& to, Progress& progress)
{
    const storage::Snapshot& snapshot = *progress.snapshot;
    RaftMessage chunk = makeMessage(MessageKind::Snapshot, to);
    chunk.index = snapshot.index;
    chunk.logTerm = snapshot.term;
    chunk.readRound = m_readRound;
    chunk.sentAt = m_now.time_since_epoch().count();
    chunk.offset = progress.snapshotOffset;
    chunk.totalBytes = snapshot.bytes.size();
    chunk.data = snapshot.bytes.substr(progress.snapshotOffset, m_settings.snapshotChunkBytes);
    progress.snapshotSentAt = m_now;
    send(std::move(chunk));
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::resendSnapshotChunks()
{
    for (auto& [id, progress] : m_progress) {
        if (progress.state == ProgressState::Snapshot && m_now >= progress.snapshotSentAt + m_settings.electionTimeout)
            sendSnapshotChunk(id, progress);
    }
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::handleSnapshot(const InstanceId& from, const RaftMessage& message)
{
    followLeader(from);
    if (message.index <= m_log.commitIndex())
        return replyMatched(from, message, m_log.commitIndex());
    if (m_log.termAt(message.index) == message.logTerm) {
        // The log matches the snapshot up to this index. The entries after it may be acknowledged and must be kept.
        commitUpTo(message.index);
        return replyMatched(from, message, message.index);
    }
    if (message.totalBytes > m_settings.maxSnapshotBytes || message.offset > message.totalBytes || message.data.size() > message.totalBytes - message.offset)
        return;
    const bool isSameSnapshot = m_partialSnapshot && m_partialSnapshot->leaderTerm == message.term && m_partialSnapshot->index == message.index
        && m_partialSnapshot->term == message.logTerm && m_partialSnapshot->totalBytes == message.totalBytes;
    if (!isSameSnapshot)
        m_partialSnapshot = PartialSnapshot { message.term, message.index, message.logTerm, message.totalBytes, {} };
    std::string& receivedBytes = m_partialSnapshot->bytes;
    if (message.offset == receivedBytes.size())
        receivedBytes += message.data;
    if (receivedBytes.size() == m_partialSnapshot->totalBytes)
        return installSnapshot(from, message);
    replySnapshot(from, message, receivedBytes.size());
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::installSnapshot(const InstanceId& from, const RaftMessage& message)
{
    PartialSnapshot complete = std::move(*m_partialSnapshot);
    m_partialSnapshot.reset();
    auto decoded = internal::decodeSnapshot(complete.bytes);
    if (!decoded)
        return replySnapshot(from, message, 0);
    // The term must be durable before any state of that term.
    persistVote();
    if (!m_storageFailure)
        recordStorageFailure(m_store.installSnapshot(complete.index, complete.term, complete.bytes));
    if (m_storageFailure)
        return;
    m_log = EntryLog(complete.index, complete.term, std::move(decoded->membership));
    configureSpilling();
    m_appliedIndex = complete.index;
    m_durableIndex = complete.index;
    m_readySnapshot = ApplicationSnapshot { complete.index, complete.term, std::string(decoded->bytes) };
    m_snapshot = std::make_shared<const storage::Snapshot>(storage::Snapshot { complete.index, complete.term, std::move(complete.bytes) });
    replyMatched(from, message, m_log.lastIndex());
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::replySnapshot(const InstanceId& from, const RaftMessage& message, std::uint64_t receivedBytes)
{
    RaftMessage reply = makeReply(MessageKind::SnapshotReply, from, message);
    reply.index = message.index;
    reply.hint = receivedBytes;
    reply.offset = message.offset;
    send(std::move(reply));
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::handleSnapshotReply(const InstanceId& from, const RaftMessage& message)
{
    Progress* progress = recordAck(from, message);
    if (progress == nullptr || progress->state != ProgressState::Snapshot || progress->snapshot->index != message.index)
        return;
    // Only the reply to the chunk in flight triggers the next chunk, so that duplicated replies do not multiply the
    // traffic.
    if (message.offset != progress->snapshotOffset || message.hint >= progress->snapshot->bytes.size())
        return;
    progress->snapshotOffset = message.hint;
    sendSnapshotChunk(from, *progress);
}

}
