#pragma once

#include "azurepaddle/control/run_commands.hpp"
#include "azurepaddle/pipeline/error.hpp"
#include "azurepaddle/rollout/hand_off.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace azurepaddle::pipeline {

/// A pull of a trainer and the time that it may wait for samples.
struct TrainerPull {
    rollout::PullRequest request;
    Duration maxWait {};

    friend bool operator==(const TrainerPull&, const TrainerPull&) = default;
};

/// The weight version that a trainer announces.
struct TrainerVersion {
    WeightVersion version = 0;

    friend bool operator==(const TrainerVersion&, const TrainerVersion&) = default;
};

/// A request to reset a run after its trainer was restored from a checkpoint.
struct TrainerReset {
    control::Sequence heldCursor = 0;
    WeightVersion version = 0;
    std::uint64_t step = 0;

    friend bool operator==(const TrainerReset&, const TrainerReset&) = default;
};

[[nodiscard]] PipelineResult<std::vector<control::GroupSpec>> parseGroups(std::string_view body);
[[nodiscard]] PipelineResult<TrainerPull> parsePull(std::string_view body);
[[nodiscard]] PipelineResult<TrainerVersion> parseVersion(std::string_view body);
[[nodiscard]] PipelineResult<TrainerReset> parseReset(std::string_view body);

/// Returns the JSON text of a reply to a pull, or the error that corresponds to its status.
[[nodiscard]] PipelineResult<std::string> formatPullReply(const rollout::PullReply& reply);

}
