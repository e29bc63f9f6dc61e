#pragma once

#include "azurepaddle/batch/types.hpp"

#include <cstddef>
#include <vector>

namespace azurepaddle::batch {

/// A reward call that waits to be sent.
struct WaitingScore {
    std::size_t index = 0; ///< Chosen by the caller, repeated in the plan.
    GroupId group;
    bool isCarried = false; ///< Its submitter waits for its group, whatever other groups are complete.
    std::uint64_t jobOrder = 0; ///< Lower for jobs that were accepted earlier.
    std::size_t unlistedInGroup = 0; ///< Items of its group that have no result yet, this one included.

    friend bool operator==(const WaitingScore&, const WaitingScore&) = default;
};

/// What a reward service can take.
struct ScoreCapacity {
    std::size_t slots = 0; ///< Of its usable endpoints.
    std::size_t inProgress = 0; ///< Reward calls of this instance.

    friend bool operator==(const ScoreCapacity&, const ScoreCapacity&) = default;
};

/// Chooses the reward calls to send now, in their order. A service often answers callers too: bursts of reward calls
/// leave a part of its slots to them. Where calls have to wait, the oldest job goes first, and within it the groups that
/// their submitter waits for in any case, then those closest to complete, because a group is worth nothing before its
/// last score.
[[nodiscard]] std::vector<std::size_t> planScores(std::vector<WaitingScore> waiting, const ScoreCapacity& capacity);

}
