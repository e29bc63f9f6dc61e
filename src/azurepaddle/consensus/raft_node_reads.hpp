#pragma once

#include "azurepaddle/consensus/raft_node.hpp"

#include <algorithm>

namespace azurepaddle::consensus {

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::requestRead(std::uint64_t id, TimePoint now)
{
    advanceTime(now);
    if (m_role == RaftRole::Leader && m_pendingReads.size() < m_settings.maxPendingReads)
        m_pendingReads.push_back({ id, 0, 0 });
    else
        m_readyReads.push_back({ id, false, 0, m_leader });
}

/// Sets the read index of the pending reads and starts a round in which a quorum confirms that this instance is still
/// the leader. The commit index of a new leader may be out of date until an entry of its own term is committed.
template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::startReads()
{
    if (m_pendingReads.empty() || m_pendingReads.back().readRound != 0 || m_log.commitIndex() < m_firstIndexOfTerm)
        return;
    ++m_readRound;
    for (auto read = m_pendingReads.rbegin(); read != m_pendingReads.rend() && read->readRound == 0; ++read) {
        read->readRound = m_readRound;
        read->index = m_log.commitIndex();
    }
    broadcastHeartbeat();
}

/// Confirms the reads whose round a quorum has acknowledged: no later leader had committed an entry when these reads
/// were requested.
template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::finishReads()
{
    const auto readRound = quorumValue<std::uint64_t>(m_log.membership(), [this](const InstanceId& id) {
        const auto found = m_progress.find(id);
        return id == m_id ? m_readRound : found == m_progress.end() ? 0
                                                                    : found->second.ackedReadRound;
    });
    const auto firstWaiting = std::find_if(m_pendingReads.begin(), m_pendingReads.end(),
        [readRound](const PendingRead& read) { return read.readRound == 0 || read.readRound > readRound; });
    for (auto read = m_pendingReads.begin(); read != firstWaiting; ++read)
        m_readyReads.push_back({ read->id, true, read->index, m_id });
    m_pendingReads.erase(m_pendingReads.begin(), firstWaiting);
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::rejectReads()
{
    for (const PendingRead& read : m_pendingReads)
        m_readyReads.push_back({ read.id, false, 0, m_leader });
    m_pendingReads.clear();
}

template <RaftStore Store, RandomSource RandomEngine>
RaftResult<void> RaftNode<Store, RandomEngine>::transferLeadership(const InstanceId& target, TimePoint now)
{
    advanceTime(now);
    if (auto leaderCheck = checkLeader(); !leaderCheck)
        return leaderCheck;
    if (target == m_id || !m_log.membership().voters.contains(target))
        return tl::unexpected(makeError(RaftErrorCode::InvalidChange, fmt::format("target {} is not a voter other than this instance", target)));
    m_pendingTransfer = Transfer { target, m_now + m_settings.electionTimeout };
    continueTransfer();
    return {};
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::continueTransfer()
{
    if (!m_pendingTransfer || m_pendingTransfer->isSent)
        return;
    const auto found = m_progress.find(m_pendingTransfer->target);
    if (found == m_progress.end() || found->second.match < m_log.lastIndex())
        return;
    m_pendingTransfer->isSent = true;
    m_isLeaseRelinquished = true;
    send(makeMessage(MessageKind::TimeoutNow, m_pendingTransfer->target));
}

}
