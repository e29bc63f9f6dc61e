#include "azurepaddle/batch/placement.hpp"

#include <algorithm>
#include <set>

namespace azurepaddle::batch {

namespace {

    // Items of one group whose prompt is not known share an endpoint unless another endpoint has more than this many items
    // fewer.
    constexpr std::uint32_t affinitySlack = 2;
    // Time to process a token of a prompt. Endpoints process 340 to 400 tokens per millisecond.
    constexpr double promptTokenMs = 1.0 / 370;
    // Price of processing a token again, expressed as an acceptable delay of the item in addition to the processing time.
    // At 20 ms per 1000 tokens a group with a usual prompt fills half an endpoint.
    constexpr double repeatedTokenPriceMs = 0.02;
    constexpr double costOfTokenMs = promptTokenMs + repeatedTokenPriceMs;
    // Time from the sending of an item until its endpoint has begun to answer.
    constexpr double startMs = 8;
    // An item is overtaken only by one of the next few whose prompt is held, and only if that one saves this many tokens more
    // and is not much shorter, because the longest items determine when a step ends: when items of half the length could
    // overtake, simulated steps with three times as many items as slots ended 3 % later.
    constexpr std::size_t overtakingWindow = 64;
    constexpr std::uint64_t minOvertakingTokens = 100;
    constexpr double minOvertakingLength = 0.75;
    // An item that has waited this long is not overtaken any more.
    constexpr Duration maxOvertakenWait = std::chrono::seconds(2);
    // Price of a new connection as time. Connections were the highest cost of a deployment with 9,810 requests.
    constexpr Duration connectionPrice = std::chrono::milliseconds(40);
    // Time that a move costs an item in addition to processing its prompt and its output again: a connection, because the
    // one in use is closed, and a part of an event.
    constexpr Duration moveCost = connectionPrice + std::chrono::milliseconds(40);
    // A move must be expected to gain this much, and this share of the remaining time, because speeds are estimates. With
    // 2 % instead of 5 %, simulated items moved 1.3 times as often and their steps ended no earlier.
    constexpr Duration minGain = std::chrono::milliseconds(40);
    constexpr double minGainShare = 0.05;
    // The same for items that are not long. They hardly affect when a step ends, and each move costs connections. With
    // 150 ms they moved at the onset of slowdowns that pass after 0.6 s: 1.5 to 1.7 times as many moves in simulated steps,
    // whose ends differed by about 1 %.
    constexpr Duration minGainOfOthers = std::chrono::milliseconds(300);
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

    /// The best endpoint for an item, or that of its group if it is hardly worse.
    EndpointLoad* bestNearGroup(std::vector<EndpointLoad>& endpoints, const WaitingItem& item, const std::map<GroupId, EndpointId>& endpointOfGroup, Duration tokenTime)
    {
        EndpointLoad* best = bestEndpoint(endpoints, item, tokenTime);
        const auto found = best ? endpointOfGroup.find(item.group) : endpointOfGroup.end();
        EndpointLoad* ofGroup = found == endpointOfGroup.end() ? nullptr : findEndpoint(endpoints, found->second);
        if (!ofGroup || item.isLong || !canTake(*ofGroup, item) || ofGroup->slowness >= slownessThreshold || ofGroup->longItems > 0)
            return best;
        return ofGroup->running <= best->running + affinitySlack ? ofGroup : best;
    }

    /// Assigns the item to the endpoint and includes it in the load of the endpoint.
    template <typename Item>
    Placement assign(EndpointLoad& endpoint, const Item& item)
    {
        ++endpoint.running;
        endpoint.longItems += item.isLong ? 1 : 0;
        return { item.index, endpoint.id, false };
    }

    /// Predicts the held part of prompts, including what the placements of the same round will add.
    class PromptPlan {
    public:
        explicit PromptPlan(const PromptKnowledge& knowledge)
            : m_knowledge(knowledge)
        {
        }

        [[nodiscard]] bool appliesTo(const WaitingItem& item) const { return m_knowledge.cache && !item.prompt.empty(); }

        /// The time and price of processing the prompt and the output of a running item at another endpoint.
        [[nodiscard]] Duration resumptionCost(const RunningItem& item, const EndpointLoad& target) const
        {
            const std::uint64_t heldTokens = m_knowledge.cache ? find(target, item.prompt).tokens : 0;
            const std::uint64_t tokens = countTokens(item.prompt) - heldTokens + (item.held ? item.held->tokens : 0);
            return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(static_cast<double>(tokens) * costOfTokenMs));
        }

        [[nodiscard]] HeldPrompt find(const EndpointLoad& endpoint, const std::vector<PromptPart>& prompt) const
        {
            HeldPrompt held = m_knowledge.cache->find(holderAt(endpoint), prompt, m_knowledge.now);
            const auto planned = m_planned.find(endpoint.id);
            if (planned == m_planned.end())
                return held;
            std::uint64_t end = 0;
            for (const PromptPart& part : prompt) {
                end += part.tokens;
                if (end <= held.tokens + held.startingTokens)
                    continue;
                if (!planned->second.contains(part.id))
                    break;
                held.startingTokens += part.tokens;
            }
            return held;
        }

        /// Tokens by which the running items of the endpoint would exceed its memory with this item.
        [[nodiscard]] std::uint64_t findShortage(const EndpointLoad& endpoint, const WaitingItem& item, std::uint64_t missingTokens) const
        {
            const auto planned = m_plannedTokens.find(endpoint.id);
            const std::uint64_t outputTokens = item.expectedTokens + (item.held ? item.held->tokens : 0);
            return m_knowledge.cache->findShortage(holderAt(endpoint), missingTokens + outputTokens + (planned == m_plannedTokens.end() ? 0 : planned->second));
        }

        void add(const EndpointId& endpoint, const WaitingItem& item)
        {
            std::set<std::uint64_t>& parts = m_planned[endpoint];
            std::uint64_t& tokens = m_plannedTokens[endpoint];
            for (const PromptPart& part : item.prompt)
                tokens += parts.insert(part.id).second ? part.tokens : 0;
            tokens += item.expectedTokens;
        }

    private:
        [[nodiscard]] PromptHolder holderAt(const EndpointLoad& endpoint) const { return { endpoint.id, endpoint.startedMs, m_knowledge.model, endpoint.version }; }

        const PromptKnowledge& m_knowledge;
        std::map<EndpointId, std::set<std::uint64_t>> m_planned; ///< Parts of items placed in this round.
        std::map<EndpointId, std::uint64_t> m_plannedTokens; ///< Tokens of these parts and of the output of these items.
    };

    /// An endpoint for an item with a known prompt.
    struct Candidate {
        EndpointLoad* endpoint = nullptr;
        double costMs = 0;
        bool isHeldBack = false;
    };

    /// The expected time of an item's output at the endpoint plus the delay that it causes to the items running there. Excludes
    /// its prompt.
    double generationCostMs(const WaitingItem& item, const EndpointLoad& endpoint, Duration tokenTime)
    {
        const double others = static_cast<double>(endpoint.running) + (longItemWeight - 1) * static_cast<double>(endpoint.longItems);
        const double aloneMs = static_cast<double>(item.expectedTokens) * toMilliseconds(tokenTime) * endpoint.lastingSlowness;
        return toMilliseconds(expectedTime(item.expectedTokens, endpoint, endpoint.running, tokenTime)) + aloneMs * crowdingPerItem * others;
    }

    Candidate candidateAt(EndpointLoad& endpoint, const WaitingItem& item, const PromptPlan& plan, Duration tokenTime)
    {
        const HeldPrompt held = plan.find(endpoint, item.prompt);
        const double missing = static_cast<double>(countTokens(item.prompt) - held.tokens);
        const double starting = static_cast<double>(held.startingTokens);
        const bool isHeldBack = starting * costOfTokenMs > startMs;
        const double promptMs = isHeldBack ? startMs + (missing - starting) * costOfTokenMs : missing * costOfTokenMs;
        const double connectionMs = endpoint.running < endpoint.connections ? 0 : toMilliseconds(connectionPrice);
        // What does not fit is evicted from items that need it, and processed again.
        const double shortageMs = static_cast<double>(plan.findShortage(endpoint, item, countTokens(item.prompt) - held.tokens - held.startingTokens)) * costOfTokenMs;
        return { &endpoint, generationCostMs(item, endpoint, tokenTime) + promptMs + connectionMs + shortageMs, isHeldBack };
    }

    /// The endpoint where an item with a known prompt costs least. Without an endpoint if none has room.
    Candidate cheapestForPrompt(std::vector<EndpointLoad>& endpoints, const WaitingItem& item, const PromptPlan& plan, Duration tokenTime)
    {
        Candidate best;
        for (EndpointLoad& endpoint : endpoints) {
            if (!canTake(endpoint, item))
                continue;
            const Candidate candidate = candidateAt(endpoint, item, plan, tokenTime);
            if (!best.endpoint || candidate.costMs < best.costMs)
                best = candidate;
        }
        return best;
    }

    bool isLongEnough(const WaitingItem& overtaking, const WaitingItem& item)
    {
        return static_cast<double>(overtaking.expectedTokens) >= minOvertakingLength * static_cast<double>(item.expectedTokens);
    }

    /// The position of the item that takes a slot at the endpoint before the one at `position`, because the endpoint holds
    /// more of its prompt; `position` if there is none.
    std::size_t findOvertaking(const std::vector<WaitingItem>& waiting, const std::vector<bool>& isPlaced, std::size_t position, const EndpointLoad& endpoint, const PromptPlan& plan)
    {
        const WaitingItem& item = waiting[position];
        if (item.isLong || item.isCarriedOver || item.waitingFor > maxOvertakenWait)
            return position;
        std::size_t best = position;
        std::uint64_t bestTokens = plan.find(endpoint, item.prompt).tokens + minOvertakingTokens;
        const std::size_t end = std::min(waiting.size(), position + overtakingWindow);
        for (std::size_t i = position + 1; i < end && isLongEnough(waiting[i], item); ++i) {
            if (isPlaced[i] || !plan.appliesTo(waiting[i]) || !canTake(endpoint, waiting[i]))
                continue;
            const std::uint64_t tokens = plan.find(endpoint, waiting[i].prompt).tokens;
            if (tokens > bestTokens) {
                best = i;
                bestTokens = tokens;
            }
        }
        return best;
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

    /// Whether the item is expected to end earlier by more than the required gain.
    bool isWorthwhile(const Move& move, bool isLong)
    {
        return move.ifStaying - move.ifMoved > (isLong ? minGain : minGainOfOthers) + std::chrono::duration_cast<Duration>(move.ifStaying * minGainShare);
    }

    /// The move of an item to the other endpoint.
    Move moveOf(const RunningItem& item, const EndpointLoad& from, const EndpointLoad& target, const PromptPlan& plan, Duration tokenTime)
    {
        EndpointLoad others = from;
        others.longItems -= std::min(others.longItems, item.isLong ? 1U : 0U);
        const Duration ifStaying = expectedTime(item.expectedTokens, others, others.running - std::min(others.running, 1U), tokenTime);
        return { { item.index, target.id, false }, ifStaying, moveCost + plan.resumptionCost(item, target) + expectedTime(item.expectedTokens, target, target.running, tokenTime) };
    }

}

std::vector<Placement> placeItems(std::vector<WaitingItem> waiting, std::vector<EndpointLoad> endpoints, const std::map<GroupId, EndpointId>& lastEndpointOfGroup, Duration tokenTime, const PromptKnowledge& prompts)
{
    std::stable_sort(waiting.begin(), waiting.end(), [](const WaitingItem& a, const WaitingItem& b) {
        return a.isCarriedOver != b.isCarriedOver ? a.isCarriedOver : a.expectedTokens > b.expectedTokens;
    });
    std::map<GroupId, EndpointId> endpointOfGroup = lastEndpointOfGroup;
    PromptPlan plan(prompts);
    const auto choose = [&](const WaitingItem& item) {
        return plan.appliesTo(item) ? cheapestForPrompt(endpoints, item, plan, tokenTime) : Candidate { bestNearGroup(endpoints, item, endpointOfGroup, tokenTime) };
    };
    std::vector<Placement> placements;
    const auto place = [&](const WaitingItem& item, const Candidate& candidate, bool isRestart) {
        endpointOfGroup[item.group] = candidate.endpoint->id;
        if (!candidate.isHeldBack)
            plan.add(candidate.endpoint->id, item);
        placements.push_back(assign(*candidate.endpoint, item));
        placements.back().isRestart = isRestart;
        placements.back().isHeldBack = candidate.isHeldBack;
    };
    std::vector<bool> isPlaced(waiting.size());
    for (std::size_t position = 0; position < waiting.size(); ++position) {
        WaitingItem& item = waiting[position];
        if (isPlaced[position])
            continue;
        Candidate best = choose(item);
        while (best.endpoint && plan.appliesTo(item)) {
            const std::size_t overtaking = findOvertaking(waiting, isPlaced, position, *best.endpoint, plan);
            if (overtaking == position)
                break;
            isPlaced[overtaking] = true;
            place(waiting[overtaking], candidateAt(*best.endpoint, waiting[overtaking], plan, tokenTime), false);
            best = choose(item);
        }
        const bool isRestart = !best.endpoint && item.held && shouldRestart(item, endpoints, tokenTime);
        if (isRestart) {
            item.expectedTokens += item.held->tokens;
            item.held.reset();
            best = choose(item);
        }
        if (best.endpoint)
            place(item, best, isRestart);
    }
    return placements;
}

std::vector<Move> planMoves(std::vector<RunningItem> running, std::vector<EndpointLoad> endpoints, Duration tokenTime, const PromptKnowledge& prompts)
{
    const PromptPlan plan(prompts);
    sortLongestFirst(running);
    std::vector<Move> moves;
    for (const RunningItem& item : running) {
        const EndpointLoad* from = findEndpoint(endpoints, item.endpoint);
        if (!from || !mayMove(item, *from) || moves.size() >= maxMoves)
            continue;
        EndpointLoad* target = cheapest(endpoints, item, [&](const EndpointLoad& endpoint) { return plan.resumptionCost(item, endpoint) + expectedTime(item.expectedTokens, endpoint, endpoint.running, tokenTime); });
        if (!target || target == from)
            continue;
        const Move move = moveOf(item, *from, *target, plan, tokenTime);
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
