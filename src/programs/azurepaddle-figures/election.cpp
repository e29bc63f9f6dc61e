#include "figures.hpp"

#include "azurepaddle/consensus/simulation.hpp"

#include <fmt/format.h>

namespace azurepaddle::figures {

namespace {

    using consensus::SimulatedCluster;

    constexpr Duration limit = std::chrono::seconds(30);

    struct Outage {
        double untilLeader = 0; ///< Milliseconds from the kill to a new leader.
        double untilCommit = 0; ///< Milliseconds from the kill to the next acknowledged command.
    };

    double millisecondsBetween(TimePoint start, TimePoint end)
    {
        return std::chrono::duration<double, std::milli>(end - start).count();
    }

    /// Kills the leader and waits for the next one.
    Outage measureKill(std::uint64_t seed, std::size_t voters, const consensus::SimulationSettings& settings)
    {
        SimulatedCluster cluster(seed, voters, voters, settings);
        Random random(seed);
        (void)cluster.runUntil([&] { return cluster.leader().has_value(); }, limit);
        cluster.run(std::chrono::milliseconds(2000 + random.below(1000)));
        const TimePoint start = cluster.now();
        const std::uint64_t acked = cluster.ackedIndex();
        cluster.crash(cluster.leader().value());
        Outage outage;
        (void)cluster.runUntil([&] { return cluster.leader().has_value(); }, limit);
        outage.untilLeader = millisecondsBetween(start, cluster.now());
        (void)cluster.propose(cluster.leader().value());
        (void)cluster.runUntil([&] { return cluster.ackedIndex() > acked; }, limit);
        outage.untilCommit = millisecondsBetween(start, cluster.now());
        return outage;
    }

    void measure(std::uint64_t seeds, std::size_t voters, Duration delay, double loss)
    {
        consensus::SimulationSettings settings;
        settings.minDelay = delay;
        settings.maxDelay = delay + delay / 2;
        settings.lossChance = loss;
        std::vector<double> leader;
        std::vector<double> commit;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const Outage outage = measureKill(seed, voters, settings);
            leader.push_back(outage.untilLeader);
            commit.push_back(outage.untilCommit);
        }
        fmt::print("{:>6} {:>9.1f} {:>6.2f} {:>9.0f} {:>7.0f} {:>7.0f} {:>7.0f} {:>9.0f} {:>7.0f}\n", voters, millisecondsBetween(TimePoint {}, TimePoint(delay)), loss,
            quantile(leader, 0.5), quantile(leader, 0.95), quantile(leader, 0.99), quantile(leader, 1), quantile(commit, 0.5), quantile(commit, 1));
    }

}

int runElection(const Options& options)
{
    fmt::print("Milliseconds of virtual time after the leader is killed, {} runs each\n", options.seeds);
    fmt::print("{:>6} {:>9} {:>6} {:>9} {:>7} {:>7} {:>7} {:>9} {:>7}\n", "voters", "delay ms", "loss", "leader 50%", "95%", "99%", "max", "commit 50%", "max");
    for (const std::size_t voters : { 3, 5 }) {
        for (const int delay : { 1, 25, 100 })
            measure(options.seeds, voters, std::chrono::milliseconds(delay), 0);
        measure(options.seeds, voters, std::chrono::milliseconds(1), 0.05);
    }
    return 0;
}

}
