#include "trainer.hpp"

#include <iostream>

namespace azurepaddle::standin {

namespace {

    template <typename T>
    po::typed_value<T>* valueOf(T& target)
    {
        return po::value(&target)->default_value(target);
    }

    void addTrainerOptions(po::options_description& options, TrainerOptions& trainer)
    {
        options.add_options()("run", po::value(&trainer.run)->required(), "name of the run");
        options.add_options()("service", po::value(&trainer.service), "service whose weights the trainer writes to the store");
        options.add_options()("store", po::value(&trainer.store), "ip:port of the weight store");
        options.add_options()("cursor-file", po::value(&trainer.cursorFile), "file with cursor and groups received; a trainer that is started again goes on from it");
        options.add_options()("prefix", valueOf(trainer.prefix), "prefix of group ids");
        options.add_options()("seed", valueOf(trainer.seed), "seed of prompts and lengths");
        options.add_options()("steps", valueOf(trainer.steps), "steps to consume");
        options.add_options()("step-groups", valueOf(trainer.stepGroups), "groups of a step");
        options.add_options()("group-size", valueOf(trainer.groupSize), "samples of a group");
        options.add_options()("steps-ahead", valueOf(trainer.stepsAhead), "steps whose groups are submitted ahead");
        options.add_options()("tokens", valueOf(trainer.tokens), "tokens of a sample");
        options.add_options()("long-fraction", valueOf(trainer.longFraction), "part of the groups with long samples");
        options.add_options()("long-tokens", valueOf(trainer.longTokens), "tokens of a long sample");
        options.add_options()("train-ms", valueOf(trainer.trainMs), "time of one update");
        options.add_options()("version-every-ms", valueOf(trainer.versionEveryMs), "interval of new weight versions");
        options.add_options()("first-version", valueOf(trainer.firstVersion), "weight version at start");
        options.add_options()("staleness", valueOf(trainer.staleness), "bound to check, in versions");
        options.add_options()("duration-ms", valueOf(trainer.durationMs), "longest run; 0 for no limit");
        options.add_options()("wait-ms", valueOf(trainer.waitMs), "how long an instance may hold a pull that finds nothing");
        options.add_options()("max-samples", valueOf(trainer.maxSamples), "samples asked for in one pull");
        options.add_options()("expect-scores", valueOf(trainer.expectsScores), "check the score of each sample");
    }

}

int runTrainer(const Arguments& arguments)
{
    TrainerOptions trainerOptions;
    InstanceOptions instances;
    po::options_description options;
    addInstanceOptions(options, instances, "token of the run's tenant; also in AZUREPADDLE_TOKEN");
    addTrainerOptions(options, trainerOptions);
    if (!parseArguments("trainer", options, arguments))
        return Success;
    const InstanceAccess access = toAccess(instances, "AZUREPADDLE_TOKEN");
    if (access.addresses.empty())
        throw po::error("the option '--instances' is required but missing");
    Trainer trainer(trainerOptions, access);
    trainer.run();
    std::cout << trainer.report().dump() << std::endl;
    return trainer.hasSucceeded() ? Success : ChecksFailed;
}

}
