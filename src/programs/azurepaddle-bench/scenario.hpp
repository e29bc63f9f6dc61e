#pragma once

#include "engine.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace azurepaddle::bench {

/// Endpoints of one service.
struct ServiceSpec {
    std::string name;
    std::size_t endpoints = 1;
    EngineSpec engine;
};

/// Size and delays of a deployment.
struct DeploymentSpec {
    std::string name;
    std::size_t dataCentres = 3;
    std::size_t instances = 7;
    double instanceDelay = 0.001; ///< Seconds, one way between data centres.
    double clientDelay = 0.001; ///< Seconds, one way between clients and instances.
    std::vector<ServiceSpec> services; ///< The model engines first, then a plain service.

    [[nodiscard]] std::size_t endpoints() const noexcept;
};

/// One open stream of application requests of a tenant.
struct StreamSpec {
    std::string tenant;
    double load = 0; ///< Fraction of the capacity of the model engines.
    double meanOutput = 60;
    WorkClass workClass = WorkClass::Short;
    std::optional<std::size_t> instance; ///< All callers reach this instance; spread over all if not set.
};

/// One trainer. The next step is generated while it trains.
struct TrainerSpec {
    std::string tenant;
    std::size_t samplesPerStep = 128;
    std::size_t groupSize = 8;
    double meanOutput = 300;
    double trainSeconds = 10; ///< Of one step.
    std::size_t stalenessBound = 2; ///< In versions.
};

/// Load and faults of a run.
struct ScenarioSpec {
    std::string name;
    std::vector<StreamSpec> streams;
    std::vector<TrainerSpec> trainers;
    double plainRate = 20; ///< Calls per second of the plain service, a quarter of them non-idempotent.
    bool hasSlowdowns = false;
    bool hasStragglers = false; ///< A few samples run eight times longer, up to their token limit.
    bool hasSwaps = false; ///< New weights with pauses and failures part way.
    bool hasCrashes = false;
    bool hasCrashingRequest = false; ///< Its caller sends it again and again.
    bool hasSilentConnections = false;
    bool measuresShares = false; ///< Every tenant is busy.
};

[[nodiscard]] std::vector<DeploymentSpec> deployments();

/// A deployment with this many endpoints and instances, for slopes.
[[nodiscard]] DeploymentSpec scaledDeployment(std::size_t endpoints, std::size_t instances);

[[nodiscard]] std::vector<ScenarioSpec> scenarios();

}
