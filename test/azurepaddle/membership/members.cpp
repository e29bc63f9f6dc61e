#include "simulation.hpp"

#include <criterion/criterion.h>

using namespace fixture;

// Guards against instances that never discover each other when only a few of them are configured as seeds.
Test(Members, seedsConfigured_started_allMembersAreKnownToAll)
{
    for (const std::size_t size : { 2U, 9U, 81U }) {
        Simulation simulation(size, 11);
        cr_assert(simulation.runUntil([&] { return simulation.allSee(MemberState::Alive); }, 2min), "%zu members", size);
    }
}

// Guards against running members that are declared dead because messages were lost.
Test(Members, tenPercentMessageLoss_forMinutes_noMemberIsDead)
{
    Simulation simulation(27, 12);
    simulation.lossRate = 0.1;
    cr_assert(simulation.runUntil([&] { return simulation.allSee(MemberState::Alive); }, 2min));
    simulation.countDeaths = true;
    simulation.run(5min);
    cr_assert(simulation.deadCount == 0, "%zu deaths", simulation.deadCount);
}

// Guards against a crashed instance that another member still records as alive, or never removes.
Test(Members, crashedMember_probed_isDeadEverywhere)
{
    Simulation simulation(27, 13);
    cr_assert(simulation.runUntil([&] { return simulation.allSee(MemberState::Alive); }, 2min));
    simulation.nodes[5].isRunning = false;
    const auto deadEverywhere = [&] { return simulation.othersSee(5, MemberState::Dead); };
    cr_assert(simulation.runUntil(deadEverywhere, 60s));
    simulation.run(50min);
    cr_assert(deadEverywhere(), "a dead member must be kept for deadRetention, one hour");
    simulation.run(20min);
    for (const Node& node : simulation.nodes)
        cr_assert(!node.isRunning || node.table->members().size() == 25);
}

// Guards against a restarted instance that other members still record as dead, also if its wall clock was set back so
// that its new incarnation is lower.
Test(Members, memberRestarts_withNewIncarnation_isAliveAgain)
{
    Simulation simulation(9, 14);
    cr_assert(simulation.runUntil([&] { return simulation.allSee(MemberState::Alive); }, 2min));
    simulation.nodes[4].isRunning = false;
    cr_assert(simulation.runUntil([&] { return simulation.othersSee(4, MemberState::Dead); }, 60s));
    const std::uint64_t before = simulation.nodes[4].table->self().incarnation;
    simulation.restart(4, 0s);
    cr_assert(simulation.nodes[4].table->self().incarnation > before);
    cr_assert(simulation.runUntil([&] { return simulation.allSee(MemberState::Alive); }, 60s));
    simulation.restart(4, -10min);
    cr_assert(simulation.nodes[4].table->self().incarnation < before);
    simulation.nodes[4].table->setMetadata(simulation.makeMetadata(4, 77));
    cr_assert(simulation.runUntil([&] { return simulation.allSee(MemberState::Alive) && simulation.othersSeeConfiguration(4, 77); }, 60s));
}

// Guards against a member that leaves as planned and is then declared dead, or still probed, by other members.
Test(Members, memberLeaves_gossiped_isLeavingEverywhere)
{
    Simulation simulation(9, 15);
    cr_assert(simulation.runUntil([&] { return simulation.allSee(MemberState::Alive); }, 2min));
    simulation.countDeaths = true;
    simulation.sendMessages(2, simulation.nodes[2].table->leave());
    simulation.run(1s);
    simulation.nodes[2].isRunning = false;
    cr_assert(simulation.runUntil([&] { return simulation.othersSee(2, MemberState::Leaving); }, 30s));
    simulation.run(1min);
    cr_assert(simulation.deadCount == 0);
}

// Guards against tables that stay empty or split after a rack, data centre or region was partitioned for minutes.
Test(Members, thirdPartitionedForMinutes_reconnected_allAreAliveWithoutRestart)
{
    for (const std::size_t size : { 9U, 81U }) {
        Simulation simulation(size, 16);
        cr_assert(simulation.runUntil([&] { return simulation.allSee(MemberState::Alive); }, 2min));
        simulation.partition = size / 3;
        simulation.run(10min);
        for (const Node& node : simulation.nodes)
            cr_assert(node.table->members().size() == size - 1, "dead members must be kept during the partition");
        cr_assert(simulation.othersSee(0, MemberState::Dead, size / 3));
        simulation.partition = 0;
        cr_assert(simulation.runUntil([&] { return simulation.allSee(MemberState::Alive); }, 2min), "%zu members", size);
    }
}

// Guards against a change of a member's metadata (active configuration, draining) that is not distributed to all
// others.
Test(Members, metadataChanges_gossiped_reachesAll)
{
    Simulation simulation(27, 17);
    cr_assert(simulation.runUntil([&] { return simulation.allSee(MemberState::Alive); }, 2min));
    simulation.nodes[3].table->setMetadata(simulation.makeMetadata(3, 42));
    cr_assert(simulation.runUntil([&] { return simulation.othersSeeConfiguration(3, 42); }, 30s));
}

// Guards against an instance that answers probes for a former instance with the same address and another identifier.
Test(Members, addressTakenOver_byNewIdentity_oldOneIsDead)
{
    Simulation simulation(5, 18);
    cr_assert(simulation.runUntil([&] { return simulation.allSee(MemberState::Alive); }, 2min));
    simulation.replace(4, "replacement");
    const auto done = [&] { return simulation.othersSee(InstanceId("i4"), MemberState::Dead) && simulation.othersSee(InstanceId("replacement"), MemberState::Alive); };
    cr_assert(simulation.runUntil(done, 60s));
}

// Guards against traffic per node that grows with the number of members. The bound is the limit of 4 KB/s for control
// traffic.
Test(Members, steadyState_measured_trafficPerNodeIsFlat)
{
    double smallest = 0;
    for (const std::size_t size : { 3U, 9U, 27U, 81U, 243U }) {
        Simulation simulation(size, 19);
        cr_assert(simulation.runUntil([&] { return simulation.allSee(MemberState::Alive); }, 3min), "%zu members", size);
        simulation.run(1min);
        simulation.bytes = 0;
        simulation.run(2min);
        const double bytesPerNode = static_cast<double>(simulation.bytes) / 120 / static_cast<double>(size);
        smallest = size == 3 ? bytesPerNode : smallest;
        cr_assert(bytesPerNode < 4096 && bytesPerNode < 1.5 * smallest, "%zu members: %f bytes/s", size, bytesPerNode);
        cr_assert(simulation.largestMessage <= MemberOptions {}.maxMessageBytes);
    }
}

// Guards against malformed, truncated or mutated messages that crash an instance or put invalid records into its table.
Test(Members, mutatedMessages_received_neverCrash)
{
    Simulation simulation(5, 20);
    simulation.keepSamples = true;
    cr_assert(simulation.runUntil([&] { return simulation.allSee(MemberState::Alive); }, 2min));
    simulation.run(40s);
    Random random(20263);
    MemberTable<ManualClock, Random>& table = *simulation.nodes[0].table;
    std::size_t rejectedCount = 0;
    for (const std::string& sample : simulation.samples) {
        for (std::size_t size = 0; size < sample.size(); size += 3)
            cr_assert(!table.receive(std::string_view(sample).substr(0, size)));
        for (int i = 0; i < 20; ++i) {
            std::string bytes = sample;
            for (std::uint64_t edits = 1 + random.below(4); edits > 0; --edits)
                bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
            const auto result = table.receive(bytes);
            rejectedCount += result ? 0 : 1;
            simulation.clock.advance(10ms);
            (void)table.tick();
        }
    }
    cr_assert(rejectedCount > simulation.samples.size());
    cr_assert(!table.receive(std::string(100000, '\xc0')));
    for (const MemberRecord& record : table.members())
        cr_assert(isValid(record));
}
