#pragma once

#include "azurepaddle/batch/types.hpp"

#include <map>
#include <optional>
#include <vector>

namespace azurepaddle::batch {

/// A model that an endpoint serves: its loaded version and its running items.
struct HeldModel {
    WeightVersion version = 0;
    std::uint32_t running = 0; ///< Running items of the model.

    friend bool operator==(const HeldModel&, const HeldModel&) = default;
};

/// The state of an endpoint as input of the load plan.
struct LoadTarget {
    EndpointId id;
    std::map<ModelName, HeldModel> models; ///< Models that the endpoint serves.
    std::optional<ModelName> loading; ///< The model of the order in progress. An endpoint executes one order at a time.
    bool isUsable = true; ///< Accepts orders.

    friend bool operator==(const LoadTarget&, const LoadTarget&) = default;
};

/// The version to load of one model.
struct DesiredVersion {
    WeightVersion version = 0; ///< The newest published version.
    bool areItemsWaiting = false; ///< Items of the model are waiting for a slot.

    friend bool operator==(const DesiredVersion&, const DesiredVersion&) = default;
};

/// An order to load the newest version.
struct Load {
    EndpointId endpoint;
    ModelName model;
    WeightVersion version = 0;

    friend bool operator==(const Load&, const Load&) = default;
};

/// Maximum number of loads in one plan. The time to plan grows with the endpoints times the loads; further loads follow
/// with the next plan.
constexpr std::size_t maxPlannedLoads = 16;

/// Maximum fraction of the endpoints that load concurrently. More loads slow each other down.
constexpr double maxLoadingShare = 0.2;

/// Fraction of the endpoints to bring to the newest version, divided among the models: with a version every 4 s for
/// each model and loads of 0.9 s, maxLoadingShare is just enough for this fraction.
constexpr double newestVersionShare = 0.85;
/// Maximum fraction of the endpoints for the newest version of one model.
constexpr double maxModelShare = 0.5;

/// Chooses the endpoints that load now. A step usually allows the newest version and the previous one. Each version is
/// therefore loaded on endpoints with an older version, so that successive versions alternate between endpoints and a
/// running step keeps its own. While items of a model wait and few endpoints load, endpoints with an obsolete version
/// of it load beyond its share.
[[nodiscard]] std::vector<Load> planLoads(std::vector<LoadTarget> targets, const std::map<ModelName, DesiredVersion>& desired);

}
