// Plays batch jobs on a simulated fleet and compares placement that knows the prompts with placement that does not.

#include "azurepaddle/batch/placement.hpp"
#include "azurepaddle/core/random.hpp"

#include <algorithm>
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <list>
#include <set>

using namespace azurepaddle;
using namespace azurepaddle::batch;

namespace {

constexpr std::uint32_t slots = 8;
constexpr std::uint64_t kvCapacity = 24'000;
constexpr double prefillTokensPerMs = 370;
constexpr double tokenMs = 0.7;
constexpr double crowding = 0.008;
constexpr double networkMs = 1; // One way.
constexpr double medianSpeed = 1.2;

/// One request, as the simulation sees it.
struct Item {
    std::size_t model = 0;
    std::size_t group = 0;
    std::uint64_t tokens = 0;
    bool isLong = false;
    std::vector<PromptPart> prompt;
    bool isDone = false;
    bool isRunning = false;
    std::size_t endpoint = 0;
    double beginsAtMs = 0; ///< End of the processing of its prompt.
    bool isBegun = false;
    double left = 0; ///< Tokens.
};

using PartKey = std::pair<std::size_t, std::uint64_t>; ///< Model and part.

/// What an endpoint really holds.
struct Engine {
    double speed = 1; ///< Time per token relative to the usual one.
    double busyUntilMs = 0; ///< Prompts are processed one after another.
    std::size_t connections = 0; ///< Kept open for later requests.
    std::list<std::pair<PartKey, std::uint32_t>> parts; ///< Most recently used first.

    bool use(const PartKey& key)
    {
        const auto found = std::find_if(parts.begin(), parts.end(), [&](const auto& part) { return part.first == key; });
        if (found != parts.end())
            parts.splice(parts.begin(), parts, found);
        return found != parts.end();
    }
};

struct Outcome {
    std::uint64_t promptTokens = 0;
    std::uint64_t repeatedTokens = 0; ///< Processed although some endpoint had processed them.
    double endMs = 0;
    std::size_t connections = 0;
};

struct Load {
    std::size_t fastEndpoints = 3;
    std::size_t slowEndpoints = 9;
    std::vector<std::size_t> groupSizes { 8, 16 }; ///< By model.
    std::size_t groupsPerModel = 12;
    bool hasLongItems = true;
};

/// Plays one step of each model from its submission to its last item.
class Fleet {
public:
    Fleet(const Load& load, std::uint64_t seed, bool knowsPrompts)
        : m_knowsPrompts(knowsPrompts)
    {
        for (std::size_t i = 0; i < load.fastEndpoints + load.slowEndpoints; ++i)
            m_engines.push_back({ i < load.fastEndpoints ? 0.55 : 1.2, 0, 0, {} });
        Random random(seed);
        for (std::size_t model = 0; model < load.groupSizes.size(); ++model) {
            for (std::size_t group = 0; group < load.groupsPerModel; ++group)
                addGroup(random, model, group, load);
        }
    }

    Outcome play()
    {
        constexpr double limitMs = 120'000;
        for (m_nowMs = 0; m_nowMs < limitMs && m_open > 0; ++m_nowMs) {
            place();
            for (std::size_t i = 0; i < m_items.size(); ++i)
                advance(i);
        }
        cr_assert(m_open == 0, "items were never run");
        m_outcome.endMs = m_nowMs;
        for (const Engine& engine : m_engines)
            m_outcome.connections += engine.connections;
        return m_outcome;
    }

private:
    void addGroup(Random& random, std::size_t model, std::size_t group, const Load& load)
    {
        const auto groupTokens = static_cast<std::uint32_t>(300 + random.below(900));
        for (std::size_t i = 0; i < load.groupSizes[model]; ++i) {
            Item item;
            item.model = model;
            item.group = model * 1000 + group;
            item.isLong = load.hasLongItems && i == 0 && group % 4 == 0;
            item.tokens = item.isLong ? 3000 : 200 + random.below(600);
            item.left = static_cast<double>(item.tokens);
            item.prompt = { { 1, 400 }, { 100 + item.group, groupTokens }, { 1'000'000 + m_items.size(), 40 } };
            m_items.push_back(item);
            ++m_open;
        }
    }

    [[nodiscard]] static EndpointId idOf(std::size_t engine) { return EndpointId("e" + std::to_string(engine)); }
    [[nodiscard]] TimePoint now() const { return TimePoint() + std::chrono::microseconds(static_cast<std::int64_t>(m_nowMs * 1000)); }
    [[nodiscard]] PromptHolder holderOf(const Item& item) const { return { idOf(item.endpoint), 1, ModelName(std::to_string(item.model)), 1 }; }

    [[nodiscard]] std::vector<EndpointLoad> endpointLoads() const
    {
        std::vector<EndpointLoad> loads;
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            EndpointLoad load;
            load.id = idOf(i);
            load.slots = slots;
            load.version = 1;
            load.startedMs = 1;
            load.connections = m_engines[i].connections;
            load.slowness = load.lastingSlowness = m_engines[i].speed / medianSpeed;
            loads.push_back(load);
        }
        for (const Item& item : m_items) {
            loads[item.endpoint].running += item.isRunning ? 1 : 0;
            loads[item.endpoint].longItems += item.isRunning && item.isLong ? 1 : 0;
        }
        return loads;
    }

    void place()
    {
        if (m_open == runningCount())
            return;
        const auto tokenTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(tokenMs * medianSpeed));
        for (std::size_t model = 0; model < 2; ++model) {
            std::vector<WaitingItem> waiting;
            for (std::size_t i = 0; i < m_items.size(); ++i) {
                const Item& item = m_items[i];
                if (item.model != model || item.isDone || item.isRunning)
                    continue;
                WaitingItem entry;
                entry.index = i;
                entry.group = GroupId(std::to_string(item.group));
                entry.expectedTokens = item.tokens;
                entry.isLong = item.isLong;
                entry.prompt = item.prompt;
                waiting.push_back(entry);
            }
            const PromptKnowledge prompts { m_knowsPrompts ? &m_cache : nullptr, ModelName(std::to_string(model)), now() };
            for (const Placement& placement : placeItems(waiting, endpointLoads(), m_lastEndpointOfGroup, tokenTime, prompts)) {
                if (!placement.isHeldBack)
                    send(placement);
            }
        }
    }

    [[nodiscard]] std::size_t runningCount() const
    {
        return static_cast<std::size_t>(std::count_if(m_items.begin(), m_items.end(), [](const Item& item) { return item.isRunning; }));
    }

    [[nodiscard]] std::size_t runningAt(std::size_t endpoint) const
    {
        return static_cast<std::size_t>(std::count_if(m_items.begin(), m_items.end(), [&](const Item& item) { return item.isRunning && item.endpoint == endpoint; }));
    }

    void send(const Placement& placement)
    {
        Item& item = m_items[placement.index];
        item.isRunning = true;
        item.endpoint = static_cast<std::size_t>(std::stoul(placement.endpoint.value().substr(1)));
        m_lastEndpointOfGroup[GroupId(std::to_string(item.group))] = placement.endpoint;
        m_cache.recordSent(placement.index + 1, holderOf(item), kvCapacity, item.prompt, 0, now());
        Engine& engine = m_engines[item.endpoint];
        engine.connections = std::max(engine.connections, runningAt(item.endpoint));
        std::uint64_t missing = 0;
        for (const PromptPart& part : item.prompt) {
            m_outcome.promptTokens += part.tokens;
            const PartKey key { item.model, part.id };
            if (missing == 0 && engine.use(key))
                continue;
            missing += part.tokens;
            m_outcome.repeatedTokens += m_processed.insert(key).second ? 0 : part.tokens;
        }
        engine.busyUntilMs = std::max(engine.busyUntilMs, m_nowMs + networkMs) + static_cast<double>(missing) / prefillTokensPerMs;
        item.beginsAtMs = engine.busyUntilMs;
    }

    /// Its prompt is held from the end of its processing on.
    void begin(Item& item)
    {
        Engine& engine = m_engines[item.endpoint];
        for (auto part = item.prompt.rbegin(); part != item.prompt.rend(); ++part) {
            const PartKey key { item.model, part->id };
            if (!engine.use(key))
                engine.parts.emplace_front(key, part->tokens);
        }
        evict(item.endpoint);
        item.isBegun = true;
    }

    void evict(std::size_t engineIndex)
    {
        Engine& engine = m_engines[engineIndex];
        std::set<PartKey> inUse;
        double used = 0;
        for (const Item& item : m_items) {
            if (!item.isRunning || item.endpoint != engineIndex)
                continue;
            used += static_cast<double>(item.tokens) - item.left;
            for (const PromptPart& part : item.prompt)
                inUse.insert({ item.model, part.id });
        }
        for (const auto& [key, tokens] : engine.parts)
            used += tokens;
        for (auto part = engine.parts.end(); used > static_cast<double>(kvCapacity) && part != engine.parts.begin();) {
            --part;
            if (inUse.contains(part->first))
                continue;
            used -= part->second;
            part = engine.parts.erase(part);
        }
    }

    void advance(std::size_t index)
    {
        Item& item = m_items[index];
        if (!item.isRunning || m_nowMs < item.beginsAtMs)
            return;
        if (!item.isBegun)
            begin(item);
        if (m_nowMs >= item.beginsAtMs + networkMs)
            m_cache.recordBegun(index + 1, 1);
        const double others = static_cast<double>(runningAt(item.endpoint)) - 1;
        item.left -= 1 / (tokenMs * m_engines[item.endpoint].speed * (1 + crowding * others));
        if (item.left > 0)
            return;
        m_cache.recordEnded(index + 1);
        item.isRunning = false;
        item.isDone = true;
        --m_open;
    }

    bool m_knowsPrompts;
    double m_nowMs = 0;
    std::size_t m_open = 0;
    std::vector<Engine> m_engines;
    std::vector<Item> m_items;
    std::map<GroupId, EndpointId> m_lastEndpointOfGroup;
    std::set<PartKey> m_processed;
    PrefixCache m_cache;
    Outcome m_outcome;
};

/// Sums the outcomes of some seeds.
Outcome playAll(const Load& load, bool knowsPrompts)
{
    constexpr std::uint64_t seeds = 4;
    Outcome sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const Outcome one = Fleet(load, seed, knowsPrompts).play();
        sum.promptTokens += one.promptTokens;
        sum.repeatedTokens += one.repeatedTokens;
        sum.endMs += one.endMs / seeds;
        sum.connections += one.connections;
    }
    return sum;
}

Load loadWith(std::size_t groupsPerModel, bool hasLongItems)
{
    Load load;
    load.groupsPerModel = groupsPerModel;
    load.hasLongItems = hasLongItems;
    return load;
}

void print(const Load& load, const Outcome& outcome, const char* policy)
{
    const std::string figures = fmt::format("{} groups per model, {}: {} of {} prompt tokens processed again, end {:.0f} ms, {} connections", load.groupsPerModel, policy, outcome.repeatedTokens, outcome.promptTokens, outcome.endMs, outcome.connections);
    cr_log_info("%s", figures.c_str());
}

/// Asserts that at most half as many tokens are processed again as by placement that does not know the prompts, with no
/// more connections. Returns by how much later the last items end.
double assertFewerRepeated(const Load& load)
{
    const Outcome present = playAll(load, false);
    const Outcome known = playAll(load, true);
    print(load, present, "prompts unknown");
    print(load, known, "prompts known");
    const bool isBetter = known.repeatedTokens * 2 <= present.repeatedTokens && known.connections <= present.connections;
    cr_assert(isBetter);
    return known.endMs - present.endMs;
}

// With 8 and 16 items per group and 96 slots, these are 0.75, 3 and 7.5 times as many items as slots.
const std::vector<Load> loads { loadWith(3, true), loadWith(12, true), loadWith(30, false) };

}

// Guards against prompts that are processed again on a fleet with room for all items.
Test(PlayedPrompts, roomForAllItems_atMostHalfIsProcessedAgain)
{
    assertFewerRepeated(loads[0]);
}

// Guards against prompts that are processed again because each free slot goes to the next item, whatever its group.
Test(PlayedPrompts, moreItemsThanSlots_atMostHalfIsProcessedAgain)
{
    assertFewerRepeated(loads[1]);
    assertFewerRepeated(loads[2]);
}

// Guards against prompts that are reused at the expense of when steps end.
Test(PlayedPrompts, allLoads_stepsEndNoLater)
{
    double laterMs = 0;
    for (const Load& load : loads)
        laterMs += assertFewerRepeated(load);
    cr_assert(laterMs <= 0, "the steps end %.1f ms later in total", laterMs);
}
