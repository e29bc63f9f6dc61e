#pragma once

#include "baseline_front.hpp"
#include "service_front.hpp"

namespace azurepaddle::bench {

/// Runs one scenario on one deployment under one policy.
[[nodiscard]] Result runScenario(const DeploymentSpec& deployment, const ScenarioSpec& scenario, Policy policy, const RunOptions& options, const ServiceSettings& settings = {});

}
