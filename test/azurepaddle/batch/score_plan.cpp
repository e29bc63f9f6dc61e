#include "azurepaddle/batch/score_plan.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::batch;

namespace {

WaitingScore score(std::size_t index, const std::string& group, std::size_t pending, std::uint64_t jobOrder = 1)
{
    return { index, GroupId(group), false, jobOrder, pending };
}

}

// Guards against a burst of reward calls that uses all slots of the service and blocks its callers.
Test(ScorePlan, burstOfScores_planned_leavesSlotsToCallers)
{
    std::vector<WaitingScore> waiting;
    for (std::size_t index = 0; index < 100; ++index)
        waiting.push_back(score(index, "g", 8));
    const auto sent = planScores(waiting, { 20, 4 });
    cr_assert(sent.size() == 10);
    cr_assert(planScores(waiting, { 20, 14 }).empty());
}

// Guards against reward calls that are never sent to a service with one slot, and against calls to one without
// endpoints.
Test(ScorePlan, smallService_planned_sendsOneAtATime)
{
    cr_assert(planScores({ score(0, "g", 1), score(1, "g", 1) }, { 1, 0 }).size() == 1);
    cr_assert(planScores({ score(0, "g", 1) }, { 1, 1 }).empty());
    cr_assert(planScores({ score(0, "g", 1) }, { 0, 0 }).empty());
}

// Guards against scores that are spread over all groups when many texts are complete and the service is almost full, so
// that no group completes in time.
Test(ScorePlan, manyGroups_planned_nearlyCompleteOnesFirst)
{
    const std::vector<WaitingScore> waiting { score(0, "far", 8), score(1, "near", 2), score(2, "far", 8), score(3, "near", 2), score(4, "late", 1, 2) };
    cr_assert(planScores(waiting, { 10, 4 }) == std::vector<std::size_t>({ 1, 3, 0 }));
}

// Guards against a carried-over group, which its trainer needs in any case, being scored last.
Test(ScorePlan, carriedOverGroup_planned_beforeOthers)
{
    std::vector<WaitingScore> waiting { score(0, "new", 1), score(1, "carried", 8) };
    waiting[1].isCarriedOver = true;
    cr_assert(planScores(waiting, { 2, 0 }) == std::vector<std::size_t>({ 1 }));
}
