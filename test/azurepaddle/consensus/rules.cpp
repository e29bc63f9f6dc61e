#include "azurepaddle/consensus/raft_node.hpp"
#include "azurepaddle/storage/log_store.hpp"
#include "azurepaddle/storage/memory_file_system.hpp"

#include <criterion/criterion.h>
#include <csignal>

using namespace azurepaddle;
using namespace azurepaddle::consensus;
using namespace std::chrono_literals;

namespace {

const InstanceId self("a");
const InstanceId second("b");
const InstanceId third("c");

/// One participant "a" of the voters a, b and c. The tests send messages on behalf of the other two.
struct Participant {
    using Store = storage::LogStore<storage::MemoryFileSystem>;
    using Node = RaftNode<Store, Random>;

    Participant()
    {
        start();
        cr_assert(node->bootstrap({ { self, second, third }, {} }).has_value());
    }

    /// Restarts the process, and first the machine if it crashed.
    void start()
    {
        node.reset();
        store.reset();
        files.restart();
        store = std::make_unique<Store>(files);
        node = std::make_unique<Node>(*store, random, RaftSettings {}, store->load("a").value(), now);
    }
    void advanceTime(Duration time)
    {
        now += time;
        node->tick(now);
    }
    /// Delivers a message with the given kind and term and returns the replies.
    std::vector<RaftMessage> deliver(const InstanceId& from, RaftMessage message, MessageKind kind, std::uint64_t term)
    {
        message.kind = static_cast<std::uint8_t>(kind);
        message.to = self;
        message.term = term;
        node->receive(from, message, now);
        return takeMessages();
    }
    std::vector<RaftMessage> takeMessages()
    {
        auto ready = node->takeReady();
        return ready ? ready->messages : std::vector<RaftMessage> {};
    }
    /// Makes the participant win an election with the vote of b and returns the new term.
    std::uint64_t becomeLeader()
    {
        advanceTime(1s);
        const std::uint64_t term = node->status().term + 1;
        takeMessages();
        RaftMessage granted;
        granted.isGranted = true;
        deliver(second, granted, MessageKind::PreVoteReply, term);
        deliver(second, granted, MessageKind::VoteReply, term);
        cr_assert(node->status().role == RaftRole::Leader);
        return term;
    }

    storage::MemoryFileSystem files { 3 };
    Random random { 5 };
    TimePoint now { 100s };
    std::unique_ptr<Store> store;
    std::unique_ptr<Node> node;
};

RaftMessage makeVoteRequest(std::uint64_t index, std::uint64_t logTerm)
{
    RaftMessage request;
    request.index = index;
    request.logTerm = logTerm;
    return request;
}

RaftMessage makeAppend(std::uint64_t index, std::uint64_t logTerm, std::uint64_t count, std::uint64_t term, std::uint64_t commit = 0)
{
    RaftMessage append = makeVoteRequest(index, logTerm);
    append.commit = commit;
    for (std::uint64_t i = 1; i <= count; ++i)
        append.entries.push_back({ index + i, term, 0, "entry" });
    return append;
}

RaftMessage makeAppendReply(std::uint64_t index)
{
    RaftMessage reply;
    reply.index = index;
    reply.isGranted = true;
    return reply;
}

}

// Detects a second vote in the same term after a crash, which would allow two leaders.
Test(Rules, voterCrashes_voteRequestedInSameTerm_rejectsOtherCandidate)
{
    Participant participant;
    participant.advanceTime(600ms);
    cr_assert(participant.deliver(second, makeVoteRequest(1, 1), MessageKind::Vote, 5).front().isGranted);
    participant.files.crash();
    participant.start();
    participant.advanceTime(600ms);
    cr_assert(!participant.deliver(third, makeVoteRequest(9, 1), MessageKind::Vote, 5).front().isGranted);
    cr_assert(participant.deliver(second, makeVoteRequest(1, 1), MessageKind::Vote, 5).front().isGranted);
}

// Detects an acknowledgement that is sent before the entries are durable: a crash would lose acknowledged entries.
Test(Rules, entryNotSynced_takeReady_releasesNoAcknowledgement)
{
    Participant participant;
    cr_assert(participant.deliver(second, makeAppend(1, 1, 1, 2), MessageKind::Append, 2).front().isGranted);
    participant.files.failNextSync();
    cr_assert(participant.deliver(second, makeAppend(2, 2, 1, 2), MessageKind::Append, 2).empty());
    cr_assert(participant.node->takeReady().error().code == RaftErrorCode::StorageFailed);
    participant.files.crash();
    participant.start();
    cr_assert(participant.node->status().lastIndex == 2);
}

// Detects a leader that commits an entry of an earlier term by counting replicas. Another leader may still replace such
// an entry.
Test(Rules, entryOfEarlierTerm_heldByQuorum_isNotCommitted)
{
    Participant participant;
    participant.deliver(second, makeAppend(1, 1, 2, 2), MessageKind::Append, 2);
    const std::uint64_t term = participant.becomeLeader();
    participant.deliver(second, makeAppendReply(3), MessageKind::AppendReply, term);
    cr_assert(participant.node->status().commitIndex == 0);
    participant.deliver(second, makeAppendReply(4), MessageKind::AppendReply, term);
    cr_assert(participant.node->status().commitIndex == 4);
}

// Detects a vote for another candidate while messages of the current leader still arrive, which would depose a working
// leader.
Test(Rules, recentLeaderContact_voteRequested_isIgnoredUnlessTransfer)
{
    Participant participant;
    participant.deliver(second, makeAppend(1, 1, 0, 2), MessageKind::Append, 2);
    cr_assert(participant.deliver(third, makeVoteRequest(9, 2), MessageKind::Vote, 3).empty());
    cr_assert(!participant.deliver(third, makeVoteRequest(9, 2), MessageKind::PreVote, 3).front().isGranted);
    cr_assert(participant.node->status().term == 2);
    RaftMessage transferVote = makeVoteRequest(9, 2);
    transferVote.isTransfer = true;
    cr_assert(participant.deliver(third, transferVote, MessageKind::Vote, 3).front().isGranted);
}

// Detects a follower that grants a vote right after a restart: the contact with the leader is not stored, and the vote
// would violate a lease that is still valid.
Test(Rules, followerRestarts_voteRequestedAtOnce_isIgnored)
{
    Participant participant;
    participant.deliver(second, makeAppend(1, 1, 0, 2), MessageKind::Append, 2);
    participant.files.crash();
    participant.start();
    cr_assert(participant.deliver(third, makeVoteRequest(9, 2), MessageKind::Vote, 3).empty());
    cr_assert(participant.node->status().term == 2);
}

// Detects a vote for a candidate that lacks committed entries.
Test(Rules, candidateWithShorterLog_voteRequested_isRejected)
{
    Participant participant;
    participant.deliver(second, makeAppend(1, 1, 3, 2), MessageKind::Append, 2);
    participant.advanceTime(600ms);
    cr_assert(!participant.deliver(third, makeVoteRequest(3, 2), MessageKind::Vote, 3).front().isGranted);
    cr_assert(!participant.deliver(third, makeVoteRequest(9, 1), MessageKind::Vote, 4).front().isGranted);
    cr_assert(participant.deliver(third, makeVoteRequest(4, 2), MessageKind::Vote, 5).front().isGranted);
}

// Detects acknowledged entries that are removed by a snapshot of an earlier index.
Test(Rules, snapshotWithinLog_received_keepsEntriesAfterIt)
{
    Participant participant;
    participant.deliver(second, makeAppend(1, 1, 5, 2), MessageKind::Append, 2);
    RaftMessage chunk = makeVoteRequest(4, 2);
    chunk.totalBytes = 10;
    chunk.data = "0123456789";
    const auto replies = participant.deliver(third, chunk, MessageKind::Snapshot, 3);
    cr_assert(replies.front().isGranted && replies.front().index == 4);
    cr_assert(participant.node->status().lastIndex == 6 && participant.node->status().commitIndex == 4);
}

// Detects the replacement of an entry that this instance has recorded as committed.
Test(Rules, committedEntry_replaced_stopsProcess, .signal = SIGABRT)
{
    Participant participant;
    participant.deliver(second, makeAppend(1, 1, 2, 2, 3), MessageKind::Append, 2);
    participant.deliver(third, makeAppend(1, 1, 2, 3), MessageKind::Append, 3);
}

// Detects messages of two leaders in the same term that are accepted as if they came from one.
Test(Rules, secondLeaderInTerm_appends_stopsProcess, .signal = SIGABRT)
{
    Participant participant;
    participant.deliver(second, makeAppend(1, 1, 0, 2), MessageKind::Append, 2);
    participant.deliver(third, makeAppend(1, 1, 0, 2), MessageKind::Append, 2);
}

// Detects replies to messages that are addressed to the identity of a lost disk, and the acceptance of malformed
// messages: an unknown kind, entries out of order, an undecodable membership.
Test(Rules, messageForOtherIdentityOrMalformed_received_isIgnored)
{
    Participant participant;
    RaftMessage misaddressed = makeAppend(1, 1, 1, 2);
    misaddressed.kind = static_cast<std::uint8_t>(MessageKind::Append);
    misaddressed.to = InstanceId("a-old");
    misaddressed.term = 2;
    participant.node->receive(second, misaddressed, participant.now);
    cr_assert(participant.takeMessages().empty());
    cr_assert(participant.deliver(second, {}, static_cast<MessageKind>(99), 9).empty());
    cr_assert(participant.node->status().term == 1);
    RaftMessage gap = makeAppend(1, 1, 2, 2);
    gap.entries[1].index = 9;
    cr_assert(participant.deliver(second, gap, MessageKind::Append, 2).empty());
    RaftMessage noMembership = makeAppend(1, 1, 1, 2);
    noMembership.entries[0].kind = static_cast<std::uint8_t>(EntryKind::Membership);
    cr_assert(participant.deliver(second, noMembership, MessageKind::Append, 2).empty());
    cr_assert(participant.node->status().lastIndex == 1);
}

// Detects a rejection that makes the leader step back by only one entry, which costs one round trip per entry when a
// long suffix of earlier terms must be replaced.
Test(Rules, longConflictingSuffix_rejected_isSkippedByTerm)
{
    Participant participant;
    participant.deliver(second, makeAppend(1, 1, 500, 2), MessageKind::Append, 2);
    const auto replies = participant.deliver(third, makeAppend(400, 3, 1, 4), MessageKind::Append, 4);
    cr_assert(!replies.front().isGranted && replies.front().hint == 400 && replies.front().logTerm == 2);
    const auto older = participant.deliver(third, makeAppend(400, 1, 1, 4), MessageKind::Append, 4);
    cr_assert(!older.front().isGranted && older.front().hint == 1 && older.front().logTerm == 1);
}

// Detects a leader that confirms reads before an entry of its own term is committed, or without a new confirmation by a
// quorum.
Test(Rules, newLeader_readRequested_waitsForOwnEntryAndQuorum)
{
    Participant participant;
    const std::uint64_t term = participant.becomeLeader();
    participant.node->requestRead(7, participant.now);
    cr_assert(participant.node->takeReady()->reads.empty());
    RaftMessage reply = makeAppendReply(2);
    reply.kind = static_cast<std::uint8_t>(MessageKind::AppendReply);
    reply.to = self;
    reply.term = term;
    participant.node->receive(second, reply, participant.now);
    const auto ready = participant.node->takeReady();
    cr_assert(participant.node->status().commitIndex == 2);
    cr_assert(ready->reads.empty());
    participant.takeMessages();
    reply.readRound = 1;
    participant.node->receive(second, reply, participant.now);
    const auto confirmed = participant.node->takeReady()->reads;
    cr_assert(confirmed.size() == 1 && confirmed[0].id == 7 && confirmed[0].isConfirmed && confirmed[0].index == 2);
}

// Detects a membership change that is accepted before the leader has committed an entry of its own term, or while
// another change is pending.
Test(Rules, newLeader_changeProposed_waitsForOwnEntry)
{
    Participant participant;
    participant.deliver(second, makeAppend(1, 1, 0, 2, 1), MessageKind::Append, 2);
    cr_assert(participant.node->status().commitIndex == 1);
    const std::uint64_t term = participant.becomeLeader();
    const MembershipChange first { ChangeKind::AddLearner, InstanceId("d") };
    const MembershipChange next { ChangeKind::AddLearner, InstanceId("e") };
    cr_assert(participant.node->proposeChange(first, participant.now).error().code == RaftErrorCode::ChangePending);
    participant.deliver(second, makeAppendReply(2), MessageKind::AppendReply, term);
    cr_assert(participant.node->proposeChange(first, participant.now).has_value());
    cr_assert(participant.node->proposeChange(next, participant.now).error().code == RaftErrorCode::ChangePending);
    participant.deliver(second, makeAppendReply(3), MessageKind::AppendReply, term);
    cr_assert(participant.node->proposeChange(next, participant.now).has_value());
}

// Detects a restarted follower that counts as caught up by the commit index of a new leader, which is as low as its own
// until the leader has committed an entry of its term.
Test(Rules, followerRestarted_leaderHasCommittedNothingInItsTerm_isNotCaughtUp)
{
    Participant participant;
    participant.deliver(second, makeAppend(1, 1, 3, 2, 4), MessageKind::Append, 2);
    cr_assert(participant.node->commitIndex() == 4);
    participant.start();
    participant.advanceTime(600ms);
    participant.deliver(third, makeAppend(4, 2, 1, 3, 0), MessageKind::Append, 3);
    cr_assert(participant.node->commitIndex() == 0);
    cr_assert(participant.node->caughtUpAt() == TimePoint {});
    participant.deliver(third, makeAppend(5, 3, 0, 3, 5), MessageKind::Append, 3);
    cr_assert(participant.node->commitIndex() == 5);
    cr_assert(participant.node->caughtUpAt() == participant.now);
}

// Detects a follower that counts as caught up although it lacks committed entries, or although the message with the
// commit index was delayed for long.
Test(Rules, followerLacksCommittedEntries_isNotCaughtUp)
{
    Participant participant;
    const auto deliverHeartbeat = [&](std::uint64_t commit, Duration transitTime) {
        RaftMessage message;
        message.commit = commit;
        message.sentAt = std::chrono::duration_cast<std::chrono::nanoseconds>((participant.now - transitTime).time_since_epoch()).count();
        participant.deliver(second, message, MessageKind::Append, 5);
    };
    participant.deliver(second, makeAppend(1, 1, 1, 5, 2), MessageKind::Append, 5);
    participant.advanceTime(100ms);
    deliverHeartbeat(0, 1ms);
    const TimePoint caughtUp = participant.node->caughtUpAt();
    cr_assert(caughtUp == participant.now);
    participant.advanceTime(100ms);
    deliverHeartbeat(99, 1ms);
    cr_assert(participant.node->caughtUpAt() == caughtUp);
    deliverHeartbeat(0, 91ms);
    cr_assert(participant.node->caughtUpAt() == participant.now - 90ms);
}
