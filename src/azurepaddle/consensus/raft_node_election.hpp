#pragma once

#include "azurepaddle/consensus/raft_node.hpp"

#include <algorithm>

namespace azurepaddle::consensus {

namespace internal {

    /// Returns a random duration between `minimum` and twice that.
    template <RandomSource RandomEngine>
    [[nodiscard]] Duration randomTimeout(Duration minimum, RandomEngine& random)
    {
        return minimum + Duration(static_cast<Duration::rep>(random.uniform() * static_cast<double>(minimum.count())));
    }

}

template <RaftStore Store, RandomSource RandomEngine>
RaftMessage RaftNode<Store, RandomEngine>::makeMessage(MessageKind kind, const InstanceId& to) const
{
    RaftMessage message;
    message.kind = static_cast<std::uint8_t>(kind);
    message.to = to;
    message.term = m_vote.term;
    return message;
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::resetElectionDeadline()
{
    m_electionDeadline = m_now + internal::randomTimeout(m_settings.electionTimeout, m_random);
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::setTerm(std::uint64_t term)
{
    AZUREPADDLE_INVARIANT(term >= m_vote.term, fmt::format("the term decreases from {} to {}", m_vote.term, term));
    if (term == m_vote.term)
        return;
    m_vote = { term, {} };
    m_isVoteDirty = true;
    m_leader = InstanceId {};
    m_hasDeferredElection = false;
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::voteFor(const InstanceId& candidate)
{
    AZUREPADDLE_INVARIANT(m_vote.candidate.empty() || m_vote.candidate == candidate.value(),
        fmt::format("second vote in term {}", m_vote.term));
    if (m_vote.candidate == candidate.value())
        return;
    m_vote.candidate = candidate.value();
    m_isVoteDirty = true;
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::becomeFollower(std::uint64_t term, const InstanceId& leader)
{
    setTerm(term);
    m_role = RaftRole::Follower;
    if (m_leader != leader) {
        m_leaderSendTime.reset();
        m_leaderDelay.reset();
    }
    m_leader = leader;
    m_progress.clear();
    m_votesGranted.clear();
    m_pendingTransfer.reset();
    rejectReads();
    resetElectionDeadline();
}

/// Starts a pre-vote, which determines whether an election would succeed before the term is raised. An instance that
/// cannot win an election therefore never makes a working leader step down.
template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::becomePreCandidate()
{
    m_role = RaftRole::PreCandidate;
    m_leader = InstanceId {};
    m_votesGranted = { m_id };
    m_electionDeadline = m_now + internal::randomTimeout(m_settings.preVoteRetryInterval, m_random);
    if (hasQuorum(m_log.membership(), [this](const InstanceId& id) { return m_votesGranted.contains(id); }))
        return becomeCandidate(false);
    requestVotes(MessageKind::PreVote, m_vote.term + 1, false);
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::becomeCandidate(bool isTransfer)
{
    setTerm(m_vote.term + 1);
    voteFor(m_id);
    m_role = RaftRole::Candidate;
    m_votesGranted = { m_id };
    resetElectionDeadline();
    if (hasQuorum(m_log.membership(), [this](const InstanceId& id) { return m_votesGranted.contains(id); }))
        return becomeLeader();
    requestVotes(MessageKind::Vote, m_vote.term, isTransfer);
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::becomeLeader()
{
    AZUREPADDLE_INVARIANT(m_leader.empty(), fmt::format("second leader in term {}", m_vote.term));
    m_role = RaftRole::Leader;
    m_leader = m_id;
    m_votesGranted.clear();
    m_progress.clear();
    m_readRound = 0;
    m_isLeaseRelinquished = false;
    syncProgress();
    m_firstIndexOfTerm = appendLocally(EntryKind::Empty, {}).index;
    broadcastHeartbeat();
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::requestVotes(MessageKind kind, std::uint64_t term, bool isTransfer)
{
    for (const InstanceId& voter : m_log.membership().voters) {
        if (voter == m_id)
            continue;
        RaftMessage request = makeMessage(kind, voter);
        request.term = term;
        request.index = m_log.lastIndex();
        request.logTerm = m_log.lastTerm();
        request.isTransfer = isTransfer;
        send(std::move(request));
    }
}

template <RaftStore Store, RandomSource RandomEngine>
bool RaftNode<Store, RandomEngine>::hasLeaderContact() const
{
    return m_role == RaftRole::Leader || m_now < m_lastLeaderContact + m_settings.electionTimeout;
}

template <RaftStore Store, RandomSource RandomEngine>
bool RaftNode<Store, RandomEngine>::isUpToDate(const RaftMessage& request) const
{
    if (request.logTerm != m_log.lastTerm())
        return request.logTerm > m_log.lastTerm();
    return request.index >= m_log.lastIndex();
}

/// Returns the latest time such that a quorum has acknowledged messages of this leader sent at or after it. The lease
/// starts here.
template <RaftStore Store, RandomSource RandomEngine>
TimePoint RaftNode<Store, RandomEngine>::quorumAckTime() const
{
    return quorumValue<TimePoint>(m_log.membership(), [this](const InstanceId& id) {
        const auto found = m_progress.find(id);
        return id == m_id ? m_now : found == m_progress.end() ? TimePoint {}
                                                              : found->second.ackedSentAt;
    });
}

/// Returns the same time as quorumAckTime, except that a participant without newer acknowledgement counts as if it had
/// acknowledged a message when the leader started to send to it. A new leader thus has one election timeout to reach a
/// quorum.
template <RaftStore Store, RandomSource RandomEngine>
TimePoint RaftNode<Store, RandomEngine>::quorumAckTimeWithGrace() const
{
    return quorumValue<TimePoint>(m_log.membership(), [this](const InstanceId& id) {
        const auto found = m_progress.find(id);
        return id == m_id ? m_now : found == m_progress.end() ? TimePoint {}
                                                              : std::max(found->second.trackedSince, found->second.ackedSentAt);
    });
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::checkQuorum()
{
    if (m_now >= quorumAckTimeWithGrace() + m_settings.electionTimeout)
        becomeFollower(m_vote.term, {});
}

/// Compares the term of a message with the current term and adopts a higher one. Returns false if the message needs no
/// further handling.
template <RaftStore Store, RandomSource RandomEngine>
bool RaftNode<Store, RandomEngine>::acceptTerm(const InstanceId& from, const RaftMessage& message)
{
    const MessageKind kind = message.messageKind();
    if (message.term < m_vote.term) {
        replyToStaleTerm(from, message);
        return false;
    }
    if (message.term == m_vote.term || kind == MessageKind::PreVote)
        return true;
    if (kind == MessageKind::PreVoteReply && message.isGranted)
        return true;
    // While a leader is in contact, an election is ignored unless the leader itself started it.
    if (kind == MessageKind::Vote && !message.isTransfer && hasLeaderContact())
        return false;
    becomeFollower(message.term, {});
    return true;
}

/// Replies with the current term to a sender with a lower one, so that it stops leading or requesting votes.
template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::replyToStaleTerm(const InstanceId& from, const RaftMessage& message)
{
    switch (message.messageKind()) {
    case MessageKind::PreVote:
        return send(makeMessage(MessageKind::PreVoteReply, from));
    case MessageKind::Vote:
        return send(makeMessage(MessageKind::VoteReply, from));
    case MessageKind::Append:
    case MessageKind::Snapshot:
        return send(makeMessage(MessageKind::AppendReply, from));
    default:
        return;
    }
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::handlePreVote(const InstanceId& from, const RaftMessage& message)
{
    RaftMessage reply = makeMessage(MessageKind::PreVoteReply, from);
    reply.isGranted = message.term > m_vote.term && isUpToDate(message) && !hasLeaderContact();
    if (reply.isGranted) {
        reply.term = message.term;
        deferElection(from);
    }
    send(std::move(reply));
}

/// Postpones this instance's election in favour of another candidate, so that concurrent elections are rare even with
/// long message delays. Does so only once per term, because the other candidate may be unable to receive the votes.
template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::deferElection(const InstanceId& candidate)
{
    const bool isCampaigning = m_role != RaftRole::Follower;
    if (m_hasDeferredElection || m_role == RaftRole::Candidate || (isCampaigning && m_id < candidate))
        return;
    m_hasDeferredElection = true;
    m_role = RaftRole::Follower;
    m_votesGranted.clear();
    resetElectionDeadline();
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::handleVote(const InstanceId& from, const RaftMessage& message)
{
    const bool canGrantVote = m_vote.candidate.empty() || m_vote.candidate == from.value();
    RaftMessage reply = makeMessage(MessageKind::VoteReply, from);
    reply.isGranted = canGrantVote && m_leader.empty() && isUpToDate(message);
    if (reply.isGranted) {
        voteFor(from);
        resetElectionDeadline();
    }
    send(std::move(reply));
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::handleVoteReply(const InstanceId& from, const RaftMessage& message)
{
    const bool isPreVote = message.messageKind() == MessageKind::PreVoteReply;
    const RaftRole expectedRole = isPreVote ? RaftRole::PreCandidate : RaftRole::Candidate;
    const std::uint64_t term = isPreVote ? m_vote.term + 1 : m_vote.term;
    if (m_role != expectedRole || !message.isGranted || message.term != term)
        return;
    m_votesGranted.insert(from);
    if (!hasQuorum(m_log.membership(), [this](const InstanceId& id) { return m_votesGranted.contains(id); }))
        return;
    if (isPreVote)
        becomeCandidate(false);
    else
        becomeLeader();
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::handleTimeoutNow(const InstanceId& from)
{
    if (m_role == RaftRole::Follower && m_leader == from && isVoter())
        becomeCandidate(true);
}

}
