#include "azurepaddle/batch/score_plan.hpp"

#include <algorithm>
#include <tuple>

namespace azurepaddle::batch {

namespace {

    // Maximum fraction of the slots of a reward service that reward calls may use.
    constexpr double maxScoringShare = 0.7;

    std::size_t freeSlots(const ScoreCapacity& capacity)
    {
        const auto limit = std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(capacity.slots) * maxScoringShare));
        return capacity.slots == 0 || capacity.inProgress >= limit ? 0 : limit - capacity.inProgress;
    }

}

std::vector<std::size_t> planScores(std::vector<WaitingScore> waiting, const ScoreCapacity& capacity)
{
    std::stable_sort(waiting.begin(), waiting.end(), [](const WaitingScore& a, const WaitingScore& b) {
        return std::tuple(a.jobOrder, !a.isCarriedOver, a.pendingInGroup) < std::tuple(b.jobOrder, !b.isCarriedOver, b.pendingInGroup);
    });
    waiting.resize(std::min(waiting.size(), freeSlots(capacity)));
    std::vector<std::size_t> chosen;
    chosen.reserve(waiting.size());
    for (const WaitingScore& score : waiting)
        chosen.push_back(score.index);
    return chosen;
}

}
