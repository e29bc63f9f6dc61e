#include "azurepaddle/batch/load_plan.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace azurepaddle::batch {

namespace {

    /// One model in a plan that is being made.
    struct Demand {
        ModelName model;
        DesiredVersion wanted;
        std::size_t serving = 0; ///< Endpoints that serve the model.
        std::size_t held = 0; ///< Those with the newest version.
        std::size_t needed = 0;
        bool isSettled = false; ///< No endpoint is left to load.
    };

    /// Endpoints with this version serve neither the present step nor the next one.
    bool isUseless(WeightVersion version, const Demand& demand)
    {
        return version + 1 < demand.wanted.version;
    }

    Demand demandOf(const ModelName& model, const DesiredVersion& wanted, std::size_t models, const std::vector<LoadTarget>& targets)
    {
        Demand demand { model, wanted };
        for (const LoadTarget& target : targets) {
            const auto found = target.models.find(model);
            if (found == target.models.end())
                continue;
            ++demand.serving;
            demand.held += found->second.version >= wanted.version || target.loading == model ? 1 : 0;
        }
        const double share = std::min(largestShare, newestShare / static_cast<double>(models));
        demand.needed = std::max<std::size_t>(1, static_cast<std::size_t>(std::lround(static_cast<double>(demand.serving) * share)));
        return demand;
    }

    /// Models other than this one whose present step can use the endpoint.
    std::size_t otherUses(const LoadTarget& target, const Demand& demand, const std::vector<Demand>& demands)
    {
        return static_cast<std::size_t>(std::count_if(demands.begin(), demands.end(), [&](const Demand& other) {
            const auto held = target.models.find(other.model);
            return other.model != demand.model && held != target.models.end() && !isUseless(held->second.version, other);
        }));
    }

    /// The endpoint whose load disturbs least, or null. Among equal ones, that which the fewest other models can use, so
    /// that the models do not crowd on the same endpoints.
    LoadTarget* bestTarget(std::vector<LoadTarget>& targets, const Demand& demand, const std::vector<Demand>& demands, bool mayExceedPart)
    {
        LoadTarget* best = nullptr;
        const auto costOf = [&](const LoadTarget& target) {
            const HeldModel& held = target.models.at(demand.model);
            return std::tuple(!isUseless(held.version, demand), held.running, otherUses(target, demand, demands));
        };
        for (LoadTarget& target : targets) {
            const auto held = target.models.find(demand.model);
            if (target.loading || !target.isUsable || held == target.models.end() || held->second.version >= demand.wanted.version)
                continue;
            const bool isBeyondPart = demand.held >= demand.needed;
            const bool mayLoad = !isBeyondPart || (mayExceedPart && demand.wanted.areItemsWaiting && isUseless(held->second.version, demand));
            if (mayLoad && (!best || costOf(target) < costOf(*best)))
                best = &target;
        }
        return best;
    }

    /// The model that is furthest from its part, those with waiting items first; null if none has to load.
    Demand* neediest(std::vector<Demand>& demands)
    {
        Demand* neediest = nullptr;
        const auto urgencyOf = [](const Demand& demand) {
            const double part = static_cast<double>(demand.held) / static_cast<double>(std::max<std::size_t>(1, demand.needed));
            return std::tuple(part >= 1, !demand.wanted.areItemsWaiting, part);
        };
        for (Demand& demand : demands) {
            if (!demand.isSettled && (!neediest || urgencyOf(demand) < urgencyOf(*neediest)))
                neediest = &demand;
        }
        return neediest;
    }

}

std::vector<Load> planLoads(std::vector<LoadTarget> targets, const std::map<ModelName, DesiredVersion>& wanted)
{
    const auto limit = std::max<std::size_t>(1, static_cast<std::size_t>(std::lround(static_cast<double>(targets.size()) * loadingShare)));
    auto loading = static_cast<std::size_t>(std::count_if(targets.begin(), targets.end(), [](const LoadTarget& target) { return target.loading.has_value(); }));
    std::vector<Demand> demands;
    demands.reserve(wanted.size());
    for (const auto& [model, version] : wanted)
        demands.push_back(demandOf(model, version, wanted.size(), targets));
    std::vector<Load> loads;
    while (loading < limit && loads.size() < maxPlannedLoads) {
        Demand* demand = neediest(demands);
        if (!demand)
            break;
        LoadTarget* target = bestTarget(targets, *demand, demands, loading < limit / 2);
        demand->isSettled = !target;
        if (!target)
            continue;
        target->loading = demand->model;
        target->models[demand->model].version = demand->wanted.version;
        ++demand->held;
        ++loading;
        loads.push_back({ target->id, demand->model, demand->wanted.version });
    }
    return loads;
}

}
