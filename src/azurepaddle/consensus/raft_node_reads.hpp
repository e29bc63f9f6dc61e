#pragma once

#include "azurepaddle/consensus/raft_node.hpp"

#include <algorithm>

namespace azurepaddle::consensus {

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::requestRead(std::uint64_t id, TimePoint now)
{
    advanceTime(now);
    if (m_role == RaftRole::Leader && m_reads.size() < m_settings.pendingReads)
        m_reads.push_back({ id, 0, 0 });
    else
        m_readyReads.push_back({ id, false, 0, m_leader });
}

/// Fixes the read index of the waiting reads and asks a quorum whether this instance still leads. A leader knows the
/// commit index only once an entry of its own term is committed.
template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::startReads()
{
    if (m_reads.empty() || m_reads.back().round != 0 || m_log.commitIndex() < m_firstIndexOfTerm)
        return;
    ++m_round;
    for (auto read = m_reads.rbegin(); read != m_reads.rend() && read->round == 0; ++read) {
        read->round = m_round;
        read->index = m_log.commitIndex();
    }
    broadcastHeartbeat();
}

/// Confirms the reads whose round a quorum has answered: no later leader had committed anything when they were asked.
template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::finishReads()
{
    const auto round = quorumValue<std::uint64_t>(m_log.membership(), [this](const InstanceId& id) {
        const auto found = m_progress.find(id);
        return id == m_id ? m_round : found == m_progress.end() ? 0
                                                                : found->second.ackedRound;
    });
    const auto waiting = std::find_if(m_reads.begin(), m_reads.end(),
        [round](const PendingRead& read) { return read.round == 0 || read.round > round; });
    for (auto read = m_reads.begin(); read != waiting; ++read)
        m_readyReads.push_back({ read->id, true, read->index, m_id });
    m_reads.erase(m_reads.begin(), waiting);
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::refuseReads()
{
    for (const PendingRead& read : m_reads)
        m_readyReads.push_back({ read.id, false, 0, m_leader });
    m_reads.clear();
}

template <RaftStore Store, RandomSource RandomEngine>
RaftResult<void> RaftNode<Store, RandomEngine>::transferLeadership(const InstanceId& target, TimePoint now)
{
    advanceTime(now);
    if (auto leads = checkLeader(); !leads)
        return leads;
    if (target == m_id || !m_log.membership().voters.contains(target))
        return tl::unexpected(refusal(RaftErrorCode::InvalidChange, fmt::format("{} is not another voter", target)));
    m_transfer = Transfer { target, m_now + m_settings.electionTimeout };
    continueTransfer();
    return {};
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::continueTransfer()
{
    if (!m_transfer || m_transfer->isSent)
        return;
    const auto found = m_progress.find(m_transfer->target);
    if (found == m_progress.end() || found->second.match < m_log.lastIndex())
        return;
    m_transfer->isSent = true;
    m_hasGivenUpLease = true;
    send(makeMessage(MessageKind::TimeoutNow, m_transfer->target));
}

}
