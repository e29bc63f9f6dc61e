#include "azurepaddle/consensus/simulation.hpp"

#include <criterion/criterion.h>
#include <cstdlib>

using namespace azurepaddle;
using namespace azurepaddle::consensus;
using namespace std::chrono_literals;

namespace {

std::uint64_t seedCount(std::uint64_t normally)
{
    const char* more = std::getenv("AZUREPADDLE_SEEDS");
    return more ? std::strtoull(more, nullptr, 10) : normally;
}

SimulationSettings unreliable(Random& random)
{
    SimulationSettings settings;
    settings.lossChance = random.uniform() * 0.1;
    settings.duplicateChance = random.uniform() * 0.1;
    settings.lateChance = random.uniform() * 0.1;
    settings.clockDrift = random.chance(0.3) ? 0.4 : 0.04; // The larger one breaks leases, which no other guarantee needs.
    settings.snapshotInterval = random.chance(0.5) ? 10 + random.below(40) : 0;
    settings.raft.trailingEntries = random.below(20);
    settings.raft.snapshotPartBytes = 100;
    settings.raft.appendBytes = 64 + random.below(1000);
    settings.raft.inFlightEntries = 1 + random.below(50);
    return settings;
}

void injectFault(SimulatedCluster& cluster, Random& random)
{
    const std::size_t host = random.below(cluster.size());
    const std::size_t other = random.below(cluster.size());
    switch (random.below(14)) {
    case 0:
        return cluster.crash(host);
    case 1:
    case 2:
    case 3:
        return cluster.crashDuringDiskOperation(host, random.below(30));
    case 4:
        return cluster.isolate(cluster.leader().value_or(host));
    case 5:
        return cluster.block(host, other);
    case 6:
        return cluster.sleep(cluster.leader().value_or(host), std::chrono::milliseconds(random.below(3000)));
    case 7:
        if (cluster.leader())
            (void)cluster.transfer(*cluster.leader(), host);
        return;
    case 8:
        return cluster.files(host).failNextSync();
    default:
        return;
    }
}

void repairSome(SimulatedCluster& cluster, Random& random)
{
    if (random.chance(0.5))
        cluster.healNetwork();
    for (std::size_t host = 0; host < cluster.size(); ++host) {
        if (random.chance(0.5))
            cluster.restart(host);
    }
}

void changeMembership(SimulatedCluster& cluster, Random& random)
{
    const auto leader = cluster.leader();
    if (!leader)
        return;
    const Membership membership = cluster.status(*leader).membership;
    const InstanceId node = cluster.identity(random.below(cluster.size()));
    if (membership.learners.contains(node))
        (void)cluster.change(*leader, { ChangeKind::PromoteLearner, node });
    else if (!membership.contains(node))
        (void)cluster.change(*leader, { ChangeKind::AddLearner, node });
    else if (membership.voters.size() > 2)
        (void)cluster.change(*leader, { ChangeKind::Remove, node });
}

void healAll(SimulatedCluster& cluster)
{
    cluster.healNetwork();
    cluster.setLoss(0);
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        cluster.files(i).cancelFaults();
        cluster.sleep(i, 0ms);
        cluster.restart(i);
    }
}

void runSeed(std::uint64_t seed, bool changesMembership)
{
    Random random(seed);
    SimulatedCluster cluster(seed, changesMembership ? 5 : 3, 3, unreliable(random));
    for (int step = 0; step < 600; ++step) {
        cluster.run(std::chrono::milliseconds(random.below(50)));
        if (random.chance(0.08))
            injectFault(cluster, random);
        if (random.chance(0.05))
            repairSome(cluster, random);
        if (changesMembership && random.chance(0.05))
            changeMembership(cluster, random);
        for (std::uint64_t i = random.below(4); i > 0; --i)
            (void)cluster.propose(random.below(cluster.size()));
        if (random.chance(0.3))
            cluster.read(random.below(cluster.size()));
    }
    healAll(cluster);
    const bool recovered = cluster.runUntil([&] { return cluster.leader() && cluster.hasConverged(); }, 30s);
    cr_assert(cluster.violation().empty(), "seed %lu: %s", seed, cluster.violation().c_str());
    cr_assert(recovered, "seed %lu: the group does not recover", seed);
}

/// Calls a step every 50 ms until it returns true. False if that takes longer than a minute.
bool repeat(SimulatedCluster& cluster, const std::function<bool(std::size_t leader)>& step)
{
    for (int i = 0; i < 1200; ++i) {
        cluster.run(50ms);
        const auto leader = cluster.leader();
        if (leader && step(*leader))
            return cluster.violation().empty();
    }
    return false;
}

/// Brings the new identity of a host into the group and removes the old one.
bool replace(SimulatedCluster& cluster, const InstanceId& old, const InstanceId& fresh)
{
    return repeat(cluster, [&](std::size_t leader) {
        const RaftStatus status = cluster.status(leader);
        if (status.membership.voters.contains(fresh) && !status.membership.contains(old))
            return status.commitIndex == status.lastIndex;
        (void)cluster.propose(leader);
        if (!status.membership.contains(fresh))
            (void)cluster.change(leader, { ChangeKind::AddLearner, fresh });
        else if (status.membership.learners.contains(fresh))
            (void)cluster.change(leader, { ChangeKind::PromoteLearner, fresh });
        else
            (void)cluster.change(leader, { ChangeKind::Remove, old });
        return false;
    });
}

void runReplacements(std::uint64_t seed)
{
    Random random(seed);
    SimulatedCluster cluster(seed, 3, 3, unreliable(random));
    for (int round = 0; round < 4; ++round) {
        const std::size_t lost = random.below(cluster.size());
        const InstanceId old = cluster.identity(lost);
        cluster.run(std::chrono::milliseconds(1000 + random.below(2000)));
        cluster.crash(lost);
        cluster.wipe(lost);
        cluster.restart(lost);
        const bool isReplaced = replace(cluster, old, cluster.identity(lost));
        cr_assert(isReplaced, "seed %lu: not replaced; %s", seed, cluster.violation().c_str());
        const std::size_t second = (lost + 1 + random.below(2)) % cluster.size();
        const std::uint64_t acked = cluster.ackedIndex();
        cluster.crash(second);
        const bool commits = repeat(cluster, [&](std::size_t leader) {
            (void)cluster.propose(leader);
            return cluster.ackedIndex() > acked;
        });
        cr_assert(commits, "seed %lu: no commit after the second loss; %s", seed, cluster.violation().c_str());
        cluster.restart(second);
        const bool converges = cluster.runUntil([&] { return cluster.hasConverged(); }, 30s);
        cr_assert(converges, "seed %lu: not converged; %s", seed, cluster.violation().c_str());
    }
}

}

// Guards against acknowledged entries lost with a disk that is replaced, also when another host is lost right after.
Test(RandomFaults, disksReplacedOneByOne_secondHostLost_keepGuarantees)
{
    const std::uint64_t seeds = seedCount(60);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        runReplacements(seed + 2'000'000);
}

// Guards against any violation under message loss, delay, duplication, partitions, crashes, pauses and drift.
Test(RandomFaults, threeVoters_anyFaults_keepGuarantees)
{
    const std::uint64_t seeds = seedCount(200);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        runSeed(seed, false);
}

// Guards against two quorums without a common voter while participants are added, promoted and removed.
Test(RandomFaults, changingMembership_anyFaults_keepsGuarantees)
{
    const std::uint64_t seeds = seedCount(150);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        runSeed(seed + 1'000'000, true);
}
