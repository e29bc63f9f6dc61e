#include "azurepaddle/batch/score_plan.hpp"

#include <algorithm>
#include <tuple>

namespace azurepaddle::batch {

namespace {

    // Part of the slots of a reward service that reward calls may fill.
    constexpr double scoringShare = 0.7;

    std::size_t roomIn(const ScoreCapacity& capacity)
    {
        const auto most = std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(capacity.slots) * scoringShare));
        return capacity.slots == 0 || capacity.inProgress >= most ? 0 : most - capacity.inProgress;
    }

}

std::vector<std::size_t> planScores(std::vector<WaitingScore> waiting, const ScoreCapacity& capacity)
{
    std::stable_sort(waiting.begin(), waiting.end(), [](const WaitingScore& a, const WaitingScore& b) {
        return std::tuple(a.jobOrder, !a.isCarried, a.unlistedInGroup) < std::tuple(b.jobOrder, !b.isCarried, b.unlistedInGroup);
    });
    waiting.resize(std::min(waiting.size(), roomIn(capacity)));
    std::vector<std::size_t> chosen;
    chosen.reserve(waiting.size());
    for (const WaitingScore& score : waiting)
        chosen.push_back(score.index);
    return chosen;
}

}
