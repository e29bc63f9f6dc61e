#include "azurepaddle/batch/placement.hpp"

#include <algorithm>

namespace azurepaddle::batch {

namespace {

    // Items of one group share an endpoint unless another endpoint has more than this many items fewer.
    constexpr std::uint32_t affinitySlack = 2;
    // Items are moved only to endpoints of at most this slowness.
    constexpr double maxTargetSlowness = 1.3;
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

    template <typename Item>
    bool canTake(const EndpointLoad& endpoint, const Item& item)
    {
        return endpoint.isUsable && endpoint.running < endpoint.slots && endpoint.version >= item.minVersion && (!item.requiredVersion || *item.requiredVersion == endpoint.version);
    }

    // A long item counts as this many items, because each concurrent item and each prompt processed on its endpoint
    // delays it.
    constexpr double longItemWeight = 4;

    double costOf(const EndpointLoad& endpoint)
    {
        const double items = static_cast<double>(endpoint.running) + 1 + (longItemWeight - 1) * static_cast<double>(endpoint.longItems);
        const double share = items / static_cast<double>(std::max(1U, endpoint.slots));
        return share * endpoint.slowness;
    }

    template <typename Item>
    EndpointLoad* cheapest(std::vector<EndpointLoad>& endpoints, const Item& item, double maxSlowness)
    {
        EndpointLoad* best = nullptr;
        for (EndpointLoad& endpoint : endpoints) {
            if (canTake(endpoint, item) && endpoint.slowness <= maxSlowness && (!best || costOf(endpoint) < costOf(*best)))
                best = &endpoint;
        }
        return best;
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
        return { item.index, endpoint.id };
    }

    void sortLongestFirst(std::vector<RunningItem>& running)
    {
        std::stable_sort(running.begin(), running.end(), [](const RunningItem& a, const RunningItem& b) { return a.expectedTokens > b.expectedTokens; });
    }

    bool shouldMove(const RunningItem& item, const EndpointLoad& from)
    {
        if (from.slowness < slownessThreshold || item.sinceStart < minStay || item.expectedTokens < minRemainingTokens)
            return false;
        return item.sinceEvent <= maxEventAge || from.slowness >= stalledSlowness;
    }

    constexpr double unlimitedSlowness = 1e9;

}

std::vector<Placement> placeItems(std::vector<WaitingItem> waiting, std::vector<EndpointLoad> endpoints, const std::map<GroupId, EndpointId>& lastEndpointOfGroup)
{
    std::stable_sort(waiting.begin(), waiting.end(), [](const WaitingItem& a, const WaitingItem& b) {
        return a.isCarriedOver != b.isCarriedOver ? a.isCarriedOver : a.expectedTokens > b.expectedTokens;
    });
    std::map<GroupId, EndpointId> endpointOfGroup = lastEndpointOfGroup;
    std::vector<Placement> placements;
    for (const WaitingItem& item : waiting) {
        EndpointLoad* best = cheapest(endpoints, item, unlimitedSlowness);
        if (!best)
            continue;
        const auto found = endpointOfGroup.find(item.group);
        EndpointLoad* groupEndpoint = found == endpointOfGroup.end() ? nullptr : findEndpoint(endpoints, found->second);
        if (groupEndpoint && canTake(*groupEndpoint, item) && groupEndpoint->slowness < slownessThreshold && groupEndpoint->longItems == 0 && groupEndpoint->running <= best->running + affinitySlack)
            best = groupEndpoint;
        endpointOfGroup[item.group] = best->id;
        placements.push_back(assign(*best, item));
    }
    return placements;
}

std::vector<Placement> planMoves(std::vector<RunningItem> running, std::vector<EndpointLoad> endpoints)
{
    sortLongestFirst(running);
    std::vector<Placement> moves;
    for (const RunningItem& item : running) {
        const EndpointLoad* from = findEndpoint(endpoints, item.endpoint);
        if (!from || !shouldMove(item, *from) || moves.size() >= maxMoves)
            continue;
        EndpointLoad* target = cheapest(endpoints, item, maxTargetSlowness);
        if (!target)
            continue;
        moves.push_back(assign(*target, item));
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
    for (const RunningItem& item : running) {
        EndpointLoad* target = cheapest(endpoints, item, slownessThreshold);
        if (!target)
            return {};
        moves.push_back(assign(*target, item));
    }
    return moves;
}

}
