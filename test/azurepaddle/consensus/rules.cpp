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

/// One participant "a" of the voters a, b and c. The test plays the other two.
struct Participant {
    using Store = storage::LogStore<storage::MemoryFileSystem>;
    using Node = RaftNode<Store, Random>;

    Participant()
    {
        start();
        cr_assert(node->bootstrap({ { self, second, third }, {} }).has_value());
    }

    /// Starts the process again, after a crash of the machine if it is down.
    void start()
    {
        node.reset();
        store.reset();
        files.restart();
        store = std::make_unique<Store>(files);
        node = std::make_unique<Node>(*store, random, RaftSettings {}, store->load("a").value(), now);
    }
    void pass(Duration time)
    {
        now += time;
        node->tick(now);
    }
    /// Hands over a message of the given kind and term and returns the replies.
    std::vector<RaftMessage> give(const InstanceId& from, RaftMessage message, MessageKind kind, std::uint64_t term)
    {
        message.kind = static_cast<std::uint8_t>(kind);
        message.to = self;
        message.term = term;
        node->receive(from, message, now);
        return take();
    }
    std::vector<RaftMessage> take()
    {
        auto ready = node->takeReady();
        return ready ? ready->messages : std::vector<RaftMessage> {};
    }
    /// Wins an election with the vote of b and returns the term.
    std::uint64_t lead()
    {
        pass(1s);
        const std::uint64_t term = node->status().term + 1;
        take();
        RaftMessage granted;
        granted.isGranted = true;
        give(second, granted, MessageKind::PreVoteReply, term);
        give(second, granted, MessageKind::VoteReply, term);
        cr_assert(node->status().role == RaftRole::Leader);
        return term;
    }

    storage::MemoryFileSystem files { 3 };
    Random random { 5 };
    TimePoint now { 100s };
    std::unique_ptr<Store> store;
    std::unique_ptr<Node> node;
};

RaftMessage voteRequest(std::uint64_t index, std::uint64_t logTerm)
{
    RaftMessage request;
    request.index = index;
    request.logTerm = logTerm;
    return request;
}

RaftMessage entriesAfter(std::uint64_t index, std::uint64_t logTerm, std::uint64_t count, std::uint64_t term, std::uint64_t commit = 0)
{
    RaftMessage append = voteRequest(index, logTerm);
    append.commit = commit;
    for (std::uint64_t i = 1; i <= count; ++i)
        append.entries.push_back({ index + i, term, 0, "entry" });
    return append;
}

RaftMessage matched(std::uint64_t index)
{
    RaftMessage reply;
    reply.index = index;
    reply.isGranted = true;
    return reply;
}

}

// Guards against a second vote in one term after a crash, which would allow two leaders.
Test(Rules, voterCrashes_askedAgainInSameTerm_refusesOtherCandidate)
{
    Participant participant;
    participant.pass(600ms);
    cr_assert(participant.give(second, voteRequest(1, 1), MessageKind::Vote, 5).front().isGranted);
    participant.files.crash();
    participant.start();
    participant.pass(600ms);
    cr_assert(!participant.give(third, voteRequest(9, 1), MessageKind::Vote, 5).front().isGranted);
    cr_assert(participant.give(second, voteRequest(1, 1), MessageKind::Vote, 5).front().isGranted);
}

// Guards against an acknowledgement of entries that a crash then loses.
Test(Rules, entryNotSynced_takeReady_releasesNoAcknowledgement)
{
    Participant participant;
    cr_assert(participant.give(second, entriesAfter(1, 1, 1, 2), MessageKind::Append, 2).front().isGranted);
    participant.files.failNextSync();
    cr_assert(participant.give(second, entriesAfter(2, 2, 1, 2), MessageKind::Append, 2).empty());
    cr_assert(participant.node->takeReady().error().code == RaftErrorCode::StorageFailed);
    participant.files.crash();
    participant.start();
    cr_assert(participant.node->status().lastIndex == 2);
}

// Guards against committing an entry of an earlier term by counting replicas; another leader may still replace it.
Test(Rules, entryOfEarlierTerm_heldByQuorum_isNotCommitted)
{
    Participant participant;
    participant.give(second, entriesAfter(1, 1, 2, 2), MessageKind::Append, 2);
    const std::uint64_t term = participant.lead();
    participant.give(second, matched(3), MessageKind::AppendReply, term);
    cr_assert(participant.node->status().commitIndex == 0);
    participant.give(second, matched(4), MessageKind::AppendReply, term);
    cr_assert(participant.node->status().commitIndex == 4);
}

// Guards against a vote that unseats a leader which this instance still hears.
Test(Rules, leaderIsHeard_voteAsked_isIgnoredUnlessLeaderAskedForIt)
{
    Participant participant;
    participant.give(second, entriesAfter(1, 1, 0, 2), MessageKind::Append, 2);
    cr_assert(participant.give(third, voteRequest(9, 2), MessageKind::Vote, 3).empty());
    cr_assert(!participant.give(third, voteRequest(9, 2), MessageKind::PreVote, 3).front().isGranted);
    cr_assert(participant.node->status().term == 2);
    RaftMessage forced = voteRequest(9, 2);
    forced.isForced = true;
    cr_assert(participant.give(third, forced, MessageKind::Vote, 3).front().isGranted);
}

// Guards against a lease that a restarted follower breaks because it forgot that it heard the leader.
Test(Rules, followerRestarts_voteAskedAtOnce_isIgnored)
{
    Participant participant;
    participant.give(second, entriesAfter(1, 1, 0, 2), MessageKind::Append, 2);
    participant.files.crash();
    participant.start();
    cr_assert(participant.give(third, voteRequest(9, 2), MessageKind::Vote, 3).empty());
    cr_assert(participant.node->status().term == 2);
}

// Guards against a candidate that lacks committed entries and still wins.
Test(Rules, candidateWithShorterLog_voteAsked_isRefused)
{
    Participant participant;
    participant.give(second, entriesAfter(1, 1, 3, 2), MessageKind::Append, 2);
    participant.pass(600ms);
    cr_assert(!participant.give(third, voteRequest(3, 2), MessageKind::Vote, 3).front().isGranted);
    cr_assert(!participant.give(third, voteRequest(9, 1), MessageKind::Vote, 4).front().isGranted);
    cr_assert(participant.give(third, voteRequest(4, 2), MessageKind::Vote, 5).front().isGranted);
}

// Guards against acknowledged entries that a snapshot of an earlier index removes.
Test(Rules, snapshotWithinLog_received_keepsEntriesBehindIt)
{
    Participant participant;
    participant.give(second, entriesAfter(1, 1, 5, 2), MessageKind::Append, 2);
    RaftMessage part = voteRequest(4, 2);
    part.total = 10;
    part.data = "0123456789";
    const auto replies = participant.give(third, part, MessageKind::Snapshot, 3);
    cr_assert(replies.front().isGranted && replies.front().index == 4);
    cr_assert(participant.node->status().lastIndex == 6 && participant.node->status().commitIndex == 4);
}

// Guards against a change of the log that this instance knows to be committed.
Test(Rules, committedEntry_replaced_stopsProcess, .signal = SIGABRT)
{
    Participant participant;
    participant.give(second, entriesAfter(1, 1, 2, 2, 3), MessageKind::Append, 2);
    participant.give(third, entriesAfter(1, 1, 2, 3), MessageKind::Append, 3);
}

// Guards against two leaders of one term that are taken for one.
Test(Rules, secondLeaderInTerm_heard_stopsProcess, .signal = SIGABRT)
{
    Participant participant;
    participant.give(second, entriesAfter(1, 1, 0, 2), MessageKind::Append, 2);
    participant.give(third, entriesAfter(1, 1, 0, 2), MessageKind::Append, 2);
}

// Guards against answers to messages for the identity of a lost disk, and against entries that are out of order.
Test(Rules, messageForOtherIdentityOrMalformed_received_isIgnored)
{
    Participant participant;
    RaftMessage foreign = entriesAfter(1, 1, 1, 2);
    foreign.kind = static_cast<std::uint8_t>(MessageKind::Append);
    foreign.to = InstanceId("a-old");
    foreign.term = 2;
    participant.node->receive(second, foreign, participant.now);
    cr_assert(participant.take().empty());
    cr_assert(participant.give(second, {}, static_cast<MessageKind>(99), 9).empty());
    cr_assert(participant.node->status().term == 1);
    RaftMessage gap = entriesAfter(1, 1, 2, 2);
    gap.entries[1].index = 9;
    cr_assert(participant.give(second, gap, MessageKind::Append, 2).empty());
    RaftMessage noMembership = entriesAfter(1, 1, 1, 2);
    noMembership.entries[0].kind = static_cast<std::uint8_t>(EntryKind::Membership);
    cr_assert(participant.give(second, noMembership, MessageKind::Append, 2).empty());
    cr_assert(participant.node->status().lastIndex == 1);
}

// Guards against one round trip for every entry when a long tail of earlier terms must be replaced.
Test(Rules, longConflictingTail_rejected_isSkippedByTerm)
{
    Participant participant;
    participant.give(second, entriesAfter(1, 1, 500, 2), MessageKind::Append, 2);
    const auto replies = participant.give(third, entriesAfter(400, 3, 1, 4), MessageKind::Append, 4);
    cr_assert(!replies.front().isGranted && replies.front().hint == 400 && replies.front().logTerm == 2);
    const auto older = participant.give(third, entriesAfter(400, 1, 1, 4), MessageKind::Append, 4);
    cr_assert(!older.front().isGranted && older.front().hint == 1 && older.front().logTerm == 1);
}

// Guards against a leader that confirms reads before it knows the commit index, or without asking a quorum again.
Test(Rules, newLeader_readAsked_waitsForOwnEntryAndQuorum)
{
    Participant participant;
    const std::uint64_t term = participant.lead();
    participant.node->requestRead(7, participant.now);
    cr_assert(participant.node->takeReady()->reads.empty());
    RaftMessage reply = matched(2);
    reply.kind = static_cast<std::uint8_t>(MessageKind::AppendReply);
    reply.to = self;
    reply.term = term;
    participant.node->receive(second, reply, participant.now);
    const auto ready = participant.node->takeReady();
    cr_assert(participant.node->status().commitIndex == 2);
    cr_assert(ready->reads.empty());
    participant.take();
    reply.round = 1;
    participant.node->receive(second, reply, participant.now);
    const auto confirmed = participant.node->takeReady()->reads;
    cr_assert(confirmed.size() == 1 && confirmed[0].id == 7 && confirmed[0].isConfirmed && confirmed[0].index == 2);
}

// Guards against a change before the leader has committed an entry of its own term, and against two at once.
Test(Rules, newLeader_changeProposed_waitsForOwnEntry)
{
    Participant participant;
    participant.give(second, entriesAfter(1, 1, 0, 2, 1), MessageKind::Append, 2);
    cr_assert(participant.node->status().commitIndex == 1);
    const std::uint64_t term = participant.lead();
    const MembershipChange first { ChangeKind::AddLearner, InstanceId("d") };
    const MembershipChange next { ChangeKind::AddLearner, InstanceId("e") };
    cr_assert(participant.node->proposeChange(first, participant.now).error().code == RaftErrorCode::ChangePending);
    participant.give(second, matched(2), MessageKind::AppendReply, term);
    cr_assert(participant.node->proposeChange(first, participant.now).has_value());
    cr_assert(participant.node->proposeChange(next, participant.now).error().code == RaftErrorCode::ChangePending);
    participant.give(second, matched(3), MessageKind::AppendReply, term);
    cr_assert(participant.node->proposeChange(next, participant.now).has_value());
}

// Guards against a follower that answers from an old state: it lacks entries that are committed, or the message that said
// otherwise was long on its way.
Test(Rules, followerLacksCommittedEntries_isNotCaughtUp)
{
    Participant participant;
    const auto heartbeat = [&](std::uint64_t commit, Duration underWay) {
        RaftMessage message;
        message.commit = commit;
        message.sentAt = std::chrono::duration_cast<std::chrono::nanoseconds>((participant.now - underWay).time_since_epoch()).count();
        participant.give(second, message, MessageKind::Append, 5);
    };
    participant.pass(100ms);
    heartbeat(0, 1ms);
    const TimePoint caughtUp = participant.node->caughtUpAt();
    cr_assert(caughtUp == participant.now);
    participant.pass(100ms);
    heartbeat(99, 1ms);
    cr_assert(participant.node->caughtUpAt() == caughtUp);
    heartbeat(0, 91ms);
    cr_assert(participant.node->caughtUpAt() == participant.now - 90ms);
}
