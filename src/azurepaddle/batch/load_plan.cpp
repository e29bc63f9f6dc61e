#include "azurepaddle/batch/load_plan.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace azurepaddle::batch {

namespace {

    /// Planning state of one model.
    struct Demand {
        ModelName model;
        DesiredVersion desired;
        std::size_t servingCount = 0; ///< Endpoints that serve the model.
        std::size_t upToDate = 0; ///< Endpoints that hold or load the newest version.
        std::size_t required = 0;
        bool isExhausted = false; ///< No endpoint can load the model in this plan.
    };

    /// Whether endpoints with this version can serve neither the current step nor the next one.
    bool isObsolete(WeightVersion version, const Demand& demand)
    {
        return version + 1 < demand.desired.version;
    }

    Demand demandOf(const ModelName& model, const DesiredVersion& desired, std::size_t models, const std::vector<LoadTarget>& targets)
    {
        Demand demand { model, desired };
        for (const LoadTarget& target : targets) {
            const auto found = target.models.find(model);
            if (found == target.models.end())
                continue;
            ++demand.servingCount;
            demand.upToDate += found->second.version >= desired.version || target.loading == model ? 1 : 0;
        }
        const double share = std::min(maxModelShare, newestVersionShare / static_cast<double>(models));
        demand.required = std::max<std::size_t>(1, static_cast<std::size_t>(std::lround(static_cast<double>(demand.servingCount) * share)));
        return demand;
    }

    /// Number of other models whose current step can use the endpoint.
    std::size_t countOtherUses(const LoadTarget& target, const Demand& demand, const std::vector<Demand>& demands)
    {
        return static_cast<std::size_t>(std::count_if(demands.begin(), demands.end(), [&](const Demand& other) {
            const auto held = target.models.find(other.model);
            return other.model != demand.model && held != target.models.end() && !isObsolete(held->second.version, other);
        }));
    }

    /// The endpoint whose load interrupts the least work, or null. Ties go to the endpoint that the fewest other models
    /// can use, so that the newest versions of the models are spread over different endpoints.
    LoadTarget* cheapestTarget(std::vector<LoadTarget>& targets, const Demand& demand, const std::vector<Demand>& demands, bool mayExceedShare)
    {
        LoadTarget* best = nullptr;
        const auto costOf = [&](const LoadTarget& target) {
            const HeldModel& held = target.models.at(demand.model);
            return std::tuple(!isObsolete(held.version, demand), held.running, countOtherUses(target, demand, demands));
        };
        for (LoadTarget& target : targets) {
            const auto held = target.models.find(demand.model);
            if (target.loading || !target.isUsable || held == target.models.end() || held->second.version >= demand.desired.version)
                continue;
            const bool isBeyondShare = demand.upToDate >= demand.required;
            const bool mayLoad = !isBeyondShare || (mayExceedShare && demand.desired.areItemsWaiting && isObsolete(held->second.version, demand));
            if (mayLoad && (!best || costOf(target) < costOf(*best)))
                best = &target;
        }
        return best;
    }

    /// The model with the lowest fraction of its required endpoints, those with waiting items first. Models that have
    /// reached their share come last. Null if no model can load.
    Demand* mostUrgent(std::vector<Demand>& demands)
    {
        Demand* mostUrgent = nullptr;
        const auto urgencyOf = [](const Demand& demand) {
            const double coverage = static_cast<double>(demand.upToDate) / static_cast<double>(std::max<std::size_t>(1, demand.required));
            return std::tuple(coverage >= 1, !demand.desired.areItemsWaiting, coverage);
        };
        for (Demand& demand : demands) {
            if (!demand.isExhausted && (!mostUrgent || urgencyOf(demand) < urgencyOf(*mostUrgent)))
                mostUrgent = &demand;
        }
        return mostUrgent;
    }

}

std::vector<Load> planLoads(std::vector<LoadTarget> targets, const std::map<ModelName, DesiredVersion>& desired)
{
    const auto limit = std::max<std::size_t>(1, static_cast<std::size_t>(std::lround(static_cast<double>(targets.size()) * maxLoadingShare)));
    auto loading = static_cast<std::size_t>(std::count_if(targets.begin(), targets.end(), [](const LoadTarget& target) { return target.loading.has_value(); }));
    std::vector<Demand> demands;
    demands.reserve(desired.size());
    for (const auto& [model, version] : desired)
        demands.push_back(demandOf(model, version, desired.size(), targets));
    std::vector<Load> loads;
    while (loading < limit && loads.size() < maxPlannedLoads) {
        Demand* demand = mostUrgent(demands);
        if (!demand)
            break;
        LoadTarget* target = cheapestTarget(targets, *demand, demands, loading < limit / 2);
        demand->isExhausted = !target;
        if (!target)
            continue;
        target->loading = demand->model;
        target->models[demand->model].version = demand->desired.version;
        ++demand->upToDate;
        ++loading;
        loads.push_back({ target->id, demand->model, demand->desired.version });
    }
    return loads;
}

}
