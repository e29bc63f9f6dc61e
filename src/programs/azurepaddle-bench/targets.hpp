#pragma once

#include "run.hpp"

#include <string>
#include <vector>

namespace azurepaddle::bench {

/// The results of all scenarios and policies on one deployment.
struct DeploymentResults {
    DeploymentSpec deployment;
    std::vector<Result> results;

    [[nodiscard]] const Result* find(const std::string& scenario, Policy policy) const;
};

/// One target of the design page with the measured figure.
struct Target {
    std::string name;
    double figure = 0;
    double bound = 0;
    bool isUpperBound = true;
    bool isInformation = false; ///< Shows how far a target is within reach; not judged.

    [[nodiscard]] bool isMet() const noexcept { return isUpperBound ? figure <= bound : figure >= bound; }
};

/// The targets that the scenarios run so far allow to judge.
[[nodiscard]] std::vector<Target> judge(const DeploymentResults& results);

[[nodiscard]] std::string tableOf(const DeploymentResults& results);
/// The guarantees that the service broke, one line a scenario.
[[nodiscard]] std::string brokenText(const DeploymentResults& results);
[[nodiscard]] std::string targetText(const std::vector<Target>& targets);
[[nodiscard]] std::string jsonOf(const std::vector<DeploymentResults>& all, const RunOptions& options);
[[nodiscard]] std::string htmlOf(const std::vector<DeploymentResults>& all, const RunOptions& options);

}
