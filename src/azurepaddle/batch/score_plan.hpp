#pragma once

#include "azurepaddle/batch/types.hpp"

#include <cstddef>
#include <vector>

namespace azurepaddle::batch {

/// A reward call that is waiting to be sent.
struct WaitingScore {
    std::size_t index = 0; ///< Assigned by the caller and returned in the plan.
    GroupId group;
    bool isCarriedOver = false; ///< The submitter needs its group regardless of how many others are complete.
    std::uint64_t jobOrder = 0; ///< Position of the job in the order of acceptance.
    std::size_t pendingInGroup = 0; ///< Items of its group without a result, including this one.

    friend bool operator==(const WaitingScore&, const WaitingScore&) = default;
};

/// Capacity and current load of a reward service.
struct ScoreCapacity {
    std::size_t slots = 0; ///< Total slots of its usable endpoints.
    std::size_t inProgress = 0; ///< Reward calls of this instance in progress.

    friend bool operator==(const ScoreCapacity&, const ScoreCapacity&) = default;
};

/// Chooses the reward calls to send now, in the order of sending. Because a reward service may also serve callers, a
/// part of its slots is left free for them during bursts of reward calls. The oldest job comes first, within it
/// carried-over groups, then the groups closest to completion, because a group cannot be used before its last score.
[[nodiscard]] std::vector<std::size_t> planScores(std::vector<WaitingScore> waiting, const ScoreCapacity& capacity);

}
