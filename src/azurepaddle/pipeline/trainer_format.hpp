#pragma once

#include "azurepaddle/control/run_commands.hpp"
#include "azurepaddle/pipeline/error.hpp"
#include "azurepaddle/rollout/hand_off.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace azurepaddle::pipeline {

/// A trainer's pull with the time that it may wait.
struct TrainerPull {
    rollout::PullRequest request;
    Duration wait {};

    friend bool operator==(const TrainerPull&, const TrainerPull&) = default;
};

/// A trainer's announcement of a version.
struct TrainerVersion {
    WeightVersion version = 0;

    friend bool operator==(const TrainerVersion&, const TrainerVersion&) = default;
};

/// A trainer that was restored from a checkpoint.
struct TrainerReset {
    control::Sequence held = 0;
    WeightVersion version = 0;
    std::uint64_t step = 0;

    friend bool operator==(const TrainerReset&, const TrainerReset&) = default;
};

[[nodiscard]] PipelineResult<std::vector<control::GroupSpec>> parseGroups(std::string_view body);
[[nodiscard]] PipelineResult<TrainerPull> parsePull(std::string_view body);
[[nodiscard]] PipelineResult<TrainerVersion> parseVersion(std::string_view body);
[[nodiscard]] PipelineResult<TrainerReset> parseReset(std::string_view body);

/// The answer to a pull, or the error that it stands for.
[[nodiscard]] PipelineResult<std::string> pullBody(const rollout::PullReply& reply);

}
