#include "azurepaddle/cluster/membership_plan.hpp"
#include "azurepaddle/consensus/simulation.hpp"

#include <criterion/criterion.h>
#include <cstdlib>

using namespace azurepaddle;
using namespace azurepaddle::cluster;
using namespace std::chrono_literals;
using consensus::ChangeKind;

namespace {

constexpr std::size_t firstVoters = 3; ///< For one tolerated loss.
constexpr Duration planInterval = 200ms; ///< Interval at which the leader plans a change, as in Group.
constexpr Duration catchUpTime = 5300ms; ///< Time for which a machine stays lost after its return.

std::uint64_t seedCount(std::uint64_t defaultCount)
{
    const char* value = std::getenv("AZUREPADDLE_SEEDS");
    return value ? std::strtoull(value, nullptr, 10) : defaultCount;
}

/// A simulated group whose leader plans membership changes, on machines that lose their disks one at a time. Machines
/// that are not participants ask to join whenever they run.
struct PlannedGroup {
    consensus::SimulatedCluster cluster;
    Random random;
    MembershipPolicy policy;
    std::set<std::size_t> retiring; ///< Machines that an operator empties.

    PlannedGroup(std::uint64_t seed, std::size_t machines, std::size_t voters = firstVoters)
        : cluster(seed, machines, voters, {})
        , random(seed)
    {
        policy.targetVoters = voters;
    }

    [[nodiscard]] InstanceAddress addressOf(const InstanceId& id) const
    {
        return { "10.0.0." + std::to_string(cluster.hostOf(id).value_or(0)), 1 };
    }

    [[nodiscard]] std::vector<MemberView> views(std::size_t leader) const
    {
        const auto& node = cluster.node(leader);
        const TimePoint now = cluster.localTime(leader);
        std::vector<MemberView> views;
        const auto add = [&](const InstanceId& id, bool isVoter) {
            const bool isSelf = id == cluster.identity(leader);
            MemberView view { id, addressOf(id), isVoter, isSelf, retiring.contains(cluster.hostOf(id).value_or(0)), node.replicationLag(id) };
            view.timeSinceContact = isSelf ? Duration::zero() : now - node.lastContact(id).value_or(now);
            const auto acknowledged = isSelf ? std::optional(now) : node.lastAcknowledgement(id);
            if (acknowledged)
                view.timeSinceAcknowledgement = now - *acknowledged;
            view.trackedFor = now - node.trackedSince(id).value_or(now);
            views.push_back(view);
        };
        for (const InstanceId& id : node.membership().voters)
            add(id, true);
        for (const InstanceId& id : node.membership().learners)
            add(id, false);
        return views;
    }

    void relinquishIfRetiring(std::size_t leader)
    {
        if (!retiring.contains(leader))
            return;
        for (const InstanceId& id : cluster.node(leader).membership().voters) {
            const auto target = cluster.hostOf(id);
            if (target && !retiring.contains(*target) && cluster.isUp(*target) && cluster.identity(*target) == id && cluster.transferLeadership(leader, *target))
                return;
        }
    }

    void plan()
    {
        const auto leader = cluster.leader();
        if (!leader)
            return;
        if (const auto change = planMembership(views(*leader), policy))
            (void)cluster.proposeChange(*leader, *change);
        else
            relinquishIfRetiring(*leader);
        for (std::size_t host = 0; host < cluster.size(); ++host) {
            const auto& membership = cluster.node(*leader).membership();
            if (cluster.isUp(host) && !retiring.contains(host) && !membership.contains(cluster.identity(host)) && canJoin(views(*leader), addressOf(cluster.identity(host)), policy))
                (void)cluster.proposeChange(*leader, { ChangeKind::AddLearner, cluster.identity(host) });
        }
    }

    void run(Duration time)
    {
        const TimePoint end = cluster.now() + time;
        while (cluster.now() < end && cluster.violation().empty()) {
            cluster.run(std::min<Duration>(planInterval, end - cluster.now()));
            plan();
            (void)cluster.propose(cluster.leader().value_or(0));
        }
    }

    void loseDisk(std::size_t host)
    {
        cluster.crash(host);
        cluster.replaceDisk(host);
    }

    [[nodiscard]] Duration randomTime(Duration longest) { return Duration(static_cast<Duration::rep>(random.uniform() * static_cast<double>(longest.count()))); }

    /// Whether a leader commits new entries and has the targeted number of voters, all of which run.
    [[nodiscard]] bool isWhole()
    {
        const auto leader = cluster.leader();
        if (!leader)
            return false;
        const auto& voters = cluster.node(*leader).membership().voters;
        return voters.size() == policy.targetVoters && cluster.hasConverged() && std::all_of(voters.begin(), voters.end(), [&](const InstanceId& id) {
            const auto host = cluster.hostOf(id);
            return host && cluster.isUp(*host) && cluster.identity(*host) == id && !retiring.contains(*host);
        });
    }

    /// Loses the disk of one machine several times, with pauses that are often too short for it to catch up.
    void loseRepeatedly(std::size_t host)
    {
        for (std::uint64_t losses = 1 + random.below(4); losses > 0; --losses) {
            loseDisk(host);
            run(random.chance(0.5) ? 1s + randomTime(2s) : randomTime(1500ms));
            cluster.restart(host);
            if (losses > 1)
                run(randomTime(random.chance(0.7) ? 500ms : 3s));
        }
    }
};

/// Fails unless the group is whole after a machine that was lost has had the time to catch up.
void checkWhole(PlannedGroup& group, std::uint64_t seed, const char* event)
{
    group.run(catchUpTime);
    cr_assert(group.cluster.violation().empty(), "seed %lu: %s", seed, group.cluster.violation().c_str());
    const auto leader = group.cluster.leader();
    cr_assert(leader.has_value(), "seed %lu: the group has no leader after %s", seed, event);
    cr_assert(group.cluster.runUntil([&] { return group.isWhole(); }, 1s), "seed %lu: the group has %zu voters, or some that are lost, after %s", seed, group.cluster.node(*leader).membership().voters.size(), event);
}

}

// Detects a group that stops for good although only one machine at a time is lost: a machine that loses its disk again
// before it has caught up leaves several identities behind, which count for the quorum and never vote again.
Test(MembershipFaults, oneMachineLostRepeatedly_groupContinues)
{
    for (std::uint64_t seed = 1; seed <= seedCount(60); ++seed) {
        PlannedGroup group(seed, 3 + seed % 3);
        group.run(catchUpTime);
        for (int round = 0; round < 4; ++round) {
            group.loseRepeatedly(group.random.below(group.cluster.size()));
            checkWhole(group, seed, "one machine lost its disk repeatedly");
        }
    }
}

// Detects a group of five voters that stops for good while two machines at a time lose their disks, in any order and
// before they have caught up.
Test(MembershipFaults, twoMachinesLostRepeatedly_groupOfFiveContinues)
{
    constexpr std::size_t voters = 5;
    for (std::uint64_t seed = 1; seed <= seedCount(40); ++seed) {
        PlannedGroup group(seed, voters + seed % 3, voters);
        group.run(catchUpTime);
        for (int round = 0; round < 3; ++round) {
            const std::size_t first = group.random.below(group.cluster.size());
            const std::size_t second = (first + 1 + group.random.below(group.cluster.size() - 1)) % group.cluster.size();
            for (int event = 0; event < 8; ++event) {
                const std::size_t host = group.random.chance(0.5) ? first : second;
                if (group.cluster.isUp(host))
                    group.loseDisk(host);
                else
                    group.cluster.restart(host);
                group.run(group.randomTime(group.random.chance(0.6) ? 500ms : 2s));
            }
            group.cluster.restart(first);
            group.cluster.restart(second);
            checkWhole(group, seed, "two machines lost their disks repeatedly");
        }
    }
}

// Detects a group that stops for good after a machine is gone and its successor at another address is lost before it
// has caught up. Both count as one lost machine.
Test(MembershipFaults, successorAtOtherAddressLost_groupContinues)
{
    for (std::uint64_t seed = 1; seed <= seedCount(60); ++seed) {
        constexpr std::size_t successor = 3;
        PlannedGroup group(seed, 4);
        group.cluster.crash(successor);
        group.run(catchUpTime);
        group.cluster.crash(group.random.below(firstVoters));
        group.run(group.randomTime(3s));
        group.cluster.replaceDisk(successor);
        group.cluster.restart(successor);
        group.run(group.randomTime(1s));
        group.loseRepeatedly(successor);
        checkWhole(group, seed, "the successor of a lost machine was lost");
    }
}

namespace {

/// Whether an operator reads at this host that a machine is emptied: it leads within its lease, and the removal of the
/// machine is committed.
bool reportsRemoval(const PlannedGroup& group, std::size_t host, const InstanceId& emptied)
{
    if (!group.cluster.isUp(host))
        return false;
    const auto& node = group.cluster.node(host);
    return group.cluster.localTime(host) < node.leaseEnd() && !node.committedMembership().contains(emptied);
}

/// Runs until any host reports the removal of a machine. Returns false if that takes longer than the limit.
bool runUntilRemovalIsReported(PlannedGroup& group, const InstanceId& emptied, Duration limit)
{
    constexpr Duration readInterval = 20ms;
    const TimePoint end = group.cluster.now() + limit;
    for (TimePoint nextPlan = group.cluster.now(); group.cluster.now() < end;) {
        for (std::size_t host = 0; host < group.cluster.size(); ++host) {
            if (reportsRemoval(group, host, emptied))
                return true;
        }
        group.cluster.run(readInterval);
        if (group.cluster.now() < nextPlan)
            continue;
        nextPlan = group.cluster.now() + planInterval;
        group.plan();
    }
    return false;
}

}

// Detects a machine that is reported as emptied, and destroyed for it, while only a leader that is cut off holds its
// removal. If that leader loses its disk, the others still count the vote of the destroyed machine, and none can lead.
Test(MembershipFaults, leaderCutOffWhileMachineIsEmptied_groupContinues)
{
    constexpr Duration reportLimit = 15s;
    for (std::uint64_t seed = 1; seed <= seedCount(60); ++seed) {
        PlannedGroup group(seed, 4);
        group.run(catchUpTime);
        const std::size_t leader = group.cluster.leader().value_or(0);
        const std::size_t emptied = (leader + 1 + group.random.below(3)) % 4;
        const InstanceId emptiedIdentity = group.cluster.identity(emptied);
        group.retiring.insert(emptied);
        const bool isReportedBeforeCut = runUntilRemovalIsReported(group, emptiedIdentity, group.randomTime(700ms));
        group.cluster.isolate(leader);
        const bool isReported = isReportedBeforeCut || runUntilRemovalIsReported(group, emptiedIdentity, 600ms);
        if (isReported)
            group.cluster.crash(emptied);
        group.loseDisk(leader);
        group.run(1s);
        group.cluster.healNetwork();
        group.cluster.restart(leader);
        cr_assert(isReported || runUntilRemovalIsReported(group, emptiedIdentity, reportLimit), "seed %lu: the machine is never reported as emptied", seed);
        checkWhole(group, seed, "a machine was emptied and the leader lost");
    }
}
