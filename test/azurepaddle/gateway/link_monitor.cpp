#include "azurepaddle/gateway/link_monitor.hpp"
#include "azurepaddle/gateway/relay_peers.hpp"

#include <criterion/criterion.h>

#include <algorithm>

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
        now += 1s;
        const auto probes = begin(now);
        std::optional<LinkState> changed;
        for (std::size_t probe = 0; probe < probes.size(); ++probe)
            changed = monitor.recordProbe(probe < reachable);
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
