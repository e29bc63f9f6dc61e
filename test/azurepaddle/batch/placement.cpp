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
    load.software = SoftwareVersion("v1");
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

/// An item that has generated a text with software v1.
WaitingItem begun(std::uint64_t heldTokens)
{
    WaitingItem item = waiting(0, 500);
    item.held = HeldText { heldTokens, SoftwareVersion("v1"), std::nullopt };
    return item;
}

EndpointLoad endpointWithSoftware(const std::string& id, const std::string& software, std::uint32_t running = 0)
{
    EndpointLoad load = endpoint(id, running);
    load.software = SoftwareVersion(software);
    return load;
}

std::map<EndpointId, std::size_t> countByEndpoint(const std::vector<Placement>& placements)
{
    std::map<EndpointId, std::size_t> counts;
    for (const Placement& placement : placements)
        ++counts[placement.endpoint];
    return counts;
}

/// Prompts of 1000 tokens that a group shares and 20 of the item.
std::vector<PromptPart> promptOf(std::uint64_t group, std::uint64_t item)
{
    return { { group, 1000 }, { 1000 + item, 20 } };
}

WaitingItem waitingWithPrompt(std::size_t index, std::uint64_t tokens, std::uint64_t group)
{
    WaitingItem item = waiting(index, tokens, std::to_string(group));
    item.prompt = promptOf(group, index);
    return item;
}

/// A cache in which the endpoint holds the prompt of an item of a group.
struct Knowledge {
    PrefixCache cache;
    std::uint64_t lastRun = 0;

    Knowledge& send(const std::string& id, std::uint64_t group)
    {
        cache.recordSent(++lastRun, { EndpointId(id), 0, ModelName("m"), 1 }, 100'000, promptOf(group, 900), 0, {});
        return *this;
    }

    Knowledge& hold(const std::string& id, std::uint64_t group)
    {
        send(id, group);
        cache.recordBegun(lastRun, 1);
        return *this;
    }

    std::vector<Placement> place(const std::vector<WaitingItem>& items, const std::vector<EndpointLoad>& endpoints) const
    {
        return placeItems(items, endpoints, {}, defaultTokenTime, { &cache, ModelName("m"), {} });
    }
};

constexpr Duration longStay = std::chrono::seconds(2);

}

// Guards against the longest item of a step that starts last and delays the end of the step.
Test(Placement, fewSlots_manyItems_carriedOverAndLongestComeFirst)
{
    WaitingItem carriedOver = waiting(2, 10);
    carriedOver.isCarriedOver = true;
    const auto placements = placeItems({ waiting(0, 100), waiting(1, 900), carriedOver }, { endpoint("a", 2) }, {});
    cr_assert(placements.size() == 2);
    cr_assert(placements[0].index == 2);
    cr_assert(placements[1].index == 1);
}

// Guards against items that are all placed on one endpoint while others have free slots.
Test(Placement, stepArrives_emptyEndpoints_spreadsEvenly)
{
    std::vector<WaitingItem> items;
    for (std::size_t i = 0; i < 8; ++i)
        items.push_back(waiting(i, 100));
    const auto counts = countByEndpoint(placeItems(items, { endpoint("a"), endpoint("b"), endpoint("c"), endpoint("d") }, {}));
    for (const auto& [id, count] : counts)
        cr_assert(count == 2);
}

// Guards against more items on an endpoint than it has slots. They would queue there and could not start elsewhere.
Test(Placement, endpointsFull_itemsWait)
{
    cr_assert(placeItems({ waiting(0, 1) }, { endpoint("a", 4) }, {}).empty());
}

// Guards against tokens from weights older than the submitter allows.
Test(Placement, oldWeights_itemNeedsNewer_isNotPlaced)
{
    WaitingItem item = waiting(0, 1);
    item.minVersion = 3;
    cr_assert(placeItems({ item }, { endpoint("a", 0, 2) }, {}).empty());
    cr_assert(placeItems({ item }, { endpoint("a", 0, 2), endpoint("b", 3, 3) }, {})[0].endpoint == EndpointId("b"));
}

// Guards against an item of a single-version job that continues with another version.
Test(Placement, singleVersionItem_placed_keepsItsVersion)
{
    WaitingItem item = waiting(0, 1);
    item.held = HeldText { 1000, SoftwareVersion("v1"), 2 };
    cr_assert(placeItems({ item }, { endpoint("a", 0, 3) }, {}).empty());
    cr_assert(placeItems({ item }, { endpoint("a", 0, 3), endpoint("b", 0, 2) }, {})[0].endpoint == EndpointId("b"));
}

// Guards against an item that continues at an endpoint with other software although one with its own has room.
Test(Placement, begunItem_twoSoftwareVersions_keepsItsOwn)
{
    const auto placements = placeItems({ begun(500) }, { endpointWithSoftware("a", "v2"), endpointWithSoftware("b", "v1", 3) }, {});
    cr_assert(placements == std::vector<Placement>({ { 0, EndpointId("b"), false } }));
}

// Guards against an item that waits for software which no endpoint runs any more.
Test(Placement, begunItem_softwareHasLeft_startsAgain)
{
    EndpointLoad leaving = endpointWithSoftware("b", "v1");
    leaving.isLeaving = true;
    leaving.isUsable = false;
    const auto placements = placeItems({ begun(5000) }, { endpointWithSoftware("a", "v2"), leaving }, {});
    cr_assert(placements == std::vector<Placement>({ { 0, EndpointId("a"), true } }));
}

// Guards against an item that waits for the last endpoint with its software longer than its output is worth.
Test(Placement, begunItem_softwareIsBusy_waitsAsLongAsItsTextIsWorth)
{
    const std::vector<EndpointLoad> endpoints { endpointWithSoftware("a", "v2"), endpointWithSoftware("b", "v1", 4) };
    WaitingItem item = begun(1000);
    item.waitingFor = defaultTokenTime * 999;
    cr_assert(placeItems({ item }, endpoints, {}).empty());
    item.waitingFor = defaultTokenTime * 1000;
    cr_assert(placeItems({ item }, endpoints, {}) == std::vector<Placement>({ { 0, EndpointId("a"), true } }));
}

// Guards against an item with much output that is at no endpoint for many seconds while others have room.
Test(Placement, begunItemWithLongText_softwareIsBusy_waitIsBounded)
{
    const std::vector<EndpointLoad> endpoints { endpointWithSoftware("a", "v2"), endpointWithSoftware("b", "v1", 4) };
    WaitingItem item = begun(1'000'000);
    item.waitingFor = std::chrono::milliseconds(1900);
    cr_assert(placeItems({ item }, endpoints, {}).empty());
    item.waitingFor = std::chrono::milliseconds(2100);
    cr_assert(placeItems({ item }, endpoints, {}).size() == 1);
}

// Guards against a move that discards output: the other endpoint is faster but runs other software.
Test(Moves, fasterEndpointRunsOtherSoftware_itemStays)
{
    EndpointLoad slow = endpointWithSoftware("a", "v1", 1);
    slow.slowness = slow.lastingSlowness = 5;
    RunningItem item;
    item.endpoint = EndpointId("a");
    item.expectedTokens = 5000;
    item.sinceStart = longStay;
    item.held = HeldText { 100, SoftwareVersion("v1"), std::nullopt };
    cr_assert(planMoves({ item }, { slow, endpointWithSoftware("b", "v2") }).empty());
    cr_assert(planMoves({ item }, { slow, endpointWithSoftware("b", "v1") }).size() == 1);
}

// Guards against a step that ends late because short items share the endpoint of its longest item.
Test(Placement, longAndShortItems_placed_onDifferentEndpoints)
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

// Guards against a common prompt that is processed on several endpoints of a lightly loaded service.
Test(Placement, itemsOfOneGroup_lightLoad_shareAnEndpoint)
{
    const auto placements = placeItems({ waiting(0, 10, "g"), waiting(1, 9, "g") }, { endpoint("a"), endpoint("b") }, {});
    cr_assert(placements[0].endpoint == placements[1].endpoint);
}

// Guards against the longest items being placed on an endpoint that is slow at the moment.
Test(Placement, slowEndpoint_longItem_isPlacedElsewhere)
{
    EndpointLoad noisy = endpoint("a");
    noisy.slowness = 2.5;
    const auto placements = placeItems({ waiting(0, 100), waiting(1, 900) }, { noisy, endpoint("b", 1) }, {});
    cr_assert(placements[0] == Placement({ 1, EndpointId("b") }));
}

// Guards against a long item that starts on an empty endpoint which is lastingly slower and ends there seconds later
// than beside a few items on a fast one.
Test(Placement, longItem_fleetOfTwoSpeeds_goesToFastEndpoint)
{
    EndpointLoad older = endpoint("a");
    older.lastingSlowness = 1.3;
    older.slowness = 1.3;
    WaitingItem item = waiting(0, 8000);
    item.isLong = true;
    cr_assert(placeItems({ item }, { older, endpoint("b", 2) }, {})[0].endpoint == EndpointId("b"));
    cr_assert(placeItems({ waiting(0, 300) }, { older, endpoint("b", 2) }, {})[0].endpoint == EndpointId("a"), "a short item took a place on the fast endpoint");
}

// Guards against the first item of a group that is placed without regard to where the beginning of its prompt is held.
Test(PlacementWithPrompts, firstItemOfGroup_goesWhereItsPromptIsHeld)
{
    Knowledge knowledge;
    knowledge.hold("b", 1);
    const std::vector<EndpointLoad> endpoints { endpoint("a"), endpoint("b", 2) };
    cr_assert(knowledge.place({ waitingWithPrompt(0, 400, 1) }, endpoints).front().endpoint == EndpointId("b"));
    cr_assert(placeItems({ waitingWithPrompt(0, 400, 1) }, endpoints, {}).front().endpoint == EndpointId("a"), "the former rule finds it too, so this test shows no gain");
}

// Guards against a held prompt that draws items to an endpoint where they end later than with the prompt processed again.
Test(PlacementWithPrompts, promptHeldAtSlowFullOrReservedEndpoint_itemGoesElsewhere)
{
    Knowledge knowledge;
    knowledge.hold("a", 1);
    EndpointLoad older = endpoint("a");
    older.slowness = older.lastingSlowness = 1.3;
    cr_assert(knowledge.place({ waitingWithPrompt(0, 400, 1) }, { older, endpoint("b") }).front().endpoint == EndpointId("b"));
    cr_assert(knowledge.place({ waitingWithPrompt(0, 400, 1) }, { endpoint("a", 4), endpoint("b") }).front().endpoint == EndpointId("b"));
    EndpointLoad reserved = endpoint("a", 1);
    reserved.longItems = 1;
    cr_assert(knowledge.place({ waitingWithPrompt(0, 800, 1) }, { reserved, endpoint("b") }).front().endpoint == EndpointId("b"));
}

// Guards against items that stay with their group although its prompt is so short that they end earlier elsewhere.
Test(PlacementWithPrompts, shortPrompt_itemsSpread)
{
    WaitingItem item = waiting(0, 900, "g");
    item.prompt = { { 1, 40 }, { 2, 20 } };
    Knowledge knowledge;
    knowledge.hold("a", 1);
    cr_assert(knowledge.place({ item }, { endpoint("a", 2), endpoint("b") }).front().endpoint == EndpointId("b"));
    cr_assert(placeItems({ item }, { endpoint("a", 2), endpoint("b") }, { { GroupId("g"), EndpointId("a") } }).front().endpoint == EndpointId("a"), "the former rule spreads them too, so this test shows no gain");
}

// Guards against items of a group that start at once on one endpoint, which then processes their prompt for each of them.
Test(PlacementWithPrompts, groupStartsAtOnce_othersWaitUntilTheFirstHasBegun)
{
    Knowledge knowledge;
    const std::vector<EndpointLoad> endpoints { endpoint("a"), endpoint("b") };
    const auto placements = knowledge.place({ waitingWithPrompt(0, 400, 1), waitingWithPrompt(1, 390, 1) }, endpoints);
    cr_assert(placements.size() == 2);
    cr_assert(!placements[0].isHeldBack);
    cr_assert(placements[1].isHeldBack && placements[1].endpoint == placements[0].endpoint);
    cr_assert(knowledge.send("a", 1).place({ waitingWithPrompt(1, 390, 1) }, endpoints).front().isHeldBack);
    cr_assert(!knowledge.hold("a", 1).place({ waitingWithPrompt(1, 390, 1) }, endpoints).front().isHeldBack);
}

// Guards against an item that waits for another one's prompt although processing its own takes less time.
Test(PlacementWithPrompts, shortPromptIsStarting_itemIsNotHeldBack)
{
    WaitingItem first = waiting(0, 400, "g");
    first.prompt = { { 1, 100 }, { 2, 20 } };
    WaitingItem second = waiting(1, 390, "g");
    second.prompt = { { 1, 100 }, { 3, 20 } };
    for (const Placement& placement : Knowledge().place({ first, second }, { endpoint("a") }))
        cr_assert(!placement.isHeldBack);
}

// Guards against the only free slot going to an item whose prompt is not held while one of the same length fits there.
Test(PlacementWithPrompts, oneFreeSlot_itemWithHeldPromptOvertakes)
{
    Knowledge knowledge;
    knowledge.hold("a", 2);
    WaitingItem longer = waitingWithPrompt(0, 400, 1);
    cr_assert(knowledge.place({ longer, waitingWithPrompt(1, 390, 2) }, { endpoint("a", 3) }) == std::vector<Placement>({ { 1, EndpointId("a") } }));
    cr_assert(placeItems({ longer, waitingWithPrompt(1, 390, 2) }, { endpoint("a", 3) }, {}).front().index == 0);
}

// Guards against items that are overtaken again and again, or by items after which the step ends later.
Test(PlacementWithPrompts, itemWaitsLongOrIsUrgentOrLonger_isNotOvertaken)
{
    Knowledge knowledge;
    knowledge.hold("a", 2);
    const auto firstOf = [&](const WaitingItem& item) { return knowledge.place({ item, waitingWithPrompt(1, 390, 2) }, { endpoint("a", 3) }).front().index; };
    WaitingItem old = waitingWithPrompt(0, 400, 1);
    old.waitingFor = std::chrono::seconds(3);
    cr_assert(firstOf(old) == 0);
    WaitingItem carriedOver = waitingWithPrompt(0, 400, 1);
    carriedOver.isCarriedOver = true;
    cr_assert(firstOf(carriedOver) == 0);
    WaitingItem isLong = waitingWithPrompt(0, 400, 1);
    isLong.isLong = true;
    cr_assert(firstOf(isLong) == 0);
    cr_assert(firstOf(waitingWithPrompt(0, 800, 1)) == 0);
}

// Guards against a new connection for an item that ends as soon at an endpoint with an idle connection.
Test(PlacementWithPrompts, oneEndpointHasIdleConnection_itemGoesThere)
{
    EndpointLoad connected = endpoint("b", 1);
    connected.connections = 2;
    const Knowledge knowledge;
    cr_assert(knowledge.place({ waitingWithPrompt(0, 400, 1) }, { endpoint("a"), connected }).front().endpoint == EndpointId("b"));
    connected.connections = 1;
    cr_assert(knowledge.place({ waitingWithPrompt(0, 400, 1) }, { endpoint("a"), connected }).front().endpoint == EndpointId("a"), "a connection in use was counted as idle");
}

// Guards against items that evict each other's prompts at one endpoint because its memory is left out of account.
Test(PlacementWithPrompts, memoryOfHolderIsNearlyFull_itemGoesElsewhere)
{
    Knowledge knowledge;
    knowledge.hold("a", 1);
    const std::vector<EndpointLoad> endpoints { endpoint("a", 1), endpoint("b") };
    cr_assert(knowledge.place({ waitingWithPrompt(0, 800, 1) }, endpoints).front().endpoint == EndpointId("a"));
    knowledge.cache.recordGenerated(1, 99'800);
    cr_assert(knowledge.place({ waitingWithPrompt(0, 800, 1) }, endpoints).front().endpoint == EndpointId("b"));
}

// Guards against a change of placement where the memory of the endpoints is not configured or items name no prompt.
Test(PlacementWithPrompts, promptOrMemoryUnknown_itemsArePlacedAsBefore)
{
    Knowledge knowledge;
    knowledge.hold("b", 1);
    const std::vector<EndpointLoad> endpoints { endpoint("a", 1), endpoint("b", 2), endpoint("c") };
    const std::vector<WaitingItem> items { waiting(0, 400, "1"), waiting(1, 390, "1"), waiting(2, 380, "2") };
    cr_assert(knowledge.place(items, endpoints) == placeItems(items, endpoints, {}));
}

// Guards against a step that is delayed by an item on a slow endpoint while normal ones have free slots.
Test(Moves, endpointSlowed_longItemMoves_toFreeSlot)
{
    EndpointLoad slow = endpoint("a", 2);
    slow.slowness = 3;
    const std::vector<RunningItem> running { { 0, EndpointId("a"), 700, false, 0, std::nullopt, longStay, {} }, { 1, EndpointId("a"), 900, false, 0, std::nullopt, longStay, {} } };
    cr_assert(planMoves(running, { slow, endpoint("b", 3) }).empty(), "items leave a slowdown that has just begun and usually passes after 0.6 s");
    slow.slowFor = std::chrono::seconds(2);
    const auto moves = planMoves(running, { slow, endpoint("b", 3) });
    cr_assert(moves.size() == 1);
    cr_assert(moves[0] == Placement({ 1, EndpointId("b") }));
}

// Guards against items that are moved back and forth because of noise in the measured slowness.
Test(Moves, endpointsAlike_itemsStay)
{
    EndpointLoad noisy = endpoint("a", 1);
    noisy.slowness = 1.4;
    cr_assert(planMoves({ { 0, EndpointId("a"), 900, false, 0, std::nullopt, longStay, {} } }, { noisy, endpoint("b") }).empty());
    noisy.slowness = 3;
    cr_assert(planMoves({ { 0, EndpointId("a"), 900, false, 0, std::nullopt, std::chrono::milliseconds(50), {} } }, { noisy, endpoint("b") }).empty());
}

// Guards against moves that lose a partly generated event, and against an item that stays on an almost stalled
// endpoint.
Test(Moves, endpointSlowed_itemWithinEvent_movesOnlyIfStalled)
{
    EndpointLoad slow = endpoint("a", 1);
    slow.slowness = 2.5;
    slow.slowFor = std::chrono::seconds(2);
    const std::vector<RunningItem> running { { 0, EndpointId("a"), 900, false, 0, std::nullopt, longStay, std::chrono::milliseconds(80) } };
    cr_assert(planMoves(running, { slow, endpoint("b") }).empty());
    slow.slowness = 6;
    cr_assert(planMoves(running, { slow, endpoint("b") }).size() == 1);
}

// Guards against moves of items that end too soon for the cost of a new connection.
Test(Moves, endpointSlowed_itemEndsSoon_stays)
{
    EndpointLoad slow = endpoint("a", 1);
    slow.slowness = 3;
    cr_assert(planMoves({ { 0, EndpointId("a"), 100, false, 0, std::nullopt, longStay, {} } }, { slow, endpoint("b") }).empty());
}

// Guards against several long items that are moved from a slow endpoint to the same target.
Test(Moves, twoLongItems_moved_toDifferentEndpoints)
{
    EndpointLoad slow = endpoint("a", 2);
    slow.slowness = 3;
    const std::vector<RunningItem> running { { 0, EndpointId("a"), 900, true, 0, std::nullopt, longStay, {} }, { 1, EndpointId("a"), 900, true, 0, std::nullopt, longStay, {} } };
    const auto moves = planMoves(running, { slow, endpoint("b"), endpoint("c", 1) });
    cr_assert(moves.size() == 2);
    cr_assert(moves[0].endpoint != moves[1].endpoint);
}

// Guards against a long item that leaves a fast endpoint because of a disturbance of half a second and stays on a
// lastingly slower one, where it ends later.
Test(Moves, fastEndpointDisturbed_onlyLastinglySlowerFree_longItemStays)
{
    EndpointLoad disturbed = endpoint("a", 1);
    disturbed.slowness = 2.5;
    EndpointLoad older = endpoint("b");
    older.lastingSlowness = 1.3;
    older.slowness = 1.3;
    const std::vector<RunningItem> running { { 0, EndpointId("a"), 6000, true, 0, std::nullopt, longStay, {} } };
    cr_assert(planMoves(running, { disturbed, older }).empty());
    cr_assert(planMoves(running, { disturbed, older, endpoint("c") }).empty(), "an item leaves a slowdown that has just begun for a gain of a few hundredths of its time");
    disturbed.slowFor = std::chrono::seconds(1);
    cr_assert(planMoves(running, { disturbed, older }).empty());
    const auto moves = planMoves(running, { disturbed, older, endpoint("c") });
    cr_assert(moves.size() == 1);
    cr_assert(moves[0] == Placement({ 0, EndpointId("c") }));
}

// Guards against a long item that stays on a lastingly slower endpoint, and against a move that costs more than it gains.
Test(Moves, lastinglySlowerEndpoint_longItemMoves_whereItGains)
{
    EndpointLoad older = endpoint("a", 1);
    older.lastingSlowness = 1.3;
    older.slowness = 1.3;
    cr_assert(planMoves({ { 0, EndpointId("a"), 5000, true, 0, std::nullopt, longStay, {} } }, { older, endpoint("b") }).size() == 1);
    cr_assert(planMoves({ { 0, EndpointId("a"), 300, true, 0, std::nullopt, longStay, {} } }, { older, endpoint("b") }).empty());
    older.lastingSlowness = 1.15;
    older.slowness = 1.15;
    cr_assert(planMoves({ { 0, EndpointId("a"), 1000, true, 0, std::nullopt, longStay, {} } }, { older, endpoint("b") }).empty());
}

// Guards against connections spent on moves of short items, which end before the rest of their step in any case.
Test(Moves, endpointDisturbed_longItemMoves_shortItemStays)
{
    EndpointLoad disturbed = endpoint("a", 2);
    disturbed.slowness = 2.5;
    const std::vector<RunningItem> running { { 0, EndpointId("a"), 900, false, 0, std::nullopt, longStay, {} }, { 1, EndpointId("a"), 900, true, 0, std::nullopt, longStay, {} } };
    const auto moves = planMoves(running, { disturbed, endpoint("b") });
    cr_assert(moves.size() == 1);
    cr_assert(moves[0].index == 1);
}

// Guards against an item that waits for the end of a slowdown which has already lasted for seconds.
Test(Moves, slowdownLasts_itemMovesToLastinglySlowerEndpoint)
{
    EndpointLoad slow = endpoint("a", 1);
    slow.slowness = 3;
    slow.slowFor = std::chrono::seconds(3);
    EndpointLoad older = endpoint("b");
    older.lastingSlowness = 1.3;
    older.slowness = 1.3;
    cr_assert(planMoves({ { 0, EndpointId("a"), 3000, true, 0, std::nullopt, longStay, {} } }, { slow, older }).size() == 1);
}

// Guards against a connection, a prompt and much output spent on leaving a slowdown that usually passes after 0.6 s.
Test(Moves, shortSlowdown_itemWithPromptAndOutput_waitsItOut)
{
    EndpointLoad disturbed = endpoint("a", 1);
    disturbed.slowness = 2.5;
    RunningItem item { 0, EndpointId("a"), 3000, true, 0, std::nullopt, longStay, {} };
    cr_assert(planMoves({ item }, { disturbed, endpoint("b") }).size() == 1, "the former cost of a move prevents it too, so this test shows no gain");
    item.prompt = promptOf(1, 1);
    item.held = HeldText { 2500, SoftwareVersion("v1"), std::nullopt };
    cr_assert(planMoves({ item }, { disturbed, endpoint("b") }).empty());
    disturbed.slowFor = std::chrono::seconds(3);
    cr_assert(planMoves({ item }, { disturbed, endpoint("b") }).size() == 1, "the item waits for the end of a slowdown that does not pass");
}

// Guards against a move to an endpoint that processes the prompt again while an equal one holds it.
Test(Moves, promptHeldAtOneOfTwoTargets_itemMovesThere)
{
    EndpointLoad slow = endpoint("a", 1);
    slow.slowness = 3;
    slow.slowFor = std::chrono::seconds(3);
    RunningItem item { 0, EndpointId("a"), 3000, true, 0, std::nullopt, longStay, {} };
    item.prompt = promptOf(1, 1);
    Knowledge knowledge;
    knowledge.hold("c", 1);
    const auto moves = planMoves({ item }, { slow, endpoint("b"), endpoint("c", 1) }, defaultTokenTime, { &knowledge.cache, ModelName("m"), {} });
    cr_assert(moves.size() == 1 && moves[0].endpoint == EndpointId("c"));
}

// Guards against a long item that stays on one of many slow endpoints, which determine the median speed, although an
// endpoint twice as fast is free.
Test(Moves, mostEndpointsSlow_longItemMovesToFastOne)
{
    EndpointLoad fast = endpoint("b");
    fast.slowness = fast.lastingSlowness = 0.55 / 1.2;
    cr_assert(isLastinglySlow(1, fast.lastingSlowness));
    cr_assert(!isLastinglySlow(1, 0.8));
    cr_assert(!isLastinglySlow(fast.lastingSlowness, fast.lastingSlowness));
    RunningItem item { 0, EndpointId("a"), 3000, true, 0, std::nullopt, longStay, {} };
    item.prompt = promptOf(1, 1);
    item.held = HeldText { 2500, SoftwareVersion("v1"), std::nullopt };
    cr_assert(planMoves({ item }, { endpoint("a", 1), fast }).size() == 1);
    item.expectedTokens = 400;
    cr_assert(planMoves({ item }, { endpoint("a", 1), fast }).empty(), "the item moves although the move costs more than it gains");
}

// Guards against a weight load that pauses items although other endpoints have free slots for all of them.
Test(Evacuation, roomElsewhere_allItemsMove_orNone)
{
    const std::vector<RunningItem> running { { 0, EndpointId("a"), 100, false, 0, std::nullopt, longStay, {} }, { 1, EndpointId("a"), 50, false, 0, std::nullopt, longStay, {} } };
    const auto moves = planEvacuation(running, { endpoint("a", 2), endpoint("b", 3), endpoint("c", 3) });
    cr_assert(moves.size() == 2);
    cr_assert(countByEndpoint(moves).count(EndpointId("a")) == 0);
    cr_assert(planEvacuation(running, { endpoint("a", 2), endpoint("b", 3) }).empty());
}
