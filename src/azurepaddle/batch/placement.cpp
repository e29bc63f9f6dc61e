#include "azurepaddle/batch/placement.hpp"

#include <algorithm>

namespace azurepaddle::batch {

namespace {

    // Items of one group share an endpoint unless another endpoint has more than this many items fewer.
    constexpr std::uint32_t affinitySlack = 2;
    // Time that a move costs an item: a connection, processing of its prompt and its output so far, and a part of an
    // event.
    constexpr Duration moveCost = std::chrono::milliseconds(80);
    // A move must be expected to gain this much, and this share of the remaining time, because speeds are estimates.
    constexpr Duration minGain = std::chrono::milliseconds(40);
    constexpr double minGainShare = 0.02;
    // The same for items that are not long. They hardly affect when a step ends, and each move costs connections.
    constexpr Duration minGainOfOthers = std::chrono::milliseconds(150);
    // A slowdown is expected to last as long again as it has lasted, and at least this long.
    constexpr Duration minSlowdown = std::chrono::milliseconds(400);
    // Share by which each concurrent item slows an endpoint down.
    constexpr double crowdingPerItem = 0.008;
    // Minimum time of an item on an endpoint before it may be moved, so that noise in the measurements causes no moves.
    constexpr Duration minStay = std::chrono::milliseconds(100);
    // A move later than this after an event loses a part of the next event.
    constexpr Duration maxEventAge = std::chrono::milliseconds(35);
    // From this slowness on, waiting for the next event takes longer than regenerating the lost part of it elsewhere.
    constexpr double stalledSlowness = 4;
    // About half a second of work. Shorter items hardly affect when a step ends, and each move costs a connection.
    constexpr std::uint64_t minRemainingTokens = 600;
    // Maximum moves in one plan, so that the slowness of the targets is measured before more items follow.
    constexpr std::size_t maxMoves = 12;

    double toMilliseconds(Duration duration)
    {
        return std::chrono::duration<double, std::milli>(duration).count();
    }

    bool canContinue(const EndpointLoad& endpoint, const HeldText& held)
    {
        return !held.software.empty() && held.software == endpoint.software && (!held.requiredVersion || *held.requiredVersion == endpoint.version);
    }

    template <typename Item>
    bool canTake(const EndpointLoad& endpoint, const Item& item)
    {
        return endpoint.isUsable && endpoint.running < endpoint.slots && endpoint.version >= item.minVersion && (!item.held || canContinue(endpoint, *item.held));
    }

    // An item that waits longer delays its step more than its output is worth, however much that is.
    constexpr Duration maxContinuationWait = std::chrono::seconds(2);

    /// Whether an item that no endpoint can continue at present starts again rather than waiting for one.
    bool shouldRestart(const WaitingItem& item, const std::vector<EndpointLoad>& endpoints, Duration tokenTime)
    {
        const bool isServed = std::any_of(endpoints.begin(), endpoints.end(), [&](const EndpointLoad& endpoint) { return !endpoint.isLeaving && endpoint.software == item.held->software; });
        return !isServed || item.waitingFor >= std::min<Duration>(tokenTime * item.held->tokens, maxContinuationWait);
    }

    // A long item counts as this many items, because each concurrent item and each prompt processed on its endpoint
    // delays it.
    constexpr double longItemWeight = 8;

    double costOf(const EndpointLoad& endpoint)
    {
        const double items = static_cast<double>(endpoint.running) + 1 + (longItemWeight - 1) * static_cast<double>(endpoint.longItems);
        const double share = items / static_cast<double>(std::max(1U, endpoint.slots));
        return share * endpoint.slowness;
    }

    /// Expected time to generate the tokens at an endpoint beside its other items.
    Duration expectedTime(std::uint64_t tokens, const EndpointLoad& endpoint, std::uint32_t otherItems, Duration tokenTime)
    {
        const double crowding = 1 + crowdingPerItem * (static_cast<double>(otherItems) + (longItemWeight - 1) * static_cast<double>(endpoint.longItems));
        const double lastingMs = static_cast<double>(tokens) * toMilliseconds(tokenTime) * endpoint.lastingSlowness * crowding;
        const double slowdown = std::max(1.0, endpoint.slowness / endpoint.lastingSlowness);
        const double slowdownMs = toMilliseconds(std::max(minSlowdown, endpoint.slowFor));
        const double delayMs = std::min(lastingMs * (slowdown - 1), slowdownMs * (1 - 1 / slowdown));
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(lastingMs + delayMs));
    }

    /// The endpoint with room for the item and the lowest cost, or null.
    template <typename Item, typename Cost>
    EndpointLoad* cheapest(std::vector<EndpointLoad>& endpoints, const Item& item, Cost cost)
    {
        EndpointLoad* best = nullptr;
        for (EndpointLoad& endpoint : endpoints) {
            if (canTake(endpoint, item) && (!best || cost(endpoint) < cost(*best)))
                best = &endpoint;
        }
        return best;
    }

    /// The endpoint for an item: where a long one ends first, or the least loaded one for others.
    template <typename Item>
    EndpointLoad* bestEndpoint(std::vector<EndpointLoad>& endpoints, const Item& item, Duration tokenTime)
    {
        if (!item.isLong)
            return cheapest(endpoints, item, costOf);
        return cheapest(endpoints, item, [&](const EndpointLoad& endpoint) { return expectedTime(item.expectedTokens, endpoint, endpoint.running, tokenTime); });
    }

    EndpointLoad* findEndpoint(std::vector<EndpointLoad>& endpoints, const EndpointId& id)
    {
        const auto found = std::find_if(endpoints.begin(), endpoints.end(), [&](const EndpointLoad& endpoint) { return endpoint.id == id; });
        return found == endpoints.end() ? nullptr : &*found;
    }

    /// Assigns the item to the endpoint and includes it in the load of the endpoint.
    template <typename Item>
    Placement assign(EndpointLoad& endpoint, const Item& item)
    {
        ++endpoint.running;
        endpoint.longItems += item.isLong ? 1 : 0;
        return { item.index, endpoint.id, false };
    }

    void sortLongestFirst(std::vector<RunningItem>& running)
    {
        std::stable_sort(running.begin(), running.end(), [](const RunningItem& a, const RunningItem& b) { return a.expectedTokens > b.expectedTokens; });
    }

    bool mayMove(const RunningItem& item, const EndpointLoad& from)
    {
        if (item.sinceStart < minStay || item.expectedTokens < minRemainingTokens)
            return false;
        return item.sinceEvent <= maxEventAge || from.slowness >= stalledSlowness;
    }

    /// The move of an item to the other endpoint.
    Move moveOf(const RunningItem& item, const EndpointLoad& from, const EndpointLoad& target, Duration tokenTime)
    {
        EndpointLoad others = from;
        others.longItems -= std::min(others.longItems, item.isLong ? 1U : 0U);
        const Duration ifStaying = expectedTime(item.expectedTokens, others, others.running - std::min(others.running, 1U), tokenTime);
        return { { item.index, target.id, false }, ifStaying, moveCost + expectedTime(item.expectedTokens, target, target.running, tokenTime) };
    }

    /// Whether the item is expected to end earlier by more than the required gain.
    bool isWorthwhile(const Move& move, bool isLong)
    {
        return move.ifStaying - move.ifMoved > (isLong ? minGain : minGainOfOthers) + std::chrono::duration_cast<Duration>(move.ifStaying * minGainShare);
    }

}

std::vector<Placement> placeItems(std::vector<WaitingItem> waiting, std::vector<EndpointLoad> endpoints, const std::map<GroupId, EndpointId>& lastEndpointOfGroup, Duration tokenTime)
{
    std::stable_sort(waiting.begin(), waiting.end(), [](const WaitingItem& a, const WaitingItem& b) {
        return a.isCarriedOver != b.isCarriedOver ? a.isCarriedOver : a.expectedTokens > b.expectedTokens;
    });
    std::map<GroupId, EndpointId> endpointOfGroup = lastEndpointOfGroup;
    std::vector<Placement> placements;
    for (WaitingItem& item : waiting) {
        EndpointLoad* best = bestEndpoint(endpoints, item, tokenTime);
        const bool isRestart = !best && item.held && shouldRestart(item, endpoints, tokenTime);
        if (isRestart) {
            item.expectedTokens += item.held->tokens;
            item.held.reset();
            best = bestEndpoint(endpoints, item, tokenTime);
        }
        if (!best)
            continue;
        const auto found = endpointOfGroup.find(item.group);
        EndpointLoad* groupEndpoint = found == endpointOfGroup.end() ? nullptr : findEndpoint(endpoints, found->second);
        if (!item.isLong && groupEndpoint && canTake(*groupEndpoint, item) && groupEndpoint->slowness < slownessThreshold && groupEndpoint->longItems == 0 && groupEndpoint->running <= best->running + affinitySlack)
            best = groupEndpoint;
        endpointOfGroup[item.group] = best->id;
        placements.push_back(assign(*best, item));
        placements.back().isRestart = isRestart;
    }
    return placements;
}

std::vector<Move> planMoves(std::vector<RunningItem> running, std::vector<EndpointLoad> endpoints, Duration tokenTime)
{
    sortLongestFirst(running);
    std::vector<Move> moves;
    for (const RunningItem& item : running) {
        const EndpointLoad* from = findEndpoint(endpoints, item.endpoint);
        if (!from || !mayMove(item, *from) || moves.size() >= maxMoves)
            continue;
        EndpointLoad* target = cheapest(endpoints, item, [&](const EndpointLoad& endpoint) { return expectedTime(item.expectedTokens, endpoint, endpoint.running, tokenTime); });
        if (!target || target == from)
            continue;
        const Move move = moveOf(item, *from, *target, tokenTime);
        if (!isWorthwhile(move, item.isLong))
            continue;
        assign(*target, item);
        moves.push_back(move);
    }
    return moves;
}

std::vector<Placement> planEvacuation(std::vector<RunningItem> running, std::vector<EndpointLoad> endpoints)
{
    sortLongestFirst(running);
    std::vector<Placement> moves;
    for (const RunningItem& item : running) {
        if (EndpointLoad* from = findEndpoint(endpoints, item.endpoint))
            from->isUsable = false;
    }
    for (EndpointLoad& endpoint : endpoints)
        endpoint.isUsable = endpoint.isUsable && endpoint.slowness <= slownessThreshold;
    for (const RunningItem& item : running) {
        EndpointLoad* target = bestEndpoint(endpoints, item, defaultTokenTime);
        if (!target)
            return {};
        moves.push_back(assign(*target, item));
    }
    return moves;
}

}
