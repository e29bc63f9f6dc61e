#include "azurepaddle/consensus/simulation.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::consensus;
using namespace std::chrono_literals;

namespace {

constexpr Duration electionLimit = 5s;

/// A cluster that has elected a leader and committed an entry.
struct Fixture {
    explicit Fixture(std::size_t count = 3, std::size_t voters = 3, const SimulationSettings& settings = {})
        : cluster(7, count, voters, settings)
    {
        cr_assert(cluster.runUntil([this] { return cluster.leader().has_value(); }, electionLimit));
        commit(1);
    }
    ~Fixture() { cr_assert(cluster.violation().empty(), "%s", cluster.violation().c_str()); }

    [[nodiscard]] std::size_t leader() const { return cluster.leader().value(); }
    [[nodiscard]] std::size_t follower(std::size_t number) const
    {
        std::size_t host = 0;
        for (; host < cluster.size(); ++host) {
            if (host != leader() && number-- == 0)
                break;
        }
        return host;
    }
    void awaitLeader()
    {
        cr_assert(cluster.runUntil([this] { return cluster.leader().has_value(); }, electionLimit));
    }
    void awaitConvergence()
    {
        cr_assert(cluster.runUntil([this] { return cluster.hasConverged(); }, 20s));
    }
    void commit(int count)
    {
        for (int i = 0; i < count; ++i) {
            const std::uint64_t before = cluster.ackedIndex();
            cr_assert(cluster.propose(leader()));
            cr_assert(cluster.runUntil([&] { return cluster.ackedIndex() > before; }, electionLimit));
        }
    }
    void apply(const MembershipChange& change)
    {
        cr_assert(cluster.runUntil([&] { return cluster.leader() && cluster.proposeChange(leader(), change); }, 20s));
        cr_assert(cluster.runUntil([this] { return cluster.hasConverged(); }, 20s));
    }

    SimulatedCluster cluster;
};

}

// Detects a leader that serves a stale read or accepts a command when its process resumes after its lease has expired.
Test(Scenario, leaderPausedPastLease_resumes_rejectsReadsAndCommands)
{
    Fixture fixture;
    const std::size_t previous = fixture.leader();
    fixture.cluster.pause(previous, 3s);
    fixture.awaitLeader();
    cr_assert(fixture.leader() != previous);
    fixture.commit(5);
    fixture.cluster.pause(previous, 0s);
    cr_assert(fixture.cluster.status(previous).role == RaftRole::Leader);
    const std::uint64_t confirmed = fixture.cluster.confirmedReads();
    fixture.cluster.requestRead(previous);
    cr_assert(!fixture.cluster.propose(previous));
    cr_assert(fixture.cluster.status(previous).role != RaftRole::Leader);
    fixture.cluster.run(2s);
    cr_assert(fixture.cluster.confirmedReads() == confirmed);
}

// Detects a leader that remains leader without a quorum when it can send but not receive messages.
Test(Scenario, leaderReceivesNothing_afterTimeout_isReplaced)
{
    Fixture fixture;
    const std::size_t previous = fixture.leader();
    for (std::size_t other = 0; other < 3; ++other)
        fixture.cluster.block(other, previous);
    fixture.cluster.run(600ms);
    cr_assert(fixture.cluster.status(previous).role != RaftRole::Leader);
    fixture.awaitLeader();
    cr_assert(fixture.leader() != previous);
    fixture.commit(1);
}

// Detects a follower that deposes a working leader with a higher term when it reconnects after a partition.
Test(Scenario, isolatedFollower_reconnects_changesNoTerm)
{
    Fixture fixture;
    const std::size_t leader = fixture.leader();
    const std::uint64_t term = fixture.cluster.status(leader).term;
    fixture.cluster.isolate(fixture.follower(0));
    fixture.cluster.run(10s);
    fixture.cluster.healNetwork();
    fixture.cluster.run(3s);
    cr_assert(fixture.leader() == leader && fixture.cluster.status(leader).term == term);
}

// Detects a follower that repeatedly deposes a working leader because it receives messages from all participants but
// the leader.
Test(Scenario, followerCutOffFromLeaderOnly_requestsVotes_changesNoTerm)
{
    Fixture fixture;
    const std::size_t leader = fixture.leader();
    const std::uint64_t term = fixture.cluster.status(leader).term;
    fixture.cluster.block(leader, fixture.follower(0));
    fixture.cluster.run(10s);
    cr_assert(fixture.leader() == leader && fixture.cluster.status(leader).term == term);
    fixture.commit(1);
}

// Detects a restarted follower that does not catch up, by log entries or by a snapshot.
Test(Scenario, followerMissesHundredsOfEntries_restarts_catchesUp)
{
    for (const std::uint64_t interval : { 0, 50 }) {
        SimulationSettings settings;
        settings.snapshotInterval = interval;
        settings.raft.trailingEntries = 10;
        settings.raft.snapshotChunkBytes = 1000;
        Fixture fixture(3, 3, settings);
        const std::size_t lagging = fixture.follower(0);
        fixture.cluster.crash(lagging);
        fixture.commit(500);
        const std::uint64_t installed = fixture.cluster.installedSnapshots();
        fixture.cluster.restart(lagging);
        fixture.awaitConvergence();
        cr_assert(fixture.cluster.appliedIndex(lagging) >= 500);
        cr_assert((fixture.cluster.installedSnapshots() > installed) == (interval > 0));
    }
}

// Detects a learner that is promoted before it has caught up: the group could not commit after the loss of a second
// voter.
Test(Scenario, replacementPromoted_secondVoterLost_groupStillCommits)
{
    SimulationSettings settings;
    settings.snapshotInterval = 100;
    Fixture fixture(4, 3, settings);
    fixture.commit(300);
    const std::size_t lost = fixture.follower(0);
    const InstanceId previous = fixture.cluster.identity(lost);
    const InstanceId replacement = fixture.cluster.identity(3);
    fixture.cluster.crash(lost);
    fixture.cluster.block(fixture.leader(), 3);
    cr_assert(fixture.cluster.proposeChange(fixture.leader(), { ChangeKind::AddLearner, replacement }));
    fixture.cluster.run(300ms);
    cr_assert(!fixture.cluster.proposeChange(fixture.leader(), { ChangeKind::PromoteLearner, replacement }));
    fixture.cluster.healNetwork();
    fixture.apply({ ChangeKind::PromoteLearner, replacement });
    fixture.apply({ ChangeKind::Remove, previous });
    const std::size_t second = fixture.leader();
    fixture.cluster.crash(second);
    fixture.awaitLeader();
    fixture.commit(10);
    cr_assert(fixture.cluster.status(fixture.leader()).membership.voters.size() == 3);
}

// Detects an instance with a replaced disk that votes or acknowledges entries under the identity of the lost disk.
Test(Scenario, replacedDisk_restarts_doesNotCountAsVoter)
{
    Fixture fixture;
    const std::size_t replaced = fixture.follower(0);
    const std::size_t other = fixture.follower(1);
    const InstanceId previous = fixture.cluster.identity(replaced);
    fixture.cluster.crash(replaced);
    fixture.cluster.replaceDisk(replaced);
    fixture.cluster.restart(replaced);
    cr_assert(fixture.cluster.identity(replaced) != previous);
    fixture.cluster.crash(other);
    fixture.cluster.run(5s);
    cr_assert(!fixture.cluster.leader(), "one voter of three must not lead");
    fixture.cluster.restart(other);
    fixture.awaitLeader();
    const InstanceId replacement = fixture.cluster.identity(replaced);
    fixture.apply({ ChangeKind::AddLearner, replacement });
    fixture.apply({ ChangeKind::PromoteLearner, replacement });
    fixture.apply({ ChangeKind::Remove, previous });
    fixture.commit(5);
    fixture.awaitConvergence();
}

// Detects a leadership transfer that loses entries or waits for an election timeout.
Test(Scenario, transfer_toVoter_movesLeadershipWithoutTimeout)
{
    Fixture fixture;
    const std::size_t target = fixture.follower(1);
    cr_assert(fixture.cluster.transferLeadership(fixture.leader(), target));
    cr_assert(fixture.cluster.runUntil([&] { return fixture.cluster.leader() == target; }, 100ms));
    fixture.commit(5);
    fixture.awaitConvergence();
}

// Detects a removed leader that remains leader, or that steps down before its removal is committed.
Test(Scenario, leaderRemoved_committed_stepsDown)
{
    Fixture fixture;
    const std::size_t previous = fixture.leader();
    cr_assert(fixture.cluster.proposeChange(previous, { ChangeKind::Remove, fixture.cluster.identity(previous) }));
    cr_assert(fixture.cluster.runUntil([&] { return fixture.cluster.leader() != previous; }, electionLimit));
    fixture.awaitLeader();
    cr_assert(fixture.leader() != previous);
    fixture.commit(3);
    cr_assert(!fixture.cluster.proposeChange(fixture.leader(), { ChangeKind::Remove, InstanceId("unknown") }));
}

// Detects a voter that continues after a write to a full disk or a failed fsync.
Test(Scenario, fullDiskOrFailedSync_proposed_stopsOnlyThatHost)
{
    for (const bool isFull : { true, false }) {
        Fixture fixture;
        const std::size_t broken = fixture.follower(0);
        if (isFull)
            fixture.cluster.files(broken).setCapacity(0);
        else
            fixture.cluster.files(broken).failNextSync();
        fixture.commit(5);
        fixture.cluster.run(1s);
        cr_assert(!fixture.cluster.isUp(broken));
    }
}

// Detects one fsync per command when many commands are proposed together.
Test(Scenario, manyCommands_proposedTogether_shareSyncs)
{
    Fixture fixture;
    const std::size_t leader = fixture.leader();
    const std::uint64_t before = fixture.cluster.files(leader).syncs();
    fixture.cluster.proposeMany(leader, 1000);
    const std::uint64_t last = fixture.cluster.status(leader).lastIndex;
    cr_assert(fixture.cluster.runUntil([&] { return fixture.cluster.ackedIndex() >= last; }, electionLimit));
    cr_assert(fixture.cluster.files(leader).syncs() <= before + 2);
}

// Detects a stale read at a previous leader that has not received messages from its successor yet.
Test(Scenario, successorElected_oldLeaderUnaware_confirmsNoRead)
{
    Fixture fixture;
    const std::size_t previous = fixture.leader();
    const std::size_t target = fixture.follower(0);
    cr_assert(fixture.cluster.transferLeadership(previous, target));
    for (std::size_t other = 0; other < 3; ++other)
        fixture.cluster.block(other, previous);
    cr_assert(fixture.cluster.runUntil([&] { return fixture.cluster.leader() == target; }, 100ms));
    fixture.commit(3);
    cr_assert(fixture.cluster.status(previous).role == RaftRole::Leader);
    const std::uint64_t confirmed = fixture.cluster.confirmedReads();
    fixture.cluster.requestRead(previous);
    fixture.cluster.run(2s);
    cr_assert(fixture.cluster.confirmedReads() == confirmed);
}
