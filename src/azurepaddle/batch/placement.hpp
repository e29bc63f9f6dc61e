#pragma once

#include "azurepaddle/batch/prefix_cache.hpp"
#include "azurepaddle/batch/types.hpp"
#include "azurepaddle/core/clock.hpp"

#include <map>
#include <optional>
#include <vector>

namespace azurepaddle::batch {

/// From this slowness on, an endpoint is avoided by items that have a choice.
constexpr double slownessThreshold = 1.8;
/// From this lasting slowness on, long items may gain by a move to a faster endpoint.
constexpr double lastingSlownessThreshold = 1.12;
/// The same as a multiple of the lasting slowness of the fastest endpoint. Higher, because one endpoint is compared with
/// one other instead of with the median of all.
constexpr double lastingSpreadThreshold = 1.5;
/// Time to generate a token at the median endpoint, assumed until it is measured.
constexpr Duration defaultTokenTime = std::chrono::microseconds(700);

/// The state of an endpoint as input of the placement of items of one model.
struct EndpointLoad {
    EndpointId id;
    std::uint32_t slots = 1;
    std::uint32_t running = 0; ///< Items of all models, as counted by this instance.
    std::uint32_t longItems = 0; ///< Running items that determine when their steps end.
    WeightVersion version = 0; ///< Weight version of the model.
    SoftwareVersion software {};
    bool isLeaving = false; ///< Takes no new items until its end.
    bool isUsable = true; ///< Accepts new items of the model.
    double slowness = 1; ///< Current time per event relative to the median of all endpoints.
    double lastingSlowness = 1; ///< The same without slowdowns that pass, for example because its hardware is older.
    Duration slowFor {}; ///< How long it has been slower than its lasting speed.
    std::uint64_t startedMs = 0; ///< Identifies its incarnation.
    std::size_t connections = 0; ///< Open connections from this instance, in use and idle.

    friend bool operator==(const EndpointLoad&, const EndpointLoad&) = default;
};

/// Whether long items may gain by a move from an endpoint to a faster one, although it has no slowdown.
[[nodiscard]] constexpr bool isLastinglySlow(double lastingSlowness, double lowestLastingSlowness) noexcept
{
    return lastingSlowness >= lastingSlownessThreshold || lastingSlowness >= lastingSpreadThreshold * lowestLastingSlowness;
}

/// The output that an item has generated so far. Only endpoints with the same version of their software may continue it,
/// and on routes with a single weight version only those with the same weights.
struct HeldText {
    std::uint64_t tokens = 0;
    SoftwareVersion software;
    std::optional<WeightVersion> requiredVersion; ///< Version of its first tokens, if no other one may continue it.

    friend bool operator==(const HeldText&, const HeldText&) = default;
};

/// An item that is waiting for an endpoint.
struct WaitingItem {
    std::size_t index = 0; ///< Assigned by the caller and returned in the placement.
    GroupId group;
    bool isCarriedOver = false; ///< The submitter needs its group regardless of how many others are complete.
    std::uint64_t expectedTokens = 0; ///< Still to generate.
    bool isLong = false; ///< Much longer than the others of its job.
    WeightVersion minVersion = 0;
    std::optional<HeldText> held; ///< Empty if it has generated nothing.
    Duration waitingFor {}; ///< Time since it last ran.
    std::vector<PromptPart> prompt {}; ///< Empty if unknown.

    friend bool operator==(const WaitingItem&, const WaitingItem&) = default;
};

struct Placement {
    std::size_t index = 0;
    EndpointId endpoint;
    bool isRestart = false; ///< The endpoint cannot continue the output of the item, which starts again.
    bool isHeldBack = false; ///< Not to be sent yet: the endpoint is about to process the beginning of its prompt for another item.

    friend bool operator==(const Placement&, const Placement&) = default;
};

/// What is known about the prompts that endpoints hold for one model.
struct PromptKnowledge {
    const PrefixCache* cache = nullptr; ///< Null if nothing is known, because the memory of the endpoints is not configured.
    ModelName model;
    TimePoint now;
};

/// Assigns waiting items to free slots: carried-over groups first, then the longest items, because the last items of a
/// step determine when it ends. Endpoints with long items get few others.
///
/// An item whose prompt is known goes where it is expected to end first, including the time to process the part of its
/// prompt that the endpoint does not hold, the prices of doing so and of a new connection, and the delay of the items that
/// run there. If that part is about
/// to be processed there for an item that was just sent, the item is held back with its slot reserved, where this costs
/// less than processing the part twice. While fewer slots are free than items wait, an item may be
/// overtaken by one of similar length of whose prompt the endpoint holds more.
///
/// Other items go to the endpoint where they end first if they are long and otherwise to the least loaded one. Those of a
/// group share an endpoint where that costs little, so that their common prompt is processed once.
/// Items without a free slot are left out. `tokenTime` is the time to
/// generate a token at the median endpoint.
///
/// An item with output waits for an endpoint that can continue it for as long as it takes to generate that output again,
/// but for two seconds at most, and then starts again elsewhere. It starts again at once if all endpoints with its version
/// of the software have left.
[[nodiscard]] std::vector<Placement> placeItems(std::vector<WaitingItem> waiting, std::vector<EndpointLoad> endpoints, const std::map<GroupId, EndpointId>& lastEndpointOfGroup, Duration tokenTime = defaultTokenTime, const PromptKnowledge& prompts = {});

/// A running item that may be moved to another endpoint.
struct RunningItem {
    std::size_t index = 0;
    EndpointId endpoint;
    std::uint64_t expectedTokens = 0; ///< Still to generate.
    bool isLong = false; ///< Much longer than the others of its job.
    WeightVersion minVersion = 0;
    std::optional<HeldText> held; ///< Empty if it has generated nothing.
    Duration sinceStart {}; ///< Time since it started on its current endpoint.
    Duration sinceEvent {}; ///< Time since its last event.
    std::vector<PromptPart> prompt {}; ///< Empty if unknown.

    friend bool operator==(const RunningItem&, const RunningItem&) = default;
};

/// A move of a running item, with the expected times until its end that decide it.
struct Move : Placement {
    Duration ifStaying {};
    Duration ifMoved {}; ///< Includes the cost of the move.
};

/// Plans moves of items to free slots of endpoints that can continue their output and where they are expected to end
/// earlier, longest items first. The cost of a move is included: a connection, a part of an event, and the time and price
/// of processing the item's output and the part of its prompt that the target does not hold. A slowdown that has just begun is expected to pass
/// soon. An item moves right after an event, when no generated output is lost, unless its endpoint has almost stalled.
/// Items that end soon are not moved.
[[nodiscard]] std::vector<Move> planMoves(std::vector<RunningItem> running, std::vector<EndpointLoad> endpoints, Duration tokenTime = defaultTokenTime, const PromptKnowledge& prompts = {});

/// Plans moves of all these items from an endpoint that is about to pause to other usable endpoints; empty if there are
/// not enough free slots for all of them.
[[nodiscard]] std::vector<Placement> planEvacuation(std::vector<RunningItem> running, std::vector<EndpointLoad> endpoints);

}
