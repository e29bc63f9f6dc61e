#pragma once

#include "azurepaddle/membership/member_table.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fixture {

using namespace azurepaddle;
using namespace azurepaddle::membership;
using namespace std::chrono_literals;

using Table = MemberTable<ManualClock, Random>;

struct Node {
    std::unique_ptr<Random> random;
    std::unique_ptr<Table> table;
    bool isRunning = true;
};

/// Simulates many member tables with one virtual clock. Messages are delivered in the next step unless they are lost or
/// cross a partition.
class Simulation {
public:
    Simulation(std::size_t size, std::uint64_t seed)
        : m_random(seed)
    {
        clock.advance(24h);
        nodes.resize(size);
        for (std::size_t i = 0; i < size; ++i)
            start(i, "i" + std::to_string(i), 0s);
    }

    [[nodiscard]] static std::string addressOf(std::size_t index) { return "10.0.0.1:" + std::to_string(1000 + index); }

    [[nodiscard]] static MemberMetadata makeMetadata(std::size_t index, std::uint64_t configuration)
    {
        return { addressOf(index), addressOf(index + 10000), DataCentreName("a"), { "entry" }, configuration, false };
    }

    /// Replaces the process by a new one that starts with the given offset of its wall clock.
    void restart(std::size_t index, Duration wallOffset) { start(index, nodes[index].table->self().id.value(), wallOffset); }

    void replace(std::size_t index, const std::string& name) { start(index, name, 0s); }

    void run(Duration duration)
    {
        const TimePoint end = clock.now() + duration;
        while (clock.now() < end)
            step();
    }

    [[nodiscard]] bool runUntil(const std::function<bool()>& condition, Duration bound)
    {
        const TimePoint end = clock.now() + bound;
        while (clock.now() < end) {
            run(1s);
            if (condition())
                return true;
        }
        return false;
    }

    void sendMessages(std::size_t from, std::vector<OutgoingGossip> messages)
    {
        for (OutgoingGossip& message : messages) {
            bytes += message.bytes.size();
            ++messageCount;
            largestMessage = std::max(largestMessage, message.bytes.size());
            if (keepSamples && samples.size() < 200)
                samples.push_back(message.bytes);
            if (!m_random.chance(lossRate))
                m_inFlight.push_back({ from, std::move(message) });
        }
    }

    /// Whether each running node from index `first` on has the member recorded in this state.
    [[nodiscard]] bool othersSee(const InstanceId& id, MemberState state, std::size_t first = 0) const
    {
        return std::all_of(nodes.begin() + static_cast<std::ptrdiff_t>(first), nodes.end(), [&](const Node& node) {
            return !node.isRunning || node.table->self().id == id || sees(node, id, state);
        });
    }

    [[nodiscard]] bool othersSee(std::size_t index, MemberState state, std::size_t first = 0) const
    {
        return othersSee(nodes[index].table->self().id, state, first);
    }

    [[nodiscard]] bool allSee(MemberState state) const
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (!othersSee(i, state))
                return false;
        }
        return true;
    }

    [[nodiscard]] bool othersSeeConfiguration(std::size_t index, std::uint64_t configuration) const
    {
        const InstanceId& id = nodes[index].table->self().id;
        return std::all_of(nodes.begin(), nodes.end(), [&](const Node& node) {
            const auto* record = node.table->find(id);
            return node.table->self().id == id || (record != nullptr && record->metadata.configuration == configuration);
        });
    }

    ManualClock clock;
    std::vector<Node> nodes;
    double lossRate = 0;
    std::size_t partition = 0; ///< Nodes below this index are partitioned from the others.
    bool countDeaths = false;
    bool keepSamples = false;
    std::size_t deadCount = 0;
    std::size_t bytes = 0;
    std::size_t messageCount = 0;
    std::size_t largestMessage = 0;
    std::vector<std::string> samples;

private:
    struct InFlight {
        std::size_t from;
        OutgoingGossip message;
    };

    static constexpr Duration stepTime = 100ms;

    static bool sees(const Node& node, const InstanceId& id, MemberState state)
    {
        const auto* record = node.table->find(id);
        return record != nullptr && record->state() == state;
    }

    void start(std::size_t index, const std::string& name, Duration wallOffset)
    {
        MemberOptions options;
        options.self = InstanceId(name);
        options.metadata = makeMetadata(index, 1);
        options.seeds = { addressOf(0), addressOf(1), addressOf(2) };
        Node& node = nodes[index];
        node.random = std::make_unique<Random>(m_random.next());
        const TimePoint now = clock.now();
        clock.set(now + wallOffset);
        node.table = std::make_unique<Table>(std::move(options), clock, *node.random);
        clock.set(now);
        node.isRunning = true;
        m_byAddress[addressOf(index)] = index;
    }

    void step()
    {
        clock.advance(stepTime);
        for (InFlight& item : std::exchange(m_inFlight, {}))
            deliver(item);
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (!nodes[i].isRunning)
                continue;
            sendMessages(i, nodes[i].table->tick());
            for (const MemberChange& change : nodes[i].table->takeChanges())
                deadCount += countDeaths && change.state == MemberState::Dead ? 1 : 0;
        }
    }

    void deliver(const InFlight& item)
    {
        const auto found = m_byAddress.find(item.message.address);
        if (found == m_byAddress.end() || !nodes[found->second].isRunning || (item.from < partition) != (found->second < partition))
            return;
        auto answers = nodes[found->second].table->receive(item.message.bytes);
        if (answers)
            sendMessages(found->second, std::move(*answers));
    }

    Random m_random;
    std::map<std::string, std::size_t> m_byAddress;
    std::vector<InFlight> m_inFlight;
};

}
