#include "azurepaddle/gateway/link_monitor.hpp"
#include "azurepaddle/gateway/relay_peers.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <set>

using namespace azurepaddle;
using namespace azurepaddle::gateway;
using namespace std::chrono_literals;

namespace {

registry::EndpointRecord endpoint(const std::string& id, const std::string& dataCentre)
{
    registry::EndpointRecord record;
    record.id = EndpointId(id);
    record.dataCentre = DataCentreName(dataCentre);
    return record;
}

/// Six endpoints in three data centres, and the probes of them.
struct LinkFixture {
    LinkMonitor monitor;
    TimePoint now { 100s };
    std::vector<registry::EndpointRecord> endpoints { endpoint("1", "a"), endpoint("2", "a"), endpoint("3", "a"), endpoint("4", "b"), endpoint("5", "b"), endpoint("6", "c") };

    /// The endpoints to probe at a time; empty if no round is due.
    std::vector<registry::EndpointRecord> begin(TimePoint at)
    {
        return monitor.isRoundDue(at) ? monitor.beginRound(endpoints, at) : std::vector<registry::EndpointRecord>();
    }

    /// Runs one round, in which the first `reachable` probed endpoints accept connections. Returns the change of state.
    std::optional<LinkState> round(std::size_t reachable)
    {
        std::size_t probed = 0;
        return round([&](const registry::EndpointRecord&) { return probed++ < reachable; });
    }

    /// Runs one round. Returns the change of state.
    std::optional<LinkState> round(const std::function<bool(const registry::EndpointRecord&)>& isReachable)
    {
        now += 1s;
        std::optional<LinkState> changed;
        for (auto probes = begin(now); !probes.empty(); probes = monitor.continueRound()) {
            for (const registry::EndpointRecord& probe : probes)
                changed = monitor.recordProbe(isReachable(probe));
        }
        return changed;
    }
};

}

// Guards against probes while nothing fails, each of which costs an endpoint a connection.
Test(LinkMonitor, nothingFails_noRound_isDue)
{
    LinkFixture fixture;
    cr_assert(fixture.begin(fixture.now).empty());
    fixture.monitor.recordContact();
    cr_assert(fixture.begin(fixture.now + 10s).empty());
}

// Guards against a round that probes only endpoints of one data centre, which may have failed as a whole.
Test(LinkMonitor, connectionFails_round_coversAllDataCentres)
{
    LinkFixture fixture;
    fixture.monitor.recordFailure(fixture.now);
    const auto probes = fixture.begin(fixture.now);
    std::set<DataCentreName> dataCentres;
    std::set<EndpointId> ids;
    for (const registry::EndpointRecord& probe : probes) {
        dataCentres.insert(probe.dataCentre);
        ids.insert(probe.id);
    }
    cr_assert(probes.size() == 4 && ids.size() == 4 && dataCentres.size() == 3);
    cr_assert(fixture.begin(fixture.now + 10s).empty());
}

// Guards against an instance that takes itself for cut off because some endpoints crashed.
Test(LinkMonitor, oneEndpointAnswers_linksAreUp)
{
    LinkFixture fixture;
    fixture.monitor.recordFailure(fixture.now);
    cr_assert(!fixture.round(1));
    cr_assert(fixture.monitor.state() == LinkState::Up);
}

// Guards against an instance that takes itself for cut off because the endpoints that it probes are those that crashed,
// and that refuses requests although the other endpoints serve.
Test(LinkMonitor, allEndpointsOfFirstProbesCrashed_othersAreProbed_linksAreUp)
{
    constexpr std::size_t count = 10;
    constexpr std::size_t crashed = 4;
    for (std::size_t first = 0; first < count; ++first) {
        LinkFixture fixture;
        fixture.endpoints.clear();
        for (std::size_t number = 0; number < count; ++number)
            fixture.endpoints.push_back(endpoint(std::to_string(number), "a"));
        const auto isUp = [first](const registry::EndpointRecord& record) { return (std::stoul(record.id.value()) + count - first) % count >= crashed; };
        for (std::size_t round = 0; round < count; ++round) {
            fixture.monitor.recordFailure(fixture.now);
            cr_assert(!fixture.round(isUp), "links are cut in round %zu with endpoints %zu to %zu down", round, first, first + crashed - 1);
        }
    }
}

// Guards against a connection attempt to each of hundreds of endpoints, by each instance that is cut off, every 300 ms.
Test(LinkMonitor, noEndpointAnswers_probes_areLimited)
{
    LinkFixture fixture;
    fixture.endpoints.clear();
    for (std::size_t number = 0; number < 1000; ++number)
        fixture.endpoints.push_back(endpoint(std::to_string(number), number % 2 == 0 ? "a" : "b"));
    std::size_t probed = 0;
    std::set<EndpointId> ids;
    const auto count = [&](const registry::EndpointRecord& record) {
        ++probed;
        ids.insert(record.id);
        return false;
    };
    fixture.monitor.recordFailure(fixture.now);
    cr_assert(fixture.round(count) == LinkState::Cut);
    cr_assert(probed == ids.size() && probed >= 30 && probed <= 40, "%zu probes of %zu endpoints", probed, ids.size());
    probed = 0;
    cr_assert(!fixture.round(count));
    cr_assert(probed <= 4, "%zu probes in a round while the links are cut", probed);
}

// Guards against an instance that takes itself for cut off although an answer arrived while it probed.
Test(LinkMonitor, answerArrivesDuringRound_linksAreUp)
{
    LinkFixture fixture;
    fixture.monitor.recordFailure(fixture.now);
    const auto probes = fixture.begin(fixture.now);
    fixture.monitor.recordContact();
    for (std::size_t probe = 0; probe < probes.size(); ++probe)
        cr_assert(!fixture.monitor.recordProbe(false));
    cr_assert(fixture.monitor.state() == LinkState::Up);
}

// Guards against a cut that each request detects anew by its own wait, and against one that never ends.
Test(LinkMonitor, noEndpointAnswers_linksAreCut_untilOneDoes)
{
    LinkFixture fixture;
    fixture.monitor.recordFailure(fixture.now);
    cr_assert(fixture.round(0) == LinkState::Cut);
    cr_assert(!fixture.round(0));
    cr_assert(fixture.monitor.state() == LinkState::Cut);
    cr_assert(fixture.round(1) == LinkState::Up);
    cr_assert(fixture.begin(fixture.now + 10s).empty());
}

// Guards against a single endpoint that crashed and is taken for a cut of the links.
Test(LinkMonitor, onlyEndpointFails_linksAreUp)
{
    LinkFixture fixture;
    fixture.endpoints = { endpoint("1", "a") };
    fixture.monitor.recordFailure(fixture.now);
    cr_assert(!fixture.round(0));
    cr_assert(fixture.monitor.state() == LinkState::Up);
}

// Guards against a storm of probes while many requests fail at once.
Test(LinkMonitor, manyFailures_roundsKeepTheirInterval)
{
    LinkFixture fixture;
    std::size_t rounds = 0;
    for (int step = 0; step < 100; ++step) {
        fixture.now += 10ms;
        fixture.monitor.recordFailure(fixture.now);
        const auto probes = fixture.begin(fixture.now);
        rounds += probes.empty() ? 0 : 1;
        for (std::size_t probe = 0; probe < probes.size(); ++probe)
            static_cast<void>(fixture.monitor.recordProbe(true));
    }
    cr_assert(rounds <= 4, "%zu rounds in a second", rounds);
}

namespace {

struct PeersFixture {
    Random random { 7 };
    RelayPeers peers { DataCentreName("a"), random };
    TimePoint now { 100s };

    static registry::EntryStatus entry(const std::string& address, const std::string& dataCentre, bool takesRequests = true)
    {
        return { address, DataCentreName(dataCentre), takesRequests };
    }
};

}

// Guards against all requests of a cut entry that burden one other entry.
Test(RelayPeers, requestsInProgress_areSpread)
{
    PeersFixture fixture;
    fixture.peers.add({ fixture.entry("10.0.0.1:1", "a"), fixture.entry("10.0.0.2:1", "b"), fixture.entry("10.0.0.3:1", "b", false) }, fixture.now);
    std::map<InstanceAddress, unsigned> counts;
    for (int request = 0; request < 10; ++request) {
        const auto peer = fixture.peers.choose({}, fixture.now);
        cr_assert(peer.has_value());
        fixture.peers.onStarted(*peer);
        ++counts[*peer];
    }
    cr_assert(counts.size() == 2);
    for (const auto& [address, count] : counts)
        cr_assert(count == 5, "%s got %u", address.ip.c_str(), count);
}

// Guards against requests that go to an entry which declined them, was already tried or has not been named for long.
Test(RelayPeers, entryUnavailable_isNotChosen)
{
    PeersFixture fixture;
    const InstanceAddress first { "10.0.0.1", 1 };
    fixture.peers.add({ fixture.entry("10.0.0.1:1", "a") }, fixture.now);
    cr_assert(fixture.peers.isCurrent(fixture.now));
    cr_assert(fixture.peers.choose({}, fixture.now) == first);
    cr_assert(!fixture.peers.choose({ first }, fixture.now));
    cr_assert(!fixture.peers.choose({}, fixture.now + 1min));
    fixture.peers.add({ fixture.entry("10.0.0.1:1", "a") }, fixture.now);
    fixture.peers.remove(first);
    cr_assert(!fixture.peers.choose({}, fixture.now));
    cr_assert(!fixture.peers.isCurrent(fixture.now));
}
