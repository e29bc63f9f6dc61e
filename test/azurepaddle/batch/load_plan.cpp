#include "azurepaddle/batch/load_plan.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace azurepaddle;
using namespace azurepaddle::batch;

namespace {

const ModelName red("red");
const ModelName blue("blue");

LoadTarget target(const std::string& id, HeldModel heldRed, std::optional<HeldModel> heldBlue = std::nullopt)
{
    LoadTarget target;
    target.id = EndpointId(id);
    target.models[red] = heldRed;
    if (heldBlue)
        target.models[blue] = *heldBlue;
    return target;
}

/// Endpoints e0 to e9 that serve one model.
std::vector<LoadTarget> tenEndpoints(WeightVersion version, std::uint32_t running = 0)
{
    std::vector<LoadTarget> targets;
    for (int i = 0; i < 10; ++i)
        targets.push_back(target("e" + std::to_string(i), { version, running }));
    return targets;
}

std::map<ModelName, DesiredVersion> desired(WeightVersion version, bool areItemsWaiting = false)
{
    return { { red, { version, areItemsWaiting } } };
}

std::map<ModelName, DesiredVersion> desiredOfBoth(WeightVersion version)
{
    return { { red, { version, false } }, { blue, { version, false } } };
}

/// Executes planned loads until none is planned any more, and returns their number.
std::size_t loadAll(std::vector<LoadTarget>& targets, const std::map<ModelName, DesiredVersion>& versions)
{
    std::size_t count = 0;
    for (auto loads = planLoads(targets, versions); !loads.empty(); loads = planLoads(targets, versions)) {
        count += loads.size();
        for (const Load& load : loads) {
            const auto found = std::find_if(targets.begin(), targets.end(), [&](const LoadTarget& candidate) { return candidate.id == load.endpoint; });
            found->models[load.model].version = load.version;
        }
    }
    return count;
}

}

// Guards against loads that slow each other down because too many run concurrently.
Test(LoadPlan, manyEndpointsBehind_planned_loadsAFifthAtOnce)
{
    auto targets = tenEndpoints(1);
    cr_assert(planLoads(targets, desired(2)).size() == 2);
    targets[0].loading = red;
    targets[1].loading = red;
    cr_assert(planLoads(targets, desired(2)).empty());
}

// Guards against a load that interrupts a busy endpoint while an idle one keeps old weights.
Test(LoadPlan, idleAndBusyEndpoints_planned_idleComesFirst)
{
    const auto loads = planLoads({ target("a", { 1, 5 }), target("b", { 1, 0 }) }, desired(2));
    cr_assert(loads.size() == 1);
    cr_assert(loads[0] == Load({ EndpointId("b"), red, 2 }));
}

// Guards against an endpoint that stays two versions behind, so that no job can use it.
Test(LoadPlan, endpointFarBehind_planned_comesBeforeIdleOnes)
{
    const auto loads = planLoads({ target("a", { 1, 5 }), target("b", { 2, 0 }) }, desired(3));
    cr_assert(loads[0].endpoint == EndpointId("a"));
}

// Guards against a plan that replaces the newest version on all endpoints at once, which leaves no endpoint for the
// items of the next step.
Test(LoadPlan, halfHoldsNewest_itemsRun_othersKeepPreviousVersion)
{
    auto targets = tenEndpoints(2, 1);
    for (int i = 0; i < 5; ++i)
        targets[static_cast<std::size_t>(i)].models[red].version = 3;
    cr_assert(planLoads(targets, desired(3)).empty());
    const auto next = planLoads(targets, desired(4));
    cr_assert(next.size() == 2);
    for (const Load& load : next)
        cr_assert(load.endpoint >= EndpointId("e5"), "an endpoint that the next step can use was taken");
}

// Guards against loads that take endpoints from the running step. Successive versions of two models alternate between
// the endpoints, and each version is loaded only on endpoints that do not hold the previous one.
Test(LoadPlan, successiveVersions_planned_replaceOldestOnly)
{
    std::vector<LoadTarget> targets;
    for (int i = 0; i < 12; ++i)
        targets.push_back(target("e" + std::to_string(i), { 1, 0 }, HeldModel { 1, 0 }));
    for (WeightVersion version = 2; version <= 5; ++version) {
        cr_assert(loadAll(targets, desiredOfBoth(version)) == 10);
        for (const ModelName& model : { red, blue }) {
            const auto held = std::count_if(targets.begin(), targets.end(), [&](const LoadTarget& candidate) { return candidate.models.at(model).version + 1 >= version; });
            cr_assert(version == 2 || held == 10, "version %d: %d endpoints for the step", static_cast<int>(version), static_cast<int>(held));
        }
    }
}

// Guards against models whose newest versions are loaded on the same endpoints while others are idle, so that their
// steps share few slots.
Test(LoadPlan, twoModels_theirVersions_goToDifferentEndpoints)
{
    std::vector<LoadTarget> targets;
    for (int i = 0; i < 12; ++i)
        targets.push_back(target("e" + std::to_string(i), { 1, 0 }, HeldModel { 1, 0 }));
    loadAll(targets, desiredOfBoth(3));
    for (const LoadTarget& endpoint : targets)
        cr_assert(endpoint.models.at(red).version == 1 || endpoint.models.at(blue).version == 1, "one endpoint holds both versions");
}

// Guards against items that wait for slots while endpoints with obsolete versions are idle, and against loads beyond
// the share of a model that delay the loads of other models.
Test(LoadPlan, itemsWaiting_fewLoads_obsoleteEndpointsLoad)
{
    std::vector<LoadTarget> targets = tenEndpoints(3);
    for (std::size_t i = 5; i < 10; ++i)
        targets[i].models[red].version = 1;
    cr_assert(planLoads(targets, desired(3)).empty());
    cr_assert(planLoads(targets, desired(3, true)).size() == 1);
    targets[9].loading = red;
    cr_assert(planLoads(targets, desired(3, true)).empty());
}

// Guards against loads of versions that an endpoint holds already or that were not published.
Test(LoadPlan, endpointsUpToDate_planned_loadsNothing)
{
    cr_assert(planLoads({ target("a", { 2, 0 }, HeldModel { 3, 0 }) }, desiredOfBoth(2)).empty());
    cr_assert(planLoads({ target("a", { 1, 0 }) }, {}).empty());
}

// Guards against a second order to an endpoint, which executes one at a time.
Test(LoadPlan, endpointLoadsOtherModel_isNotOrdered)
{
    LoadTarget busy = target("a", { 1, 0 }, HeldModel { 1, 0 });
    busy.loading = blue;
    cr_assert(planLoads({ busy }, desiredOfBoth(2)).empty());
}

// Guards against a plan that blocks the leader for seconds when both models of 2,700 endpoints get a new version at
// once. Loads beyond the limit of one plan follow with the next plan.
Test(LoadPlan, manyEndpoints_planned_startsLimitedNumberOfLoads, .timeout = 20)
{
    std::vector<LoadTarget> targets;
    for (int i = 0; i < 2700; ++i)
        targets.push_back({ EndpointId("e" + std::to_string(i)), { { ModelName("m"), { 1, 0 } }, { ModelName("n"), { 1, 0 } } }, std::nullopt, true });
    const std::map<ModelName, DesiredVersion> desired { { ModelName("m"), { 2, true } }, { ModelName("n"), { 2, true } } };
    std::size_t begun = 0;
    for (int plan = 0; plan < 30; ++plan) {
        for (const Load& load : planLoads(targets, desired)) {
            const auto target = std::find_if(targets.begin(), targets.end(), [&](const LoadTarget& candidate) { return candidate.id == load.endpoint; });
            cr_assert(!target->loading);
            target->loading = load.model;
            ++begun;
        }
    }
    cr_assert(begun == 30 * maxPlannedLoads);
}
