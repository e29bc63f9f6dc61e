#include "azurepaddle/batch/placement.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::batch;

namespace {

EndpointLoad endpoint(const std::string& id, std::uint32_t running = 0, WeightVersion version = 1)
{
    EndpointLoad load;
    load.id = EndpointId(id);
    load.slots = 4;
    load.running = running;
    load.version = version;
    return load;
}

WaitingItem waiting(std::size_t index, std::uint64_t tokens, const std::string& group = {})
{
    WaitingItem item;
    item.index = index;
    item.group = GroupId(group.empty() ? std::to_string(index) : group);
    item.expectedTokens = tokens;
    return item;
}

std::map<EndpointId, std::size_t> countByEndpoint(const std::vector<Placement>& placements)
{
    std::map<EndpointId, std::size_t> counts;
    for (const Placement& placement : placements)
        ++counts[placement.endpoint];
    return counts;
}

constexpr Duration longStay = std::chrono::seconds(2);

}

// Guards against the longest item of a step that starts last and decides when the step ends.
Test(Placement, fewSlots_manyItems_longestAndCarriedComeFirst)
{
    WaitingItem carried = waiting(2, 10);
    carried.isCarried = true;
    const auto placements = placeItems({ waiting(0, 100), waiting(1, 900), carried }, { endpoint("a", 2) }, {});
    cr_assert(placements.size() == 2);
    cr_assert(placements[0].index == 2);
    cr_assert(placements[1].index == 1);
}

// Guards against a step whose items queue at one endpoint while others have free slots.
Test(Placement, stepArrives_emptyEndpoints_spreadsEvenly)
{
    std::vector<WaitingItem> items;
    for (std::size_t i = 0; i < 8; ++i)
        items.push_back(waiting(i, 100));
    const auto counts = countByEndpoint(placeItems(items, { endpoint("a"), endpoint("b"), endpoint("c"), endpoint("d") }, {}));
    for (const auto& [id, count] : counts)
        cr_assert(count == 2);
}

// Guards against more items at an endpoint than it has slots: they would wait there without being able to go elsewhere.
Test(Placement, endpointsFull_itemsWait)
{
    cr_assert(placeItems({ waiting(0, 1) }, { endpoint("a", 4) }, {}).empty());
}

// Guards against tokens from weights that the submitter does not allow.
Test(Placement, oldWeights_itemNeedsNewer_isNotPlaced)
{
    WaitingItem item = waiting(0, 1);
    item.minVersion = 3;
    cr_assert(placeItems({ item }, { endpoint("a", 0, 2) }, {}).empty());
    cr_assert(placeItems({ item }, { endpoint("a", 0, 2), endpoint("b", 3, 3) }, {})[0].endpoint == EndpointId("b"));
}

// Guards against an item of a single version that goes on under another one.
Test(Placement, textOfOneVersion_goesOnOnlyUnderIt)
{
    WaitingItem item = waiting(0, 1);
    item.onlyVersion = 2;
    cr_assert(placeItems({ item }, { endpoint("a", 0, 3) }, {}).empty());
    cr_assert(placeItems({ item }, { endpoint("a", 0, 3), endpoint("b", 0, 2) }, {})[0].endpoint == EndpointId("b"));
}

// Guards against a step that ends late because short items crowd the endpoint of its longest one.
Test(Placement, longItemsOfStep_shortOnes_goToOtherEndpoints)
{
    std::vector<WaitingItem> items;
    for (std::size_t i = 0; i < 8; ++i)
        items.push_back(waiting(i, i < 2 ? 5000 : 500));
    items[0].isLong = true;
    items[1].isLong = true;
    const auto placements = placeItems(items, { endpoint("a"), endpoint("b"), endpoint("c"), endpoint("d") }, {});
    const auto counts = countByEndpoint(placements);
    cr_assert(placements[0].endpoint != placements[1].endpoint);
    cr_assert(counts.at(placements[0].endpoint) == 1 && counts.at(placements[1].endpoint) == 1);
}

// Guards against a shared prompt that is read again at each endpoint of a lightly loaded service.
Test(Placement, itemsOfOneGroup_lightLoad_shareAnEndpoint)
{
    const auto placements = placeItems({ waiting(0, 10, "g"), waiting(1, 9, "g") }, { endpoint("a"), endpoint("b") }, {});
    cr_assert(placements[0].endpoint == placements[1].endpoint);
}

// Guards against the longest items at an endpoint that is slow at this moment while others are not.
Test(Placement, noisyEndpoint_longItemsGoElsewhere)
{
    EndpointLoad noisy = endpoint("a");
    noisy.slowness = 2.5;
    const auto placements = placeItems({ waiting(0, 100), waiting(1, 900) }, { noisy, endpoint("b", 1) }, {});
    cr_assert(placements[0] == Placement({ 1, EndpointId("b") }));
}

// Guards against a step that waits for an item at a slowed endpoint while normal ones have free slots.
Test(Moves, endpointSlowed_longItemMoves_toFreeSlot)
{
    EndpointLoad slow = endpoint("a", 2);
    slow.slowness = 3;
    const std::vector<RunningItem> running { { 0, EndpointId("a"), 700, false, 0, std::nullopt, longStay, {} }, { 1, EndpointId("a"), 900, false, 0, std::nullopt, longStay, {} } };
    const auto moves = planMoves(running, { slow, endpoint("b", 3) });
    cr_assert(moves.size() == 1);
    cr_assert(moves[0] == Placement({ 1, EndpointId("b") }));
}

// Guards against items that are moved back and forth by noise.
Test(Moves, endpointsAlike_itemsStay)
{
    EndpointLoad noisy = endpoint("a", 1);
    noisy.slowness = 1.4;
    cr_assert(planMoves({ { 0, EndpointId("a"), 900, false, 0, std::nullopt, longStay, {} } }, { noisy, endpoint("b") }).empty());
    noisy.slowness = 3;
    cr_assert(planMoves({ { 0, EndpointId("a"), 900, false, 0, std::nullopt, std::chrono::milliseconds(50), {} } }, { noisy, endpoint("b") }).empty());
}

// Guards against moves that lose a half-made event, and against an item that waits at an endpoint that hardly goes on.
Test(Moves, endpointSlowed_itemWithinEvent_leavesOnlyIfStuck)
{
    EndpointLoad slow = endpoint("a", 1);
    slow.slowness = 2.5;
    const std::vector<RunningItem> running { { 0, EndpointId("a"), 900, false, 0, std::nullopt, longStay, std::chrono::milliseconds(80) } };
    cr_assert(planMoves(running, { slow, endpoint("b") }).empty());
    slow.slowness = 6;
    cr_assert(planMoves(running, { slow, endpoint("b") }).size() == 1);
}

// Guards against connections for items that end before the move pays off.
Test(Moves, endpointSlowed_itemEndsSoon_stays)
{
    EndpointLoad slow = endpoint("a", 1);
    slow.slowness = 3;
    cr_assert(planMoves({ { 0, EndpointId("a"), 100, false, 0, std::nullopt, longStay, {} } }, { slow, endpoint("b") }).empty());
}

// Guards against long items that all leave a slow endpoint for the same one.
Test(Moves, twoLongItems_leaveForDifferentEndpoints)
{
    EndpointLoad slow = endpoint("a", 2);
    slow.slowness = 3;
    const std::vector<RunningItem> running { { 0, EndpointId("a"), 900, true, 0, std::nullopt, longStay, {} }, { 1, EndpointId("a"), 900, true, 0, std::nullopt, longStay, {} } };
    const auto moves = planMoves(running, { slow, endpoint("b"), endpoint("c", 1) });
    cr_assert(moves.size() == 2);
    cr_assert(moves[0].endpoint != moves[1].endpoint);
}

// Guards against a load of weights that pauses items although there is room for them elsewhere.
Test(Evacuation, roomElsewhere_allItemsMove_orNone)
{
    const std::vector<RunningItem> running { { 0, EndpointId("a"), 100, false, 0, std::nullopt, longStay, {} }, { 1, EndpointId("a"), 50, false, 0, std::nullopt, longStay, {} } };
    const auto moves = planEvacuation(running, { endpoint("a", 2), endpoint("b", 3), endpoint("c", 3) });
    cr_assert(moves.size() == 2);
    cr_assert(countByEndpoint(moves).count(EndpointId("a")) == 0);
    cr_assert(planEvacuation(running, { endpoint("a", 2), endpoint("b", 3) }).empty());
}
