#pragma once

#include "azurepaddle/consensus/raft_node.hpp"

#include <algorithm>

namespace azurepaddle::consensus {

/// Keeps exactly one Progress for each other participant of the newest membership.
template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::syncProgress()
{
    const Membership& membership = m_log.membership();
    std::erase_if(m_progress, [&membership](const auto& entry) { return !membership.contains(entry.first); });
    const auto add = [this](const InstanceId& id) {
        if (id == m_id || m_progress.contains(id))
            return;
        Progress progress;
        progress.next = m_log.lastIndex() + 1;
        progress.trackedSince = m_now;
        m_progress.emplace(id, std::move(progress));
    };
    std::for_each(membership.voters.begin(), membership.voters.end(), add);
    std::for_each(membership.learners.begin(), membership.learners.end(), add);
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::broadcastHeartbeat()
{
    m_heartbeatDue = m_now + m_settings.heartbeatInterval;
    for (auto& [id, progress] : m_progress)
        sendHeartbeat(id, progress);
}

/// Returns a message of kind Append with all fields that do not depend on its entries.
template <RaftStore Store, RandomSource RandomEngine>
RaftMessage RaftNode<Store, RandomEngine>::makeAppend(const InstanceId& to, const Progress& progress) const
{
    RaftMessage append = makeMessage(MessageKind::Append, to);
    append.commit = m_log.commitIndex();
    append.readRound = m_readRound;
    append.sentAt = m_now.time_since_epoch().count();
    append.receiverTime = progress.receiverTime;
    return append;
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::sendHeartbeat(const InstanceId& to, Progress& progress)
{
    // Index 0 matches every log, so that a participant without the entry before `next` still replies.
    const auto term = m_log.termAt(progress.next - 1);
    const bool hasPreviousEntry = progress.state != ProgressState::Snapshot && term.has_value();
    RaftMessage heartbeat = makeAppend(to, progress);
    heartbeat.index = hasPreviousEntry ? progress.next - 1 : 0;
    heartbeat.logTerm = hasPreviousEntry ? *term : 0;
    progress.isPaused = false;
    send(std::move(heartbeat));
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::broadcastEntries()
{
    for (auto& [id, progress] : m_progress)
        sendEntries(id, progress);
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::sendEntries(const InstanceId& to, Progress& progress)
{
    while (progress.state != ProgressState::Snapshot && !progress.isPaused && progress.next <= m_log.lastIndex()) {
        const auto term = m_log.termAt(progress.next - 1);
        if (!term)
            return startSnapshot(to, progress);
        const std::uint64_t last = progress.match + m_settings.maxInFlightEntries;
        if (progress.state == ProgressState::Replicate && progress.next > last)
            return;
        RaftMessage append = makeAppend(to, progress);
        append.index = progress.next - 1;
        append.logTerm = *term;
        append.entries = m_log.slice(progress.next, progress.next + m_settings.maxInFlightEntries, m_settings.maxAppendBytes);
        if (progress.state == ProgressState::Replicate)
            progress.next += append.entries.size();
        else
            progress.isPaused = true;
        send(std::move(append));
    }
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::followLeader(const InstanceId& from)
{
    AZUREPADDLE_INVARIANT(m_role != RaftRole::Leader && (m_leader.empty() || m_leader == from),
        fmt::format("{} and {} are both leader in term {}", m_leader, from, m_vote.term));
    becomeFollower(m_vote.term, from);
    m_lastLeaderContact = m_now;
    m_hasDeferredElection = false;
}

template <RaftStore Store, RandomSource RandomEngine>
bool RaftNode<Store, RandomEngine>::isWellFormed(const RaftMessage& message) const
{
    std::uint64_t index = message.index;
    std::uint64_t term = message.logTerm;
    for (const LogEntry& entry : message.entries) {
        if (entry.index != ++index || entry.term < term || entry.term > message.term || entry.data.size() > storage::maxRecordBytes)
            return false;
        if (entry.kind > static_cast<std::uint8_t>(EntryKind::Empty))
            return false;
        if (entry.kind == static_cast<std::uint8_t>(EntryKind::Membership) && !codec::decode<Membership>(entry.data))
            return false;
        term = entry.term;
    }
    return true;
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::handleAppend(const InstanceId& from, const RaftMessage& message)
{
    if (!isWellFormed(message))
        return;
    followLeader(from);
    const auto term = m_log.termAt(message.index);
    // Committed entries are the same on every instance and need no comparison of terms.
    if (message.index > m_log.commitIndex() && term != message.logTerm)
        return rejectAppend(from, message);
    mergeEntries(message);
    const std::uint64_t matched = message.index + message.entries.size();
    commitUpTo(std::min(message.commit, matched));
    recordCaughtUp(message);
    replyMatched(from, message, matched);
}

/// Records that this instance has reached the commit index of the leader, if the message proves that. Until a leader has
/// committed an entry of its own term, its commit index may be lower than that of earlier leaders.
template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::recordCaughtUp(const RaftMessage& message)
{
    const auto sentAfter = recordSendTime(message);
    const bool isCommitIndexProven = m_log.termAt(m_log.commitIndex()) == message.term;
    if (sentAfter && isCommitIndexProven && m_log.commitIndex() >= message.commit)
        m_caughtUpAt = std::max(m_caughtUpAt, *sentAfter);
}

/// Returns a time of this instance's clock after which the leader sent the message, if it is known. The message may have
/// waited for long, in the network or while this process was suspended. Leaders of earlier releases echo no time: of
/// them, the delay is estimated from other messages.
template <RaftStore Store, RandomSource RandomEngine>
std::optional<TimePoint> RaftNode<Store, RandomEngine>::recordSendTime(const RaftMessage& message)
{
    const Duration sentAt = std::chrono::nanoseconds(message.sentAt);
    if (message.receiverTime == 0)
        return m_now - m_leaderDelay.recordMessage(sentAt, m_now);
    const TimePoint echoed { std::chrono::nanoseconds(message.receiverTime) };
    // A time from before a restart may be of a clock that has been set back since.
    if (echoed < m_startedAt || echoed > m_now)
        return std::nullopt;
    return m_leaderSendTime.recordMessage(sentAt, echoed, m_now);
}

/// Returns a reply with the fields that echo a message of the leader.
template <RaftStore Store, RandomSource RandomEngine>
RaftMessage RaftNode<Store, RandomEngine>::makeReply(MessageKind kind, const InstanceId& to, const RaftMessage& message) const
{
    RaftMessage reply = makeMessage(kind, to);
    reply.readRound = message.readRound;
    reply.sentAt = message.sentAt;
    reply.receiverTime = m_now.time_since_epoch().count();
    return reply;
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::mergeEntries(const RaftMessage& message)
{
    auto next = message.entries.begin();
    while (next != message.entries.end() && (next->index <= m_log.baseIndex() || m_log.termAt(next->index) == next->term))
        ++next;
    if (next == message.entries.end())
        return;
    if (next->index <= m_log.lastIndex()) {
        m_log.truncateFrom(next->index);
        recordStorageFailure(m_store.truncateSuffix(next->index));
        m_durableIndex = std::min(m_durableIndex, next->index - 1);
    }
    if (!m_storageFailure)
        recordStorageFailure(m_store.append({ next, message.entries.end() }));
    for (; next != message.entries.end(); ++next)
        m_log.append(*next);
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::rejectAppend(const InstanceId& from, const RaftMessage& message)
{
    RaftMessage reply = makeReply(MessageKind::AppendReply, from, message);
    reply.index = message.index;
    reply.hint = m_log.highestWithTermAtMost(message.index, message.logTerm);
    reply.logTerm = *m_log.termAt(reply.hint);
    send(std::move(reply));
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::replyMatched(const InstanceId& from, const RaftMessage& message, std::uint64_t index)
{
    RaftMessage reply = makeReply(MessageKind::AppendReply, from, message);
    reply.index = index;
    reply.isGranted = true;
    send(std::move(reply));
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::commitUpTo(std::uint64_t index)
{
    if (index > m_log.commitIndex())
        m_log.commitTo(index);
}

/// Records the acknowledgement in a reply. Returns null if this instance is not the leader or does not track the
/// sender.
template <RaftStore Store, RandomSource RandomEngine>
Progress* RaftNode<Store, RandomEngine>::recordAck(const InstanceId& from, const RaftMessage& message)
{
    const auto found = m_progress.find(from);
    if (m_role != RaftRole::Leader || found == m_progress.end())
        return nullptr;
    Progress& progress = found->second;
    if (message.receiverTime != 0)
        progress.receiverTime = message.receiverTime;
    const TimePoint sentAt { Duration(message.sentAt) };
    if (message.readRound <= m_readRound && sentAt <= m_now) {
        progress.ackedReadRound = std::max(progress.ackedReadRound, message.readRound);
        progress.ackedSentAt = std::max(progress.ackedSentAt, sentAt);
    }
    return &progress;
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::handleAppendReply(const InstanceId& from, const RaftMessage& message)
{
    Progress* progress = recordAck(from, message);
    if (progress == nullptr)
        return;
    if (!message.isGranted)
        return handleRejection(from, *progress, message);
    AZUREPADDLE_INVARIANT(message.index <= m_log.lastIndex(), fmt::format("{} acknowledges entry {}, but the last index of this log is {}", from, message.index, m_log.lastIndex()));
    progress->match = std::max(progress->match, message.index);
    progress->next = std::max(progress->next, progress->match + 1);
    if (progress->state == ProgressState::Snapshot && progress->match >= progress->snapshot->index) {
        progress->state = ProgressState::Probe;
        progress->snapshot.reset();
        progress->next = progress->match + 1;
    }
    // A reply that matches up to the entry before `next` confirms that the participant holds the log up to there.
    if (progress->state == ProgressState::Probe && message.index + 1 >= progress->next) {
        progress->state = ProgressState::Replicate;
        progress->isPaused = false;
    }
    advanceCommit();
    continueTransfer();
}

template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::handleRejection(const InstanceId& from, Progress& progress, const RaftMessage& message)
{
    if (progress.state == ProgressState::Snapshot || message.index <= progress.match || message.index > m_log.lastIndex())
        return;
    if (progress.state == ProgressState::Probe && message.index != progress.next - 1)
        return;
    const std::uint64_t hint = std::min(message.hint, m_log.lastIndex());
    // The terms of compacted entries are unknown: the participant needs a snapshot unless its log matches at the hint.
    const std::uint64_t probeIndex = hint <= m_log.baseIndex() ? hint : m_log.highestWithTermAtMost(hint, message.logTerm);
    progress.next = std::clamp(probeIndex + 1, progress.match + 1, message.index);
    progress.state = ProgressState::Probe;
    progress.isPaused = false;
    sendEntries(from, progress);
}

/// Commits the entries that a quorum holds. Only entries of the leader's own term count, because an older entry that a
/// quorum holds can still be replaced by another leader.
template <RaftStore Store, RandomSource RandomEngine>
void RaftNode<Store, RandomEngine>::advanceCommit()
{
    const auto quorumMatch = quorumValue<std::uint64_t>(m_log.membership(), [this](const InstanceId& id) {
        const auto found = m_progress.find(id);
        return id == m_id ? m_durableIndex : found == m_progress.end() ? 0
                                                                       : found->second.match;
    });
    if (quorumMatch <= m_log.commitIndex() || m_log.termAt(quorumMatch) != m_vote.term)
        return;
    commitUpTo(quorumMatch);
    if (!m_log.hasPendingMembership() && !isVoter())
        becomeFollower(m_vote.term, {});
}

}
