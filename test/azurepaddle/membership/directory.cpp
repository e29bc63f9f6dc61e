#include "azurepaddle/core/random.hpp"
#include "azurepaddle/membership/endpoint_directory.hpp"

#include <algorithm>
#include <atomic>
#include <criterion/criterion.h>
#include <deque>
#include <set>
#include <thread>

using namespace azurepaddle;
using namespace azurepaddle::membership;
using namespace std::chrono_literals;

namespace {

const ServiceName service("models");

EndpointAnnouncement makeAnnouncement(const std::string& id, std::uint64_t incarnation = 1, std::uint64_t sequence = 0)
{
    EndpointAnnouncement announcement;
    announcement.id = EndpointId(id);
    announcement.address = "127.0.0.1:80";
    announcement.service = service;
    announcement.dataCentre = DataCentreName("a");
    announcement.versions = { 7 };
    announcement.adapters = { "base" };
    announcement.slots = 8;
    announcement.incarnation = incarnation;
    announcement.sequence = sequence;
    return announcement;
}

/// A directory with its own clock, which may be offset from those of other instances.
struct Instance {
    explicit Instance(const std::string& name, Duration offset = 0s, std::uint64_t seed = 1)
        : self(name)
        , random(seed)
        , directory(makeOptions(name), clock, random)
    {
        clock.advance(offset);
    }

    static DirectoryOptions makeOptions(const std::string& name)
    {
        DirectoryOptions options;
        options.self = InstanceId(name);
        options.dataCentre = DataCentreName("a");
        return options;
    }

    void pull(Instance& peer, DeltaScope scope = DeltaScope::Local, Duration delay = 0s)
    {
        const TimePoint requestedAt = clock.now();
        const auto request = decodeRequest(encodeRequest(directory.makeRequest(peer.name(), scope)));
        const auto batch = decodeBatch(encodeBatch(peer.directory.answer(request.value())));
        clock.advance(delay);
        directory.merge(batch.value(), requestedAt);
    }

    [[nodiscard]] InstanceId name() const { return InstanceId(self); }

    std::string self;
    ManualClock clock;
    Random random;
    EndpointDirectory<ManualClock> directory;
};

bool isCandidate(const Instance& instance, const std::string& id)
{
    const CandidateList candidates = instance.directory.candidates(service);
    return std::any_of(candidates.begin(), candidates.end(), [&](const auto& record) { return record->announcement.id.value() == id; });
}

/// Instances that pull from each other and whose clocks advance together.
struct Mesh {
    explicit Mesh(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i)
            instances.emplace_back("i" + std::to_string(i), std::chrono::hours(i * 37), i + 1);
    }

    void advance(Duration step)
    {
        for (Instance& instance : instances)
            instance.clock.advance(step);
    }

    void pullAll(DeltaScope scope = DeltaScope::Local)
    {
        for (Instance& instance : instances) {
            for (Instance& peer : instances) {
                if (&peer != &instance)
                    instance.pull(peer, scope);
            }
            (void)instance.directory.expire();
        }
    }

    std::deque<Instance> instances;
};

}

// Guards against an endpoint that is listed only at the instance that received its announcement, and against fields
// that are lost in transfer.
Test(Directory, announcement_pulled_isCandidateEverywhere)
{
    Mesh mesh(3);
    EndpointAnnouncement announcement = makeAnnouncement("e", 5, 9);
    announcement.cacheEvents = { { 3, { 111, 222 }, { 333 } } };
    cr_assert(mesh.instances[0].directory.announce(announcement).has_value());
    mesh.pullAll();
    for (Instance& instance : mesh.instances)
        cr_assert(instance.directory.candidates(service).at(0)->announcement == announcement);
}

// Guards against an endpoint that still gets work 5 s after its last announcement. Also detects leases that depend on
// the clocks of other instances, as the clocks differ by days.
Test(Directory, endpointStopsAnnouncing_within5Seconds_isNoCandidateAnywhere)
{
    Mesh mesh(5);
    std::uint64_t sequence = 0;
    for (int tick = 0; tick < 40; ++tick) {
        if (tick % 4 == 0) {
            ++sequence;
            cr_assert(mesh.instances[sequence % 5].directory.announce(makeAnnouncement("e", 1, sequence)).has_value());
        }
        mesh.pullAll();
        mesh.advance(250ms);
        if (tick > 0)
            cr_assert(std::all_of(mesh.instances.begin(), mesh.instances.end(), [](const Instance& instance) { return isCandidate(instance, "e"); }));
    }
    for (Duration silent = 1s; silent < 5s; silent += 250ms) {
        mesh.pullAll();
        mesh.advance(250ms);
    }
    for (const Instance& instance : mesh.instances)
        cr_assert(!isCandidate(instance, "e"));
}

// Guards against a delayed answer that prolongs a lease which has already expired.
Test(Directory, answerDelayed_merged_doesNotProlongTheLease)
{
    Instance a("a");
    Instance b("b");
    cr_assert(a.directory.announce(makeAnnouncement("e")).has_value());
    b.pull(a, DeltaScope::Local, 10s);
    cr_assert(!isCandidate(b, "e"));
}

// Guards against a concurrent renewal at another instance that cancels a leave, and against a leave that is not
// transferred to all instances.
Test(Directory, leave_concurrentWithRenewal_wins)
{
    Mesh mesh(3);
    auto& instances = mesh.instances;
    cr_assert(instances[0].directory.announce(makeAnnouncement("e", 1, 1)).has_value());
    mesh.pullAll();
    cr_assert(instances[1].directory.leave(EndpointId("e")).has_value());
    cr_assert(instances[0].directory.announce(makeAnnouncement("e", 1, 2)).has_value());
    mesh.pullAll();
    for (const Instance& instance : instances)
        cr_assert(!isCandidate(instance, "e"));
    cr_assert(instances[2].directory.announce(makeAnnouncement("e", 1, 3)).error().code() == DirectoryErrorCode::Left);
    cr_assert(instances[2].directory.announce(makeAnnouncement("e", 2, 1)).has_value());
    mesh.pullAll();
    for (const Instance& instance : instances)
        cr_assert(isCandidate(instance, "e"));
}

// Guards against a leave that is ignored because it arrives before the announcement of the same incarnation.
Test(Directory, leave_beforeAnnouncement_holdsForItsIncarnation)
{
    Instance a("a");
    cr_assert(a.directory.leave(EndpointId("e")).error().code() == DirectoryErrorCode::Unknown);
    cr_assert(a.directory.leave(EndpointId("e"), 4).has_value());
    cr_assert(a.directory.announce(makeAnnouncement("e", 4)).error().code() == DirectoryErrorCode::Left);
    cr_assert(a.directory.announce(makeAnnouncement("e", 3)).error().code() == DirectoryErrorCode::Superseded);
    cr_assert(a.directory.announce(makeAnnouncement("e", 5)).has_value());
}

// Guards against an old announcement that arrives late and replaces a newer one.
Test(Directory, olderAnnouncement_arrivesLate_isSuperseded)
{
    Instance a("a");
    cr_assert(a.directory.announce(makeAnnouncement("e", 2, 5)).has_value());
    cr_assert(a.directory.announce(makeAnnouncement("e", 2, 4)).error().code() == DirectoryErrorCode::Superseded);
    cr_assert(a.directory.announce(makeAnnouncement("e", 1, 9)).error().code() == DirectoryErrorCode::Superseded);
    cr_assert(a.directory.announce(makeAnnouncement("e", 3, 1)).has_value());
}

// Guards against drain marks that are lost when the endpoint restarts, or that are not transferred to an instance that
// joins later.
Test(Directory, drainMark_set_holdsEverywhereUntilCleared)
{
    Mesh mesh(3);
    auto& instances = mesh.instances;
    cr_assert(instances[0].directory.announce(makeAnnouncement("e", 1, 1)).has_value());
    mesh.pullAll();
    instances[1].directory.setDraining(EndpointId("e"), true);
    mesh.pullAll();
    cr_assert(instances[0].directory.announce(makeAnnouncement("e", 2, 1)).has_value());
    mesh.pullAll();
    Instance joiner("joiner");
    joiner.pull(instances[2]);
    cr_assert(!isCandidate(joiner, "e") && joiner.directory.find(EndpointId("e"))->draining);
    for (const Instance& instance : instances)
        cr_assert(!isCandidate(instance, "e"));
    instances[2].directory.setDraining(EndpointId("e"), false);
    mesh.pullAll();
    for (const Instance& instance : instances)
        cr_assert(isCandidate(instance, "e"));
}

// Guards against a renewal that is applied to an announcement with another weight version: an instance pulls the
// renewal from a peer before it receives the full announcement with the new version.
Test(Directory, versionChanges_renewedElsewhere_isNeverMixed)
{
    Mesh mesh(3);
    auto& instances = mesh.instances;
    cr_assert(instances[0].directory.announce(makeAnnouncement("e", 1, 1)).has_value());
    mesh.pullAll();
    EndpointAnnouncement changed = makeAnnouncement("e", 1, 2);
    changed.versions = { 8 };
    cr_assert(instances[0].directory.announce(changed).has_value());
    instances[1].pull(instances[0]);
    changed.sequence = 3;
    changed.running = 5;
    cr_assert(instances[1].directory.announce(changed).has_value());
    for (int i = 0; i < 2; ++i) {
        instances[2].pull(instances[1]);
        const EndpointAnnouncement& seen = instances[2].directory.find(EndpointId("e"))->announcement;
        cr_assert((seen.versions.at(0) == 8) == (seen.sequence == 3));
    }
    cr_assert(instances[2].directory.find(EndpointId("e"))->announcement == changed);
}

// Guards against an instance that continues from the old version of a peer whose directory was restarted and numbers
// its changes from the beginning, and therefore misses changes.
Test(Directory, peerRestarts_withNewEpoch_isReadFromTheBeginning)
{
    Instance b("b");
    {
        Instance a("a", 0s, 1);
        for (int i = 0; i < 20; ++i)
            cr_assert(a.directory.announce(makeAnnouncement("old" + std::to_string(i))).has_value());
        b.pull(a);
    }
    Instance restarted("a", 0s, 2);
    cr_assert(restarted.directory.announce(makeAnnouncement("new")).has_value());
    b.pull(restarted);
    cr_assert(isCandidate(b, "new"));
}

// Guards against batches whose size grows with the number of endpoints, and against entries lost between two batches.
Test(Directory, manyEndpoints_pulled_arriveInBoundedBatches)
{
    Instance a("a");
    Instance b("b");
    for (int i = 0; i < 5000; ++i)
        cr_assert(a.directory.announce(makeAnnouncement("endpoint-" + std::to_string(i))).has_value());
    bool more = true;
    for (int batches = 0; more; ++batches) {
        cr_assert(batches < 50);
        const DeltaBatch batch = a.directory.answer(b.directory.makeRequest(InstanceId("a"), DeltaScope::All));
        cr_assert(encodeBatch(batch).size() < 2 * DirectoryOptions {}.maxBatchBytes);
        b.directory.merge(batch);
        more = batch.hasMore;
    }
    cr_assert(b.directory.statuses().size() == 5000);
}

// Guards against candidates that change without a change of the endpoints, that are concentrated on few endpoints over
// all instances, or that ignore the own data centre.
Test(Directory, manyEndpoints_candidates_areStableAndSpread)
{
    std::set<EndpointId> used;
    for (int n = 0; n < 60; ++n) {
        Instance instance("i" + std::to_string(n));
        for (int i = 0; i < 600; ++i) {
            EndpointAnnouncement announcement = makeAnnouncement("e" + std::to_string(i));
            announcement.dataCentre = DataCentreName(i % 2 == 0 ? "a" : "b");
            cr_assert(instance.directory.announce(announcement).has_value());
        }
        const CandidateList candidates = instance.directory.candidates(service);
        cr_assert(candidates.size() == 64);
        cr_assert(candidates == instance.directory.candidates(service));
        for (const auto& record : candidates) {
            cr_assert(record->announcement.dataCentre == DataCentreName("a"));
            used.insert(record->announcement.id);
        }
        cr_assert(instance.directory.leave(candidates[10]->announcement.id).has_value());
        const CandidateList next = instance.directory.candidates(service);
        cr_assert(next.size() == 64 && std::equal(next.begin() + 10, next.end() - 1, candidates.begin() + 11));
    }
    cr_assert(used.size() > 290);
}

// Guards against an aggregator that sends an instance more than its candidates, or other candidates than the instance
// itself would choose.
Test(Directory, subsetPulled_fromAggregator_equalsLocalChoice)
{
    Instance aggregator("aggregator");
    Instance complete("node");
    Instance node("node", 5h);
    for (int i = 0; i < 480; ++i) {
        const EndpointAnnouncement announcement = makeAnnouncement("e" + std::to_string(i), 1, 1);
        cr_assert(aggregator.directory.announce(announcement).has_value());
        cr_assert(complete.directory.announce(announcement).has_value());
    }
    node.pull(aggregator, DeltaScope::Subset);
    cr_assert(node.directory.statuses().size() == 64);
    const auto ids = [](const CandidateList& list) {
        std::vector<EndpointId> result;
        std::transform(list.begin(), list.end(), std::back_inserter(result), [](const auto& record) { return record->announcement.id; });
        return result;
    };
    cr_assert(ids(node.directory.candidates(service)) == ids(complete.directory.candidates(service)));
    const EndpointId gone = ids(node.directory.candidates(service)).at(3);
    cr_assert(aggregator.directory.leave(gone).has_value() && complete.directory.leave(gone).has_value());
    node.pull(aggregator, DeltaScope::Subset);
    cr_assert(ids(node.directory.candidates(service)) == ids(complete.directory.candidates(service)));
}

// Guards against data races between concurrent announcements, look-ups, expiry and exchanges with peers.
Test(Directory, severalThreads_use_seeConsistentLists)
{
    ManualClock clock;
    Random random(3);
    EndpointDirectory<ManualClock> directory(Instance::makeOptions("a"), clock, random);
    Instance b("b");
    std::atomic<int> inconsistentCount = 0;
    std::vector<std::thread> threads;
    for (int t = 0; t < 4; ++t) {
        threads.emplace_back([&, t] {
            for (int i = 0; i < 500; ++i) {
                const bool announced = directory.announce(makeAnnouncement("e" + std::to_string(t) + "-" + std::to_string(i % 40))).has_value();
                const CandidateList candidates = directory.candidates(service);
                inconsistentCount += announced && !candidates.empty() && candidates.size() <= 64 ? 0 : 1;
                (void)directory.expire();
            }
        });
    }
    for (int i = 0; i < 100; ++i)
        b.directory.merge(directory.answer(b.directory.makeRequest(InstanceId("a"), DeltaScope::All)));
    for (std::thread& thread : threads)
        thread.join();
    cr_assert(inconsistentCount == 0);
    b.directory.merge(directory.answer(b.directory.makeRequest(InstanceId("a"), DeltaScope::All)));
    cr_assert(b.directory.statuses().size() == 160);
}

// Guards against oversized announcements, which would be copied to all instances and could exhaust their memory.
Test(Directory, oversizedAnnouncement_made_isInvalid)
{
    Instance a("a");
    EndpointAnnouncement announcement = makeAnnouncement("e");
    announcement.adapters.assign(1000, "x");
    cr_assert(a.directory.announce(announcement).error().code() == DirectoryErrorCode::Invalid);
    announcement = makeAnnouncement(std::string(1000, 'x'));
    cr_assert(a.directory.announce(announcement).error().code() == DirectoryErrorCode::Invalid);
    announcement = makeAnnouncement("e");
    announcement.cacheEvents.assign(1, { 1, std::vector<std::uint64_t>(100000), {} });
    cr_assert(a.directory.announce(announcement).error().code() == DirectoryErrorCode::Invalid);
}

// Guards against unbounded memory when endpoints continually come and go under new identifiers.
Test(Directory, endpointsComeAndGo_forHours_areRemoved)
{
    Instance a("a");
    for (int i = 0; i < 5000; ++i) {
        cr_assert(a.directory.announce(makeAnnouncement("e" + std::to_string(i))).has_value());
        a.clock.advance(1s);
        (void)a.directory.expire();
    }
    cr_assert(a.directory.statuses().size() < 70);
}

// Guards against truncated or mutated batches and requests that crash an instance or enter its lists without
// validation.
Test(Directory, mutatedDeltas_decodedAndMerged_neverCrash)
{
    Instance a("a");
    Instance b("b");
    EndpointAnnouncement announcement = makeAnnouncement("e", 1, 1);
    announcement.cacheEvents = { { 1, { 5, 6 }, { 7 } } };
    cr_assert(a.directory.announce(announcement).has_value());
    cr_assert(a.directory.leave(EndpointId("gone"), 3).has_value());
    a.directory.setDraining(EndpointId("drained"), true);
    b.pull(a);
    const std::string full = encodeBatch(a.directory.deltasSince(0));
    announcement.sequence = 2;
    cr_assert(a.directory.announce(announcement).has_value());
    const std::string renewal = encodeBatch(a.directory.answer(b.directory.makeRequest(InstanceId("a"), DeltaScope::All)));
    const std::string request = encodeRequest(b.directory.makeRequest(InstanceId("a"), DeltaScope::Subset));
    Random random(20264);
    std::size_t merged = 0;
    for (const std::string& sample : { full, renewal, request }) {
        for (std::size_t size = 0; size < sample.size(); ++size)
            cr_assert(!decodeBatch(std::string_view(sample).substr(0, size)) && !decodeRequest(std::string_view(sample).substr(0, size)));
        for (int i = 0; i < 3000; ++i) {
            std::string bytes = sample;
            for (std::uint64_t edits = 1 + random.below(4); edits > 0; --edits)
                bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
            if (const auto batch = decodeBatch(bytes)) {
                ++merged;
                b.directory.merge(*batch);
            }
            if (const auto decoded = decodeRequest(bytes))
                (void)b.directory.answer(*decoded);
            b.clock.advance(10ms);
            (void)b.directory.expire();
        }
    }
    cr_assert(merged > 100);
    for (const EndpointStatus& status : b.directory.statuses())
        cr_assert(checkAnnouncement(status.record->announcement).has_value() && status.leaseRemaining <= DirectoryOptions {}.lease);
}
