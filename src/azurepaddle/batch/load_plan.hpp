#pragma once

#include "azurepaddle/batch/types.hpp"

#include <map>
#include <optional>
#include <vector>

namespace azurepaddle::batch {

/// What an endpoint holds of one model.
struct HeldModel {
    WeightVersion version = 0;
    std::uint32_t running = 0; ///< Items of the model.

    friend bool operator==(const HeldModel&, const HeldModel&) = default;
};

/// An endpoint as the plan of weight loads sees it.
struct LoadTarget {
    EndpointId id;
    std::map<ModelName, HeldModel> models; ///< Those that it serves.
    std::optional<ModelName> loading; ///< The model of the order in progress. It carries out one at a time.
    bool isUsable = true; ///< Takes orders.

    friend bool operator==(const LoadTarget&, const LoadTarget&) = default;
};

/// What is wanted of one model.
struct DesiredVersion {
    WeightVersion version = 0; ///< The newest named one.
    bool areItemsWaiting = false; ///< Items of the model wait for a slot.

    friend bool operator==(const DesiredVersion&, const DesiredVersion&) = default;
};

/// An order to load the newest version.
struct Load {
    EndpointId endpoint;
    ModelName model;
    WeightVersion version = 0;

    friend bool operator==(const Load&, const Load&) = default;
};

/// Loads that one plan begins. Planning takes time for each endpoint and each load; the rest follows with the next plan.
constexpr std::size_t maxPlannedLoads = 16;

/// Loads at once, as a part of all endpoints. More of them slow each other down.
constexpr double loadingShare = 0.2;

/// Part of the endpoints that is brought to the newest version of each model, shared among the models: with a version
/// every 4 s for each model and loads of 0.9 s, loadingShare suffices for this much and some loads that are repeated.
constexpr double newestShare = 0.7;
/// The largest part for one model.
constexpr double largestShare = 0.5;

/// Chooses which endpoints load now. A step usually allows the newest version and the one before, so each version goes to
/// endpoints that hold an older one, and a running step keeps its endpoints: successive versions of a model take turns
/// over the endpoints. While items of a model wait and few endpoints load, those that are of no use to it load beyond its part.
[[nodiscard]] std::vector<Load> planLoads(std::vector<LoadTarget> targets, const std::map<ModelName, DesiredVersion>& wanted);

}
