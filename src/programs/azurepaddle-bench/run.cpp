#include "run.hpp"

#include "load.hpp"

namespace azurepaddle::bench {

namespace {

    template <typename FrontType, typename Argument>
    Result runWith(const DeploymentSpec& deployment, const ScenarioSpec& scenario, const RunOptions& options, const Argument& argument)
    {
        World world(deployment, scenario, options);
        Load load(world);
        Faults faults(world, load);
        FrontType front(world, argument);
        front.start();
        world.start();
        load.start();
        faults.start();
        world.simulator().run(options.seconds);
        load.complete();
        world.complete();
        return world.result();
    }

}

Result runScenario(const DeploymentSpec& deployment, const ScenarioSpec& scenario, Policy policy, const RunOptions& options, const ServiceSettings& settings)
{
    Result result = policy == Policy::Service ? runWith<ServiceFront>(deployment, scenario, options, settings)
                                              : runWith<BaselineFront>(deployment, scenario, options, policy);
    result.policy = policyName(policy);
    return result;
}

}
