#include "azurepaddle/consensus/simulation.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::consensus;
using namespace std::chrono_literals;

namespace {

constexpr Duration electionLimit = 5s;

/// A cluster that has a leader and has committed an entry.
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
        cr_assert(cluster.runUntil([&] { return cluster.leader() && cluster.change(leader(), change); }, 20s));
        cr_assert(cluster.runUntil([this] { return cluster.hasConverged(); }, 20s));
    }

    SimulatedCluster cluster;
};

}

// Guards against a leader that wakes up after its lease and serves a stale read or accepts a command.
Test(Scenario, leaderSleepsPastLease_wakes_refusesReadsAndCommands)
{
    Fixture fixture;
    const std::size_t old = fixture.leader();
    fixture.cluster.sleep(old, 3s);
    fixture.awaitLeader();
    cr_assert(fixture.leader() != old);
    fixture.commit(5);
    fixture.cluster.sleep(old, 0s);
    cr_assert(fixture.cluster.status(old).role == RaftRole::Leader);
    const std::uint64_t confirmed = fixture.cluster.confirmedReads();
    fixture.cluster.read(old);
    cr_assert(!fixture.cluster.propose(old));
    cr_assert(fixture.cluster.status(old).role != RaftRole::Leader);
    fixture.cluster.run(2s);
    cr_assert(fixture.cluster.confirmedReads() == confirmed);
}

// Guards against a leader cut off in one direction that goes on leading without a quorum.
Test(Scenario, leaderHearsNobody_afterTimeout_isReplaced)
{
    Fixture fixture;
    const std::size_t old = fixture.leader();
    for (std::size_t other = 0; other < 3; ++other)
        fixture.cluster.block(other, old);
    fixture.cluster.run(600ms);
    cr_assert(fixture.cluster.status(old).role != RaftRole::Leader);
    fixture.awaitLeader();
    cr_assert(fixture.leader() != old);
    fixture.commit(1);
}

// Guards against an instance that was cut off and unseats a working leader when it comes back.
Test(Scenario, isolatedFollower_returns_changesNoTerm)
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

// Guards against a follower that hears the others but not the leader and keeps unseating it.
Test(Scenario, followerCutOffFromLeaderOnly_asksForVotes_changesNoTerm)
{
    Fixture fixture;
    const std::size_t leader = fixture.leader();
    const std::uint64_t term = fixture.cluster.status(leader).term;
    fixture.cluster.block(leader, fixture.follower(0));
    fixture.cluster.run(10s);
    cr_assert(fixture.leader() == leader && fixture.cluster.status(leader).term == term);
    fixture.commit(1);
}

// Guards against a restarted follower that never catches up, with the log and with a snapshot.
Test(Scenario, followerMissesHundredsOfEntries_restarts_catchesUp)
{
    for (const std::uint64_t interval : { 0, 50 }) {
        SimulationSettings settings;
        settings.snapshotInterval = interval;
        settings.raft.trailingEntries = 10;
        settings.raft.snapshotPartBytes = 1000;
        Fixture fixture(3, 3, settings);
        const std::size_t behind = fixture.follower(0);
        fixture.cluster.crash(behind);
        fixture.commit(500);
        const std::uint64_t installed = fixture.cluster.installedSnapshots();
        fixture.cluster.restart(behind);
        fixture.awaitConvergence();
        cr_assert(fixture.cluster.appliedIndex(behind) >= 500);
        cr_assert((fixture.cluster.installedSnapshots() > installed) == (interval > 0));
    }
}

// Guards against a replacement that counts as a voter before it can stand in for the next loss.
Test(Scenario, replacementPromoted_secondVoterLost_groupStillCommits)
{
    SimulationSettings settings;
    settings.snapshotInterval = 100;
    Fixture fixture(4, 3, settings);
    fixture.commit(300);
    const std::size_t lost = fixture.follower(0);
    const InstanceId old = fixture.cluster.identity(lost);
    const InstanceId replacement = fixture.cluster.identity(3);
    fixture.cluster.crash(lost);
    fixture.cluster.block(fixture.leader(), 3);
    cr_assert(fixture.cluster.change(fixture.leader(), { ChangeKind::AddLearner, replacement }));
    fixture.cluster.run(300ms);
    cr_assert(!fixture.cluster.change(fixture.leader(), { ChangeKind::PromoteLearner, replacement }));
    fixture.cluster.healNetwork();
    fixture.apply({ ChangeKind::PromoteLearner, replacement });
    fixture.apply({ ChangeKind::Remove, old });
    const std::size_t second = fixture.leader();
    fixture.cluster.crash(second);
    fixture.awaitLeader();
    fixture.commit(10);
    cr_assert(fixture.cluster.status(fixture.leader()).membership.voters.size() == 3);
}

// Guards against an emptied disk that votes or acknowledges under the identity it lost.
Test(Scenario, emptiedDisk_restarts_doesNotCountAsVoter)
{
    Fixture fixture;
    const std::size_t emptied = fixture.follower(0);
    const std::size_t other = fixture.follower(1);
    const InstanceId old = fixture.cluster.identity(emptied);
    fixture.cluster.crash(emptied);
    fixture.cluster.wipe(emptied);
    fixture.cluster.restart(emptied);
    cr_assert(fixture.cluster.identity(emptied) != old);
    fixture.cluster.crash(other);
    fixture.cluster.run(5s);
    cr_assert(!fixture.cluster.leader(), "one voter of three must not lead");
    fixture.cluster.restart(other);
    fixture.awaitLeader();
    const InstanceId fresh = fixture.cluster.identity(emptied);
    fixture.apply({ ChangeKind::AddLearner, fresh });
    fixture.apply({ ChangeKind::PromoteLearner, fresh });
    fixture.apply({ ChangeKind::Remove, old });
    fixture.commit(5);
    fixture.awaitConvergence();
}

// Guards against a transfer that loses entries or waits for an election timeout.
Test(Scenario, transfer_toVoter_movesLeadershipWithoutTimeout)
{
    Fixture fixture;
    const std::size_t target = fixture.follower(1);
    cr_assert(fixture.cluster.transfer(fixture.leader(), target));
    cr_assert(fixture.cluster.runUntil([&] { return fixture.cluster.leader() == target; }, 100ms));
    fixture.commit(5);
    fixture.awaitConvergence();
}

// Guards against a leader that is removed and goes on leading, or stops before its removal is committed.
Test(Scenario, leaderRemoved_committed_stepsDown)
{
    Fixture fixture;
    const std::size_t old = fixture.leader();
    cr_assert(fixture.cluster.change(old, { ChangeKind::Remove, fixture.cluster.identity(old) }));
    cr_assert(fixture.cluster.runUntil([&] { return fixture.cluster.leader() != old; }, electionLimit));
    fixture.awaitLeader();
    cr_assert(fixture.leader() != old);
    fixture.commit(3);
    cr_assert(!fixture.cluster.change(fixture.leader(), { ChangeKind::Remove, InstanceId("unknown") }));
}

// Guards against a full disk or a failed fsync after which a voter goes on.
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

// Guards against one fsync for every command when many arrive together.
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

// Guards against a stale read at an old leader that has not heard of its successor yet.
Test(Scenario, successorElected_oldLeaderUnaware_confirmsNoRead)
{
    Fixture fixture;
    const std::size_t old = fixture.leader();
    const std::size_t target = fixture.follower(0);
    cr_assert(fixture.cluster.transfer(old, target));
    for (std::size_t other = 0; other < 3; ++other)
        fixture.cluster.block(other, old);
    cr_assert(fixture.cluster.runUntil([&] { return fixture.cluster.leader() == target; }, 100ms));
    fixture.commit(3);
    cr_assert(fixture.cluster.status(old).role == RaftRole::Leader);
    const std::uint64_t confirmed = fixture.cluster.confirmedReads();
    fixture.cluster.read(old);
    fixture.cluster.run(2s);
    cr_assert(fixture.cluster.confirmedReads() == confirmed);
}
