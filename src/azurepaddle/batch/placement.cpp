#include "azurepaddle/batch/placement.hpp"

#include <algorithm>

namespace azurepaddle::batch {

namespace {

    // Items of one group share an endpoint unless another one has this many items fewer.
    constexpr std::uint32_t affinitySlack = 2;
    // An endpoint this fast may get items that leave a slow one.
    constexpr double fastBound = 1.3;
    // An item stays at least this long where it is, so that noise does not move it around.
    constexpr Duration minimumStay = std::chrono::milliseconds(100);
    // Later than this after an event, a part of the next one is lost by a move.
    constexpr Duration freshEvent = std::chrono::milliseconds(35);
    // From this slowness on, waiting for the next event takes longer than generating its beginning again.
    constexpr double stuckBound = 4;
    // About half a second of work. Less than that hardly decides when a step ends, and each move costs a connection.
    constexpr std::uint64_t minMovedTokens = 600;
    // Moves planned at once, so that the slowness of the target is measured before more follow.
    constexpr std::size_t maxMoves = 12;

    template <typename Item>
    bool fits(const EndpointLoad& endpoint, const Item& item)
    {
        return endpoint.isUsable && endpoint.running < endpoint.slots && endpoint.version >= item.minVersion && (!item.onlyVersion || *item.onlyVersion == endpoint.version);
    }

    // A long item counts like so many others: each item beside it and each prompt that is read there makes it later.
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
            if (fits(endpoint, item) && endpoint.slowness <= maxSlowness && (!best || costOf(endpoint) < costOf(*best)))
                best = &endpoint;
        }
        return best;
    }

    EndpointLoad* findEndpoint(std::vector<EndpointLoad>& endpoints, const EndpointId& id)
    {
        const auto found = std::find_if(endpoints.begin(), endpoints.end(), [&](const EndpointLoad& endpoint) { return endpoint.id == id; });
        return found == endpoints.end() ? nullptr : &*found;
    }

    /// Gives the item to the endpoint, which counts it from now on.
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

    bool shouldLeave(const RunningItem& item, const EndpointLoad& from)
    {
        if (from.slowness < slownessThreshold || item.sinceStart < minimumStay || item.expectedTokens < minMovedTokens)
            return false;
        return item.sinceEvent <= freshEvent || from.slowness >= stuckBound;
    }

    constexpr double anySlowness = 1e9;

}

std::vector<Placement> placeItems(std::vector<WaitingItem> waiting, std::vector<EndpointLoad> endpoints, const std::map<GroupId, EndpointId>& lastOfGroup)
{
    std::stable_sort(waiting.begin(), waiting.end(), [](const WaitingItem& a, const WaitingItem& b) {
        return a.isCarried != b.isCarried ? a.isCarried : a.expectedTokens > b.expectedTokens;
    });
    std::map<GroupId, EndpointId> placedAt = lastOfGroup;
    std::vector<Placement> placements;
    for (const WaitingItem& item : waiting) {
        EndpointLoad* best = cheapest(endpoints, item, anySlowness);
        if (!best)
            continue;
        const auto known = placedAt.find(item.group);
        EndpointLoad* shared = known == placedAt.end() ? nullptr : findEndpoint(endpoints, known->second);
        if (shared && fits(*shared, item) && shared->slowness < slownessThreshold && shared->longItems == 0 && shared->running <= best->running + affinitySlack)
            best = shared;
        placedAt[item.group] = best->id;
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
        if (!from || !shouldLeave(item, *from) || moves.size() >= maxMoves)
            continue;
        EndpointLoad* target = cheapest(endpoints, item, fastBound);
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
