#include "scenario.hpp"

namespace azurepaddle::bench {

namespace {

    EngineSpec plainEngine()
    {
        EngineSpec spec;
        spec.slots = 8;
        spec.baseSeconds = 0.01;
        return spec;
    }

    /// Application requests at 35 % of the capacity, from three tenants.
    std::vector<StreamSpec> shortStreams()
    {
        return { { "app-a", 0.15, 60, WorkClass::Short, {} }, { "app-b", 0.12, 60, WorkClass::Short, {} }, { "app-c", 0.08, 60, WorkClass::Short, 0 } };
    }

    std::vector<TrainerSpec> twoTrainers()
    {
        return { { "train-a" }, { "train-b" } };
    }

    ScenarioSpec base(std::string name)
    {
        ScenarioSpec scenario;
        scenario.name = std::move(name);
        scenario.streams = shortStreams();
        scenario.trainers = twoTrainers();
        return scenario;
    }

    ScenarioSpec greedy()
    {
        ScenarioSpec scenario;
        scenario.name = "greedy";
        scenario.streams = { { "greedy", 1.0, 60, WorkClass::Short, {} }, { "app-a", 0.3, 60, WorkClass::Short, {} },
            { "app-b", 0.3, 60, WorkClass::Short, {} }, { "app-c", 0.3, 60, WorkClass::Short, 0 } };
        scenario.measuresShares = true;
        return scenario;
    }

    ScenarioSpec everything()
    {
        ScenarioSpec scenario = base("everything");
        scenario.streams.push_back({ "app-a", 0.1, 1200, WorkClass::Long, {} });
        scenario.hasSlowdowns = true;
        scenario.hasStragglers = true;
        scenario.hasSwaps = true;
        scenario.hasCrashes = true;
        scenario.hasCrashingRequest = true;
        scenario.hasSilentConnections = true;
        return scenario;
    }

}

std::size_t DeploymentSpec::endpoints() const noexcept
{
    std::size_t total = 0;
    for (const ServiceSpec& service : services)
        total += service.endpoints;
    return total;
}

std::vector<DeploymentSpec> deployments()
{
    return {
        { "sk-west", 3, 7, 0.001, 0.001, { { "models", 12, {} }, { "plain", 3, plainEngine() } } },
        { "kwara", 4, 9, 0.0005, 0.003, { { "models", 11, {} }, { "plain", 4, plainEngine() } } },
    };
}

DeploymentSpec scaledDeployment(std::size_t endpoints, std::size_t instances)
{
    return { "scaled-" + std::to_string(endpoints), 4, instances, 0.001, 0.001, { { "models", endpoints, {} }, { "plain", 4, plainEngine() } } };
}

std::vector<ScenarioSpec> scenarios()
{
    std::vector<ScenarioSpec> result;
    ScenarioSpec shortOnly = base("short-only");
    shortOnly.trainers.clear();
    result.push_back(shortOnly);
    ScenarioSpec mixed = base("long-mixed");
    mixed.trainers.clear();
    mixed.streams.push_back({ "app-a", 0.25, 1200, WorkClass::Long, {} });
    result.push_back(mixed);
    result.push_back(base("steady"));
    result.push_back(base("slowdowns"));
    result.back().hasSlowdowns = true;
    result.push_back(greedy());
    result.push_back(base("stragglers"));
    result.back().hasStragglers = true;
    result.push_back(base("swap"));
    result.back().hasSwaps = true;
    result.push_back(base("crash"));
    result.back().hasCrashes = true;
    result.push_back(base("crashing-request"));
    result.back().hasCrashingRequest = true;
    result.push_back(base("silent"));
    result.back().hasSilentConnections = true;
    result.push_back(everything());
    return result;
}

}
