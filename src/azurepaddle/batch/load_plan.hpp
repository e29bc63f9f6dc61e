#pragma once

#include "azurepaddle/batch/types.hpp"
#include "azurepaddle/core/clock.hpp"

#include <map>
#include <optional>
#include <vector>

namespace azurepaddle::batch {

/// An endpoint as the plan of weight loads sees it.
struct LoadTarget {
    EndpointId id;
    ModelName home; ///< The model it is kept up to date for.
    WeightVersion version = 0; ///< Of that model.
    std::uint32_t running = 0; ///< Items of that model.
    bool isLoading = false;
    bool isUsable = true; ///< Takes orders.

    friend bool operator==(const LoadTarget&, const LoadTarget&) = default;
};

/// What is wanted of one model.
struct WantedVersion {
    WeightVersion version = 0; ///< The newest named one.
    Duration age {}; ///< Since it was named.
    bool areItemsWaiting = false; ///< Items of the model wait for a slot.

    friend bool operator==(const WantedVersion&, const WantedVersion&) = default;
};

/// An order to load the newest version.
struct Load {
    EndpointId endpoint;
    ModelName model;
    WeightVersion version = 0;

    friend bool operator==(const Load&, const Load&) = default;
};

/// Loads at once, as a part of all endpoints. More of them slow each other down.
constexpr double loadingShare = 0.2;

/// Part of a model's endpoints that is brought to each newest version. The others hold the version before, which the
/// newest step allows too, and load the next one: so each version costs half of the loads, and items always find
/// endpoints that are not about to load.
constexpr double newestShare = 0.5;

/// Chooses which endpoints load now, until enough of a model's endpoints hold its newest version: those that are the most
/// versions behind, then those with the least running. Beyond that, idle endpoints load while no item waits, so that the
/// next step finds more of them.
[[nodiscard]] std::vector<Load> planLoads(std::vector<LoadTarget> targets, const std::map<ModelName, WantedVersion>& wanted);

/// Keeps each endpoint of a service assigned to one model, in equal parts, so that a new version is loaded by as few
/// endpoints as the model needs. Assignments change only where endpoints come or go.
class HomeAssignment {
public:
    struct Candidate {
        EndpointId id;
        std::map<std::string, WeightVersion> versions; ///< By model. A new assignment prefers the model it holds newest.
    };

    void update(const std::vector<Candidate>& endpoints, const std::vector<ModelName>& models);
    /// Empty if the endpoint is not assigned.
    [[nodiscard]] ModelName homeOf(const EndpointId& id) const;

private:
    [[nodiscard]] std::size_t countOf(const ModelName& model) const;
    [[nodiscard]] ModelName choose(const Candidate& endpoint, const std::vector<ModelName>& models, std::size_t share) const;
    void balance(const std::vector<ModelName>& models);

    std::map<EndpointId, ModelName> m_homes;
};

}
