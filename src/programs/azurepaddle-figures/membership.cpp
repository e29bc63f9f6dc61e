#include "commands.hpp"

#include "azurepaddle/core/digest.hpp"
#include "azurepaddle/membership/endpoint_directory.hpp"
#include "azurepaddle/membership/member_table.hpp"
#include "azurepaddle/transport/peer_client.hpp"
#include "azurepaddle/transport/peer_server.hpp"

#include <algorithm>
#include <boost/program_options.hpp>
#include <ctime>
#include <deque>
#include <fmt/format.h>
#include <memory>
#include <sstream>
#include <unordered_map>

using namespace azurepaddle;
using namespace azurepaddle::membership;
using namespace std::chrono_literals;

namespace {

constexpr Duration tickInterval = 100ms;
constexpr Duration pullInterval = 1s;
constexpr Duration meshPullInterval = 1s;
constexpr Duration changeInterval = 60s;
constexpr std::uint64_t seed = 1;

double processorSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/// Bytes, messages and processor time between two moments.
struct Cost {
    std::size_t bytes = 0;
    std::size_t messages = 0;
    double processor = 0;
};

std::string instanceName(std::size_t index)
{
    return fmt::format("instance-{:05}", index);
}

std::string instanceAddress(std::size_t index)
{
    return fmt::format("10.{}.{}.1:7000", index / 250, index % 250);
}

/// Member tables of many instances in one virtual time.
class MemberSimulation {
public:
    explicit MemberSimulation(std::size_t size)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < size; ++i) {
            MemberOptions options;
            options.self = InstanceId(instanceName(i));
            options.metadata = { instanceAddress(i), instanceAddress(i), DataCentreName("data-centre-1"), { "entry" }, 1, false };
            options.seeds = { instanceAddress(0), instanceAddress(1), instanceAddress(2) };
            m_tables.push_back(std::make_unique<Table>(std::move(options), m_clock, m_random));
            m_byAddress[instanceAddress(i)] = i;
        }
    }

    /// Runs for this long and returns what all instances sent.
    Cost run(Duration duration)
    {
        m_cost = {};
        const double start = processorSeconds();
        for (const TimePoint end = m_clock.now() + duration; m_clock.now() < end; m_clock.advance(tickInterval))
            step();
        m_cost.processor = processorSeconds() - start;
        return m_cost;
    }

    [[nodiscard]] bool complete() const
    {
        for (const auto& table : m_tables) {
            if (table->members().size() + 1 != m_tables.size())
                return false;
        }
        return true;
    }

    void changeConfiguration(std::uint64_t number)
    {
        for (const auto& table : m_tables) {
            MemberMetadata metadata = table->self().metadata;
            metadata.configuration = number;
            table->setMetadata(metadata);
        }
    }

private:
    using Table = MemberTable<ManualClock, Random>;

    void step()
    {
        for (const OutgoingGossip& message : std::exchange(m_inFlight, {})) {
            auto answers = m_tables[m_byAddress.at(message.address)]->receive(message.bytes);
            if (answers)
                post(std::move(*answers));
        }
        for (const auto& table : m_tables)
            post(table->tick());
    }

    void post(std::vector<OutgoingGossip> messages)
    {
        for (OutgoingGossip& message : messages) {
            m_cost.bytes += message.bytes.size();
            ++m_cost.messages;
            m_inFlight.push_back(std::move(message));
        }
    }

    ManualClock m_clock;
    Random m_random;
    std::vector<std::unique_ptr<Table>> m_tables;
    std::unordered_map<std::string, std::size_t> m_byAddress;
    std::vector<OutgoingGossip> m_inFlight;
    Cost m_cost;
};

void printMembers(std::size_t maxMembers, Duration duration)
{
    const double seconds = std::chrono::duration<double>(duration).count();
    fmt::print("# Gossip between instances, sent per node; `changing`: each member's metadata changes every {} s\n", changeInterval / 1s);
    fmt::print("{:>8} {:>10} {:>10} {:>12} {:>10} {:>10} {:>12}\n", "members", "bytes/s", "msg/s", "cpu us/s", "changing", "msg/s", "cpu us/s");
    for (std::size_t size = 3; size <= maxMembers; size *= 3) {
        MemberSimulation simulation(size);
        for (int i = 0; i < 60 && !simulation.complete(); ++i)
            simulation.run(10s);
        simulation.run(60s);
        const Cost steady = simulation.run(duration);
        Cost changing;
        std::uint64_t number = 1;
        for (Duration elapsed = 0s; elapsed < duration; elapsed += changeInterval) {
            simulation.changeConfiguration(++number);
            const Cost part = simulation.run(std::min(changeInterval, duration - elapsed));
            changing = { changing.bytes + part.bytes, changing.messages + part.messages, changing.processor + part.processor };
        }
        const double nodeSeconds = seconds * static_cast<double>(size);
        fmt::print("{:>8} {:>10.0f} {:>10.2f} {:>12.1f} {:>10.0f} {:>10.2f} {:>12.1f}\n", size, static_cast<double>(steady.bytes) / nodeSeconds,
            static_cast<double>(steady.messages) / nodeSeconds, steady.processor / nodeSeconds * 1e6, static_cast<double>(changing.bytes) / nodeSeconds,
            static_cast<double>(changing.messages) / nodeSeconds, changing.processor / nodeSeconds * 1e6);
    }
}

EndpointAnnouncement makeAnnouncement(std::size_t index, std::uint64_t sequence, Random& random)
{
    EndpointAnnouncement announcement;
    announcement.id = EndpointId(fmt::format("endpoint-{:05}", index));
    announcement.address = instanceAddress(index);
    announcement.service = ServiceName("models");
    announcement.dataCentre = DataCentreName("data-centre-1");
    announcement.versions = { 17 };
    announcement.adapters = { "base" };
    announcement.slots = 32;
    announcement.running = static_cast<std::uint32_t>(random.below(32));
    announcement.queued = static_cast<std::uint32_t>(random.below(100));
    announcement.outstandingTokens = random.below(100000);
    announcement.reportTimeMs = static_cast<std::int64_t>(1000 * sequence + random.below(1000));
    announcement.incarnation = 1;
    announcement.sequence = sequence;
    return announcement;
}

using Directory = EndpointDirectory<ManualClock>;

std::unique_ptr<Directory> makeDirectory(std::size_t index, const ManualClock& clock, Random& random)
{
    DirectoryOptions options;
    options.self = InstanceId(instanceName(index));
    options.dataCentre = DataCentreName("data-centre-1");
    return std::make_unique<Directory>(std::move(options), clock, random);
}

/// One pull of all batches; adds the encoded sizes of requests and answers.
void pull(Directory& requester, const InstanceId& peerName, Directory& peer, DeltaScope scope, TimePoint now, Cost& cost)
{
    bool more = true;
    while (more) {
        const std::string request = encodeRequest(requester.makeRequest(peerName, scope));
        const std::string answer = encodeBatch(peer.answer(*decodeRequest(request)));
        const auto batch = decodeBatch(answer);
        requester.merge(*batch, now);
        more = batch->hasMore;
        cost.bytes += request.size() + answer.size();
        cost.messages += 2;
    }
}

/// All instances pull from each other; each endpoint announces itself to a random one every second.
void printMesh(Duration duration)
{
    const double seconds = std::chrono::duration<double>(duration).count();
    fmt::print("\n# Endpoint directories that pull from each other every {} ms; in and out per node\n", meshPullInterval / 1ms);
    fmt::print("{:>9} {:>9} {:>10} {:>10} {:>12}\n", "instances", "endpoints", "bytes/s", "msg/s", "cpu us/s");
    for (const std::size_t instances : { 3U, 9U, 27U }) {
        for (const std::size_t endpoints : { 15U, 60U, 240U }) {
            ManualClock clock;
            Random random(seed);
            std::deque<std::unique_ptr<Directory>> directories;
            for (std::size_t i = 0; i < instances; ++i)
                directories.push_back(makeDirectory(i, clock, random));
            Cost cost;
            const double start = processorSeconds();
            for (TimePoint now = clock.now(); now < TimePoint(1s) + duration; clock.advance(meshPullInterval), now = clock.now()) {
                const auto sequence = static_cast<std::uint64_t>(now.time_since_epoch() / 1s);
                for (std::size_t e = 0; now.time_since_epoch() % 1s == 0s && e < endpoints; ++e)
                    (void)directories[random.below(instances)]->announce(makeAnnouncement(e, sequence, random));
                for (std::size_t i = 0; i < instances * instances; ++i) {
                    if (i / instances != i % instances)
                        pull(*directories[i / instances], InstanceId(instanceName(i % instances)), *directories[i % instances], DeltaScope::Local, now, cost);
                }
            }
            cost.processor = processorSeconds() - start;
            const double nodeSeconds = seconds * static_cast<double>(instances);
            // Each message leaves one node and arrives at another.
            fmt::print("{:>9} {:>9} {:>10.0f} {:>10.1f} {:>12.1f}\n", instances, endpoints, 2 * static_cast<double>(cost.bytes) / nodeSeconds,
                2 * static_cast<double>(cost.messages) / nodeSeconds, cost.processor / nodeSeconds * 1e6);
        }
    }
}

/// An aggregator holds all endpoints of a data centre; nodes pull their candidates from it every second.
void printAggregator(std::size_t maxEndpoints, Duration duration)
{
    constexpr std::size_t nodes = 91;
    const double seconds = std::chrono::duration<double>(duration).count();
    fmt::print("\n# {} nodes that pull their candidates of one service from an aggregator every second\n", nodes);
    fmt::print("{:>9} {:>14} {:>16} {:>18} {:>14}\n", "endpoints", "node bytes/s", "node cpu us/s", "aggregator bytes/s", "candidates ns");
    for (std::size_t endpoints = 60; endpoints <= maxEndpoints; endpoints *= 2) {
        ManualClock clock;
        Random random(seed);
        const auto aggregator = makeDirectory(0, clock, random);
        std::deque<std::unique_ptr<Directory>> directories;
        for (std::size_t i = 1; i <= nodes; ++i)
            directories.push_back(makeDirectory(i, clock, random));
        Cost cost;
        const double start = processorSeconds();
        for (TimePoint now = clock.now(); now < TimePoint(1s) + duration; clock.advance(pullInterval), now = clock.now()) {
            for (std::size_t e = 0; e < endpoints; ++e)
                (void)aggregator->announce(makeAnnouncement(e, static_cast<std::uint64_t>(now.time_since_epoch() / 1s), random));
            for (const auto& directory : directories)
                pull(*directory, InstanceId(instanceName(0)), *aggregator, DeltaScope::Subset, now, cost);
        }
        cost.processor = processorSeconds() - start;
        constexpr int lookups = 20000;
        const double lookupStart = processorSeconds();
        std::size_t found = 0;
        for (int i = 0; i < lookups; ++i)
            found += directories[0]->candidates(ServiceName("models")).size();
        const double lookupTime = (processorSeconds() - lookupStart) / lookups;
        const double nodeSeconds = seconds * nodes;
        fmt::print("{:>9} {:>14.0f} {:>16.1f} {:>18.0f} {:>14.0f}{}\n", endpoints, static_cast<double>(cost.bytes) / nodeSeconds,
            cost.processor / nodeSeconds * 1e6, static_cast<double>(cost.bytes) / seconds, lookupTime * 1e9, found == 0 ? " (none)" : "");
    }
}

/// Bytes on the connection for requests with bodies of gossip size, over loopback.
bool printTransport()
{
    transport::ServerOptions serverOptions;
    serverOptions.listen = { "127.0.0.1", 0 };
    serverOptions.secret = randomHex(16);
    transport::ClientOptions clientOptions;
    clientOptions.secret = serverOptions.secret;
    transport::PeerServer server(serverOptions);
    transport::PeerClient client(clientOptions);
    server.handle("gossip", [](const transport::PeerRequest&) -> transport::PeerReply { return std::string(); });
    if (!server.start() || !client.start())
        return false;
    constexpr int calls = 2000;
    constexpr std::size_t bodyBytes = 60;
    const double start = processorSeconds();
    for (int i = 0; i < calls; ++i) {
        if (!client.call(server.address(), "gossip", std::string(bodyBytes, 'x'), SystemClock().now() + 10s))
            return false;
    }
    const double processor = processorSeconds() - start;
    const transport::TrafficSnapshot traffic = client.traffic();
    fmt::print("\n# Transport, {} calls with bodies of {} bytes: {:.0f} bytes sent and {:.0f} received a call, {:.0f} us of processor time for both sides\n",
        calls, bodyBytes, static_cast<double>(traffic.wireBytesOut) / calls, static_cast<double>(traffic.wireBytesIn) / calls, processor / calls * 1e6);
    return true;
}

}

int runMembershipFigures(int argc, char** argv)
{
    namespace options = boost::program_options;
    std::size_t maxMembers = 0;
    std::size_t maxEndpoints = 0;
    int seconds = 0;
    options::options_description description("Figures of membership");
    description.add_options()("help", "print this text");
    description.add_options()("max-members", options::value(&maxMembers)->default_value(243), "largest number of simulated members");
    description.add_options()("max-endpoints", options::value(&maxEndpoints)->default_value(960), "largest number of endpoints of an aggregator");
    description.add_options()("seconds", options::value(&seconds)->default_value(60), "virtual time of each measurement");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error& error) {
        fmt::print(stderr, "{}\n", error.what());
        return 2;
    }
    if (values.contains("help")) {
        fmt::print("{}", (std::ostringstream() << description).str());
        return 0;
    }
    const Duration duration = std::chrono::seconds(seconds);
    printMembers(maxMembers, duration);
    printMesh(duration);
    printAggregator(maxEndpoints, duration);
    return printTransport() ? 0 : 1;
}
