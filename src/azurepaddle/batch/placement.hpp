#pragma once

#include "azurepaddle/batch/types.hpp"
#include "azurepaddle/core/clock.hpp"

#include <map>
#include <optional>
#include <vector>

namespace azurepaddle::batch {

/// An endpoint this much slower than the median loses its items.
constexpr double slownessThreshold = 1.8;

/// An endpoint as the placement of items of one model sees it.
struct EndpointLoad {
    EndpointId id;
    std::uint32_t slots = 1;
    std::uint32_t running = 0; ///< Items of all models, by this instance's own count.
    std::uint32_t longItems = 0; ///< Those of them that decide when their steps end.
    WeightVersion version = 0; ///< Of the model in question.
    bool isUsable = true; ///< Takes new items of the model now.
    double slowness = 1; ///< Time per event against the median of all endpoints.

    friend bool operator==(const EndpointLoad&, const EndpointLoad&) = default;
};

/// An item that waits for an endpoint.
struct WaitingItem {
    std::size_t index = 0; ///< Chosen by the caller, repeated in the placement.
    GroupId group;
    bool isCarried = false; ///< Its submitter waits for its group, whatever other groups are complete.
    std::uint64_t expectedTokens = 0; ///< Still to generate.
    bool isLong = false; ///< Much longer than the others of its job.
    WeightVersion minVersion = 0;
    std::optional<WeightVersion> onlyVersion; ///< Must go on under the version that made its first tokens.

    friend bool operator==(const WaitingItem&, const WaitingItem&) = default;
};

struct Placement {
    std::size_t index = 0;
    EndpointId endpoint;

    friend bool operator==(const Placement&, const Placement&) = default;
};

/// Assigns waiting items to free slots: carried groups first, then the longest items, because the last items of a step
/// decide when it ends. Items go to the least loaded endpoint; items of a group stay together where that costs little,
/// so that their shared prompt is read once. Endpoints with long items get few others. Items without a free slot keep
/// waiting.
[[nodiscard]] std::vector<Placement> placeItems(std::vector<WaitingItem> waiting, std::vector<EndpointLoad> endpoints, const std::map<GroupId, EndpointId>& lastOfGroup);

/// A running item that could go on elsewhere.
struct RunningItem {
    std::size_t index = 0;
    EndpointId endpoint;
    std::uint64_t expectedTokens = 0; ///< Still to generate.
    bool isLong = false; ///< Much longer than the others of its job.
    WeightVersion minVersion = 0;
    std::optional<WeightVersion> onlyVersion;
    Duration sinceStart {}; ///< Time at its present endpoint.
    Duration sinceEvent {}; ///< Time since its last event.

    friend bool operator==(const RunningItem&, const RunningItem&) = default;
};

/// Moves items from endpoints that are much slower than the others to free slots of normal ones, the longest first. They
/// leave right after an event, when nothing that they generated is lost, unless the endpoint hardly goes on at all. Items
/// that end soon stay.
[[nodiscard]] std::vector<Placement> planMoves(std::vector<RunningItem> running, std::vector<EndpointLoad> endpoints);

/// Moves all these items of an endpoint that is about to pause to other usable endpoints; nothing if they do not fit.
[[nodiscard]] std::vector<Placement> planEvacuation(std::vector<RunningItem> running, std::vector<EndpointLoad> endpoints);

}
