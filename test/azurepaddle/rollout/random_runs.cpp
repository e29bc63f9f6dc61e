#include "azurepaddle/rollout/simulation.hpp"

#include <criterion/criterion.h>
#include <cstdlib>

using namespace azurepaddle::rollout::test;

namespace {

std::uint64_t seedCount(std::uint64_t defaultCount)
{
    const char* const setting = std::getenv("AZUREPADDLE_SEEDS");
    return setting == nullptr ? defaultCount : std::strtoull(setting, nullptr, 10);
}

}

// Guards against a sample that reaches its trainer twice, too old, mislabelled or never, under lost and crossed messages,
// owner changes, commits of unknown fate and trainers restored from checkpoints.
Test(RunScheduler, randomRuns_simulated_deliverExactlyOnce)
{
    std::uint64_t resets = 0;
    std::uint64_t changes = 0;
    std::uint64_t voided = 0;
    for (std::uint64_t seed = 1; seed <= seedCount(200); ++seed) {
        Simulation simulation(seed, seed % 4 == 0);
        simulation.run();
        resets += simulation.resets();
        changes += simulation.ownerChanges();
        voided += simulation.voided();
    }
    cr_assert(resets > 0 && changes > 0 && voided > 0, "the runs met %lu resets, %lu owner changes, %lu voided groups", resets, changes, voided);
}
