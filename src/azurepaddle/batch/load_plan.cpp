#include "azurepaddle/batch/load_plan.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace azurepaddle::batch {

namespace {

    /// How many more endpoints of a model have to load its newest version, besides those that do so now.
    std::size_t missingOf(const std::vector<LoadTarget>& targets, const ModelName& model, WeightVersion newest)
    {
        std::size_t endpoints = 0;
        std::size_t held = 0;
        for (const LoadTarget& target : targets) {
            if (target.home != model)
                continue;
            ++endpoints;
            held += target.version >= newest || target.isLoading ? 1 : 0;
        }
        const auto needed = static_cast<std::size_t>(std::ceil(static_cast<double>(endpoints) * newestShare));
        return needed > held ? needed - held : 0;
    }

}

std::vector<Load> planLoads(std::vector<LoadTarget> targets, const std::map<ModelName, WantedVersion>& wanted)
{
    const auto wantedOf = [&](const LoadTarget& target) {
        const auto found = wanted.find(target.home);
        return found == wanted.end() ? WeightVersion { 0 } : found->second.version;
    };
    const auto limit = std::max<std::size_t>(1, static_cast<std::size_t>(std::lround(static_cast<double>(targets.size()) * loadingShare)));
    auto loading = static_cast<std::size_t>(std::count_if(targets.begin(), targets.end(), [](const LoadTarget& target) { return target.isLoading; }));
    std::map<ModelName, std::size_t> missing; // Endpoints that have to load the newest version of a model.
    for (const auto& [model, version] : wanted)
        missing[model] = missingOf(targets, model, version.version);
    std::erase_if(targets, [&](const LoadTarget& target) { return target.isLoading || !target.isUsable || target.version >= wantedOf(target); });
    std::stable_sort(targets.begin(), targets.end(), [&](const LoadTarget& a, const LoadTarget& b) {
        const WeightVersion behindA = wantedOf(a) - a.version;
        const WeightVersion behindB = wantedOf(b) - b.version;
        return behindA != behindB ? behindA > behindB : a.running < b.running;
    });
    std::vector<Load> loads;
    for (const LoadTarget& target : targets) {
        const bool isUseless = target.version + 1 < wantedOf(target);
        const bool isIdle = target.running == 0 && (isUseless || !wanted.at(target.home).areItemsWaiting);
        std::size_t& left = missing[target.home];
        if (loading >= limit || (left == 0 && !isIdle))
            continue;
        left -= std::min<std::size_t>(left, 1);
        ++loading;
        loads.push_back({ target.id, target.home, wantedOf(target) });
    }
    return loads;
}

void HomeAssignment::update(const std::vector<Candidate>& endpoints, const std::vector<ModelName>& models)
{
    std::set<EndpointId> present;
    for (const Candidate& endpoint : endpoints)
        present.insert(endpoint.id);
    std::erase_if(m_homes, [&](const auto& entry) {
        return !present.contains(entry.first) || std::find(models.begin(), models.end(), entry.second) == models.end();
    });
    if (models.empty())
        return;
    const std::size_t share = (endpoints.size() + models.size() - 1) / models.size();
    for (const Candidate& endpoint : endpoints) {
        if (!m_homes.contains(endpoint.id))
            m_homes[endpoint.id] = choose(endpoint, models, share);
    }
    balance(models);
}

ModelName HomeAssignment::homeOf(const EndpointId& id) const
{
    const auto found = m_homes.find(id);
    return found == m_homes.end() ? ModelName() : found->second;
}

std::size_t HomeAssignment::countOf(const ModelName& model) const
{
    return static_cast<std::size_t>(std::count_if(m_homes.begin(), m_homes.end(), [&](const auto& entry) { return entry.second == model; }));
}

ModelName HomeAssignment::choose(const Candidate& endpoint, const std::vector<ModelName>& models, std::size_t share) const
{
    const ModelName* best = nullptr;
    const auto versionOf = [&](const ModelName& model) {
        const auto found = endpoint.versions.find(model.value());
        return found == endpoint.versions.end() ? WeightVersion { 0 } : found->second;
    };
    for (const ModelName& model : models) {
        if (countOf(model) >= share)
            continue;
        const bool isBetter = !best || versionOf(model) > versionOf(*best) || (versionOf(model) == versionOf(*best) && countOf(model) < countOf(*best));
        if (isBetter)
            best = &model;
    }
    return best ? *best : models.front();
}

void HomeAssignment::balance(const std::vector<ModelName>& models)
{
    for (std::size_t moves = 0; moves < m_homes.size(); ++moves) {
        const auto byCount = [&](const ModelName& a, const ModelName& b) { return countOf(a) < countOf(b); };
        const ModelName& fewest = *std::min_element(models.begin(), models.end(), byCount);
        const ModelName& most = *std::max_element(models.begin(), models.end(), byCount);
        if (countOf(most) < countOf(fewest) + 2)
            return;
        const auto moved = std::find_if(m_homes.begin(), m_homes.end(), [&](const auto& entry) { return entry.second == most; });
        moved->second = fewest;
    }
}

}
