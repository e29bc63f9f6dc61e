#include "azurepaddle/consensus/simulation.hpp"

#include <criterion/criterion.h>
#include <cstdlib>

using namespace azurepaddle;
using namespace azurepaddle::consensus;
using namespace std::chrono_literals;

namespace {

std::uint64_t seedCount(std::uint64_t defaultCount)
{
    const char* value = std::getenv("AZUREPADDLE_SEEDS");
    return value ? std::strtoull(value, nullptr, 10) : defaultCount;
}

SimulationSettings randomUnreliableSettings(Random& random)
{
    SimulationSettings settings;
    settings.lossChance = random.uniform() * 0.1;
    settings.duplicateChance = random.uniform() * 0.1;
    settings.longDelayChance = random.uniform() * 0.1;
    settings.clockDrift = random.chance(0.3) ? 0.4 : 0.04; // The larger drift invalidates leases, which no other guarantee depends on.
    settings.snapshotInterval = random.chance(0.5) ? 10 + random.below(40) : 0;
    settings.raft.trailingEntries = random.below(20);
    settings.raft.snapshotChunkBytes = 100;
    settings.raft.maxAppendBytes = 64 + random.below(1000);
    settings.raft.maxInFlightEntries = 1 + random.below(50);
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
        return cluster.pause(cluster.leader().value_or(host), std::chrono::milliseconds(random.below(3000)));
    case 7:
        if (cluster.leader())
            (void)cluster.transferLeadership(*cluster.leader(), host);
        return;
    case 8:
        return cluster.files(host).failNextSync();
    default:
        return;
    }
}

void repairRandomly(SimulatedCluster& cluster, Random& random)
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
        (void)cluster.proposeChange(*leader, { ChangeKind::PromoteLearner, node });
    else if (!membership.contains(node))
        (void)cluster.proposeChange(*leader, { ChangeKind::AddLearner, node });
    else if (membership.voters.size() > 2)
        (void)cluster.proposeChange(*leader, { ChangeKind::Remove, node });
}

void repairAll(SimulatedCluster& cluster)
{
    cluster.healNetwork();
    cluster.setLossChance(0);
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        cluster.files(i).cancelFaults();
        cluster.pause(i, 0ms);
        cluster.restart(i);
    }
}

void runSeed(std::uint64_t seed, bool changesMembership)
{
    Random random(seed);
    SimulatedCluster cluster(seed, changesMembership ? 5 : 3, 3, randomUnreliableSettings(random));
    for (int step = 0; step < 600; ++step) {
        cluster.run(std::chrono::milliseconds(random.below(50)));
        if (random.chance(0.08))
            injectFault(cluster, random);
        if (random.chance(0.05))
            repairRandomly(cluster, random);
        if (changesMembership && random.chance(0.05))
            changeMembership(cluster, random);
        for (std::uint64_t i = random.below(4); i > 0; --i)
            (void)cluster.propose(random.below(cluster.size()));
        if (random.chance(0.3))
            cluster.requestRead(random.below(cluster.size()));
    }
    repairAll(cluster);
    const bool recovered = cluster.runUntil([&] { return cluster.leader() && cluster.hasConverged(); }, 30s);
    cr_assert(cluster.violation().empty(), "seed %lu: %s", seed, cluster.violation().c_str());
    cr_assert(recovered, "seed %lu: the group has no leader or does not converge after all faults are repaired", seed);
}

/// Restarts any of the hosts together and cuts leaders off. `delaysMessages` adds pauses of hosts and messages that take
/// long.
void runRestarts(std::uint64_t seed, bool delaysMessages)
{
    Random random(seed);
    SimulationSettings settings;
    settings.lossChance = random.uniform() * 0.1;
    settings.duplicateChance = random.uniform() * 0.1;
    settings.snapshotInterval = random.chance(0.5) ? 10 + random.below(40) : 0;
    settings.raft.trailingEntries = random.below(20);
    settings.raft.snapshotChunkBytes = 100;
    settings.longDelayChance = delaysMessages ? random.uniform() * 0.1 : 0;
    settings.checksFreshness = true;
    SimulatedCluster cluster(seed, 5, random.chance(0.5) ? 3 : 5, settings);
    for (int step = 0; step < 600; ++step) {
        cluster.run(std::chrono::milliseconds(random.below(50)));
        if (random.chance(0.03)) {
            const double share = random.uniform();
            for (std::size_t host = 0; host < cluster.size(); ++host) {
                if (random.chance(share))
                    cluster.crash(host);
            }
        }
        if (random.chance(0.03) && cluster.leader())
            cluster.isolate(*cluster.leader());
        if (delaysMessages && random.chance(0.03))
            cluster.pause(random.below(cluster.size()), std::chrono::milliseconds(random.below(3000)));
        if (random.chance(0.1))
            repairRandomly(cluster, random);
        for (std::uint64_t i = random.below(4); i > 0 && cluster.leader(); --i)
            (void)cluster.propose(*cluster.leader());
    }
    cr_assert(cluster.violation().empty(), "seed %lu: %s", seed, cluster.violation().c_str());
}

/// Calls `step` with the leader every 50 ms of virtual time until it returns true. Returns false if that takes longer
/// than a minute or a guarantee is violated.
bool retryAtLeader(SimulatedCluster& cluster, const std::function<bool(std::size_t leader)>& step)
{
    for (int i = 0; i < 1200; ++i) {
        cluster.run(50ms);
        const auto leader = cluster.leader();
        if (leader && step(*leader))
            return cluster.violation().empty();
    }
    return false;
}

/// Adds the new identity of a host to the group as a voter and removes the old one.
bool replace(SimulatedCluster& cluster, const InstanceId& replaced, const InstanceId& replacement)
{
    return retryAtLeader(cluster, [&](std::size_t leader) {
        const RaftStatus status = cluster.status(leader);
        if (status.membership.voters.contains(replacement) && !status.membership.contains(replaced))
            return status.commitIndex == status.lastIndex;
        (void)cluster.propose(leader);
        if (!status.membership.contains(replacement))
            (void)cluster.proposeChange(leader, { ChangeKind::AddLearner, replacement });
        else if (status.membership.learners.contains(replacement))
            (void)cluster.proposeChange(leader, { ChangeKind::PromoteLearner, replacement });
        else
            (void)cluster.proposeChange(leader, { ChangeKind::Remove, replaced });
        return false;
    });
}

void runReplacements(std::uint64_t seed)
{
    Random random(seed);
    SimulatedCluster cluster(seed, 3, 3, randomUnreliableSettings(random));
    for (int round = 0; round < 4; ++round) {
        const std::size_t lost = random.below(cluster.size());
        const InstanceId replaced = cluster.identity(lost);
        cluster.run(std::chrono::milliseconds(1000 + random.below(2000)));
        cluster.crash(lost);
        cluster.replaceDisk(lost);
        cluster.restart(lost);
        const bool isReplaced = replace(cluster, replaced, cluster.identity(lost));
        cr_assert(isReplaced, "seed %lu: the lost voter is not replaced; %s", seed, cluster.violation().c_str());
        const std::size_t second = (lost + 1 + random.below(2)) % cluster.size();
        const std::uint64_t acked = cluster.ackedIndex();
        cluster.crash(second);
        const bool commits = retryAtLeader(cluster, [&](std::size_t leader) {
            (void)cluster.propose(leader);
            return cluster.ackedIndex() > acked;
        });
        cr_assert(commits, "seed %lu: no commit after the second host crashed; %s", seed, cluster.violation().c_str());
        cluster.restart(second);
        const bool converges = cluster.runUntil([&] { return cluster.hasConverged(); }, 30s);
        cr_assert(converges, "seed %lu: the hosts do not converge; %s", seed, cluster.violation().c_str());
    }
}

}

// Detects acknowledged entries that are lost when a host restarts with an empty disk and its voter is replaced, also
// when another host crashes immediately afterwards.
Test(RandomFaults, disksReplacedOneByOne_secondHostLost_keepGuarantees)
{
    const std::uint64_t seeds = seedCount(60);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        runReplacements(seed + 2'000'000);
}

// Detects violations of any guarantee under message loss, delay, duplication, partitions, crashes, pauses and clock
// drift.
Test(RandomFaults, threeVoters_anyFaults_keepGuarantees)
{
    const std::uint64_t seeds = seedCount(200);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        runSeed(seed, false);
}

// Detects quorums without a common voter while participants are added, promoted and removed.
Test(RandomFaults, changingMembership_anyFaults_keepsGuarantees)
{
    const std::uint64_t seeds = seedCount(150);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        runSeed(seed + 1'000'000, true);
}

// Detects participants that count an old state as recent: after a restart, or under a leader that does not know yet what
// was committed before its term.
Test(RandomFaults, anyHostsRestarted_leadersCutOff_noStateCountsAsMoreRecentThanItIs)
{
    const std::uint64_t seeds = seedCount(100);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        runRestarts(seed + 3'000'000, false);
}

// Detects participants that take the first message of a new leader for one sent just now, although it took long or waited
// while they were paused.
Test(RandomFaults, messagesDelayed_leadersChanged_noStateCountsAsMoreRecentThanItIs)
{
    const std::uint64_t seeds = seedCount(100);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        runRestarts(seed + 4'000'000, true);
}
