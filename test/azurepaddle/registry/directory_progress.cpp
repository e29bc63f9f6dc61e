#include "azurepaddle/registry/directory_progress.hpp"
#include "azurepaddle/registry/requests.hpp"
#include "azurepaddle/registry/state_machine.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::registry;
using namespace std::chrono_literals;

namespace {

struct ProgressFixture {
    asio::io_context io;
    DirectoryProgress progress { io };
    const SystemClock clock {};
    std::optional<bool> result;

    void wait(std::uint64_t revision, Duration timeout)
    {
        progress.wait(revision, clock.now() + timeout, [this](bool isReached) { result = isReached; });
    }
};

EndpointRecord endpoint(const std::string& id, const std::string& service)
{
    return { EndpointId(id), 1, ServiceName(service), "10.0.0." + id, 80, DataCentreName("a"), 4, EndpointState::Ready, {}, SoftwareVersion("v1") };
}

/// The reply of an earlier release, which names no revision.
struct EarlierReply {
    bool isKnown = false;
    StreamOrigin origin;
    MSGPACK_DEFINE(isKnown, origin)
};

}

// Guards against a take-up that waits although the endpoints are as new as the leader's.
Test(DirectoryProgress, revisionReached_wait_endsAtOnce)
{
    ProgressFixture fixture;
    fixture.progress.advanceTo(7);
    fixture.wait(7, 10s);
    cr_assert(fixture.result == true);
}

// Guards against a take-up that goes on with endpoints that are older than the leader's.
Test(DirectoryProgress, revisionMissing_wait_endsWhenItArrives)
{
    ProgressFixture fixture;
    fixture.progress.advanceTo(7);
    fixture.wait(9, 10s);
    fixture.progress.advanceTo(8);
    cr_assert(!fixture.result.has_value());
    fixture.progress.advanceTo(9);
    cr_assert(fixture.result == true);
    fixture.io.run(); // The cancelled timer must not call back again.
    cr_assert(fixture.result == true);
}

// Guards against a take-up without an answer at an entry that no longer receives changes.
Test(DirectoryProgress, revisionNeverArrives_wait_endsAtDeadline)
{
    ProgressFixture fixture;
    fixture.wait(1, 20ms);
    fixture.io.run();
    cr_assert(fixture.result == false);
    fixture.progress.advanceTo(1);
    cr_assert(fixture.result == false);
}

// Guards against take-ups that wait for changes of services that the entry never receives.
Test(Directory, otherServiceChanges_newestChangeOfService_staysTheSame)
{
    Directory directory;
    directory.set(endpoint("1", "streams"));
    const std::uint64_t revision = directory.newestChangeOf(ServiceName("streams"));
    directory.set(endpoint("2", "engines"));
    cr_assert(revision == 1 && directory.newestChangeOf(ServiceName("streams")) == 1);
    directory.set(endpoint("3", "streams"));
    cr_assert(directory.newestChangeOf(ServiceName("streams")) == 3);
}

// Guards against changes from before a snapshot that an instance takes for included although it does not.
Test(Directory, restored_newestChange_isItsRevision)
{
    Directory directory;
    directory.restore({ endpoint("1", "streams") }, 12);
    cr_assert(directory.newestChangeOf(ServiceName("streams")) == 12);
}

// Guards against entries and stores of two releases that cannot read each other's replies while they are replaced.
Test(FindStreamReply, earlierRelease_repliesAreReadBothWays)
{
    const StreamOrigin origin { ServiceName("streams"), SoftwareVersion("v1") };
    const auto fromEarlier = codec::decode<FindStreamReply>(codec::encode(EarlierReply { true, origin }));
    cr_assert(fromEarlier && fromEarlier->isKnown && fromEarlier->origin == origin && fromEarlier->directoryRevision == 0);
    const auto byEarlier = codec::decode<EarlierReply>(codec::encode(FindStreamReply { true, origin, 5 }));
    cr_assert(byEarlier && byEarlier->isKnown && byEarlier->origin == origin);
}
