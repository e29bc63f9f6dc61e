#pragma once

#include "azurepaddle/consensus/raft_node.hpp"

#include <algorithm>

namespace azurepaddle::consensus {

namespace internal {

    /// A random time between a bound and twice that.
    template <RandomSource RandomEngine>
    [[nodiscard]] Duration randomised(Duration shortest, RandomEngine& random)
    {
        return shortest + Duration(static_cast<Duration::rep>(random.uniform() * static_cast<double>(shortest.count())));
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
    m_electionDeadline = m_now + internal::randomised(m_settings.electionTimeout, m_random);
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::setTerm(std::uint64_t term)
{
    AZUREPADDLE_INVARIANT(term >= m_vote.term, fmt::format("the term falls from {} to {}", m_vote.term, term));
    if (term == m_vote.term)
        return;
    m_vote = { term, {} };
    m_isVoteDirty = true;
    m_leader = InstanceId {};
    m_hasGivenWay = false;
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
    if (m_leader != leader)
        m_leaderDelay.reset();
    m_leader = leader;
    m_progress.clear();
    m_votesGranted.clear();
    m_transfer.reset();
    refuseReads();
    resetElectionDeadline();
}

/// Asks whether an election would succeed before the term is raised, so that an instance that cannot win never makes
/// a working leader step down.
template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::becomePreCandidate()
{
    m_role = RaftRole::PreCandidate;
    m_leader = InstanceId {};
    m_votesGranted = { m_id };
    m_electionDeadline = m_now + internal::randomised(m_settings.preVoteRetry, m_random);
    if (hasQuorum(m_log.membership(), [this](const InstanceId& id) { return m_votesGranted.contains(id); }))
        return becomeCandidate(false);
    askForVotes(MessageKind::PreVote, m_vote.term + 1, false);
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::becomeCandidate(bool isForced)
{
    setTerm(m_vote.term + 1);
    voteFor(m_id);
    m_role = RaftRole::Candidate;
    m_votesGranted = { m_id };
    resetElectionDeadline();
    if (hasQuorum(m_log.membership(), [this](const InstanceId& id) { return m_votesGranted.contains(id); }))
        return becomeLeader();
    askForVotes(MessageKind::Vote, m_vote.term, isForced);
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::becomeLeader()
{
    AZUREPADDLE_INVARIANT(m_leader.empty(), fmt::format("second leader in term {}", m_vote.term));
    m_role = RaftRole::Leader;
    m_leader = m_id;
    m_votesGranted.clear();
    m_progress.clear();
    m_round = 0;
    m_hasGivenUpLease = false;
    syncProgress();
    m_firstIndexOfTerm = appendOwn(EntryKind::Empty, {}).index;
    broadcastHeartbeat();
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::askForVotes(MessageKind kind, std::uint64_t term, bool isForced)
{
    for (const InstanceId& voter : m_log.membership().voters) {
        if (voter == m_id)
            continue;
        RaftMessage request = makeMessage(kind, voter);
        request.term = term;
        request.index = m_log.lastIndex();
        request.logTerm = m_log.lastTerm();
        request.isForced = isForced;
        send(std::move(request));
    }
}

template <RaftStore Store, RandomSource RandomEngine>
bool RaftNode<Store, RandomEngine>::hearsLeader() const
{
    return m_role == RaftRole::Leader || m_now < m_lastHeard + m_settings.electionTimeout;
}

template <RaftStore Store, RandomSource RandomEngine>
bool RaftNode<Store, RandomEngine>::isUpToDate(const RaftMessage& request) const
{
    if (request.logTerm != m_log.lastTerm())
        return request.logTerm > m_log.lastTerm();
    return request.index >= m_log.lastIndex();
}

/// The time of the newest message of this leader that a quorum has answered.
template <RaftStore Store, RandomSource RandomEngine>
TimePoint RaftNode<Store, RandomEngine>::provenContact() const
{
    return quorumValue<TimePoint>(m_log.membership(), [this](const InstanceId& id) {
        const auto found = m_progress.find(id);
        return id == m_id ? m_now : found == m_progress.end() ? TimePoint {}
                                                              : found->second.ackedSentAt;
    });
}

/// The same, but a participant counts as heard at the time it was first sent to.
template <RaftStore Store, RandomSource RandomEngine>
TimePoint RaftNode<Store, RandomEngine>::assumedContact() const
{
    return quorumValue<TimePoint>(m_log.membership(), [this](const InstanceId& id) {
        const auto found = m_progress.find(id);
        return id == m_id ? m_now : found == m_progress.end() ? TimePoint {}
                                                              : std::max(found->second.since, found->second.ackedSentAt);
    });
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::checkQuorum()
{
    if (m_now >= assumedContact() + m_settings.electionTimeout)
        becomeFollower(m_vote.term, {});
}

/// Compares the term of a message with ours. False if the message is dealt with.
template <RaftStore Store, RandomSource RandomEngine>
bool RaftNode<Store, RandomEngine>::acceptTerm(const InstanceId& from, const RaftMessage& message)
{
    const MessageKind kind = message.messageKind();
    if (message.term < m_vote.term) {
        answerOldTerm(from, message);
        return false;
    }
    if (message.term == m_vote.term || kind == MessageKind::PreVote)
        return true;
    if (kind == MessageKind::PreVoteReply && message.isGranted)
        return true;
    // A leader in contact with us stays leader, unless it asked for the election itself.
    if (kind == MessageKind::Vote && !message.isForced && hearsLeader())
        return false;
    becomeFollower(message.term, {});
    return true;
}

/// Tells a sender with a lower term the current one, so that it stops leading or asking for votes.
template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::answerOldTerm(const InstanceId& from, const RaftMessage& message)
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
    reply.isGranted = message.term > m_vote.term && isUpToDate(message) && !hearsLeader();
    if (reply.isGranted) {
        reply.term = message.term;
        giveWay(from);
    }
    send(std::move(reply));
}

/// Waits for the election of another instance, so that two elections at a time are rare even when messages take long.
/// Once in a term only, because the other may be unable to hear the votes.
template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::giveWay(const InstanceId& candidate)
{
    const bool isRival = m_role != RaftRole::Follower;
    if (m_hasGivenWay || m_role == RaftRole::Candidate || (isRival && m_id < candidate))
        return;
    m_hasGivenWay = true;
    m_role = RaftRole::Follower;
    m_votesGranted.clear();
    resetElectionDeadline();
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::handleVote(const InstanceId& from, const RaftMessage& message)
{
    const bool isFree = m_vote.candidate.empty() || m_vote.candidate == from.value();
    RaftMessage reply = makeMessage(MessageKind::VoteReply, from);
    reply.isGranted = isFree && m_leader.empty() && isUpToDate(message);
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
    const RaftRole asking = isPreVote ? RaftRole::PreCandidate : RaftRole::Candidate;
    const std::uint64_t term = isPreVote ? m_vote.term + 1 : m_vote.term;
    if (m_role != asking || !message.isGranted || message.term != term)
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
