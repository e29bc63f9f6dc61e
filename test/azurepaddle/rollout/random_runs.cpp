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

// Detects samples that are delivered twice, stale, with wrong labels or never. Messages are lost and reordered, owners
// change, the outcome of commits is unknown, and trainers are restored from checkpoints.
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
    cr_assert(resets > 0 && changes > 0 && voided > 0, "each kind of event must occur: got %lu resets, %lu owner changes, %lu voided groups", resets, changes, voided);
}
