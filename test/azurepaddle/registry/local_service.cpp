#include "azurepaddle/registry/local_service.hpp"
#include "azurepaddle/registry/store_group.hpp"

using namespace azurepaddle;
using namespace azurepaddle::registry;
using namespace std::chrono_literals;

namespace {

const ServiceName forwarded("forwarded");
const ServiceName engines("engines");

/// A store instance and an entry instance that polls it.
struct LocalServiceFixture : fixture::StoreGroup {
    LeaderClient leader { io, client };
    LocalService service { io, group, machine, leader, DataCentreName("a") };
    const SystemClock clock {};

    LocalServiceFixture()
    {
        service.registerHandlers(server);
        service.setServices(0, { forwarded });
        start();
        cr_assert(runUntil([&] { return group.hasRecentState(); }));
    }

    bool runUntil(const std::function<bool()>& condition)
    {
        const TimePoint end = clock.now() + 20s;
        while (!condition() && clock.now() < end) {
            io.run_for(5ms);
            service.tick();
        }
        return condition();
    }

    void apply(const Command& command)
    {
        bool isApplied = false;
        group.propose(encodeCommand(command), [&](const cluster::ProposalResult& result) { isApplied = result.status == cluster::ProposalStatus::Applied; });
        cr_assert(runUntil([&] { return isApplied; }));
    }

    void add(const std::string& id, const ServiceName& itsService)
    {
        apply(SetEndpoint { { EndpointId(id), 1, itsService, id, 80, DataCentreName("a"), 4, EndpointState::Ready, {} } });
    }

    /// Sends a poll. The result is set when the reply arrives.
    std::shared_ptr<std::optional<PollReply>> poll(const PollRequest& request)
    {
        auto reply = std::make_shared<std::optional<PollReply>>();
        client.send(address, std::string(PollRequest::method), codec::encode(request), clock.now() + 5s, [this, reply](transport::CallResult result) {
            asio::post(io, [reply, result = std::move(result)] { *reply = result ? decodeReplyOrRedirect<PollReply>(*result).reply : std::nullopt; });
        });
        return reply;
    }

    PollReply answered(const PollRequest& request)
    {
        const auto reply = poll(request);
        cr_assert(runUntil([&] { return reply->has_value(); }));
        return **reply;
    }
};

}

// Guards against a reply that contains endpoints of services to which entry instances do not forward, or lacks others.
Test(LocalService, firstPoll_answered_containsEndpointsOfForwardedServices)
{
    LocalServiceFixture fixture;
    fixture.add("one", forwarded);
    fixture.add("engine", engines);
    const PollReply reply = fixture.answered({});
    cr_assert(reply.endpoints.size() == 1 && reply.endpoints.front().id == EndpointId("one"));
    cr_assert(reply.directoryRevision == 2);
    cr_assert(reply.dataCentre == DataCentreName("a"));
    cr_assert(reply.members == std::vector<std::string>({ formatAddress(fixture.address) }));
}

// Guards against changes that reach an entry instance only with its next poll, and against replies without changes.
Test(LocalService, pollWithoutChanges_isHeldUntilChange)
{
    LocalServiceFixture fixture;
    fixture.add("one", forwarded);
    const auto reply = fixture.poll({ 0, 1 });
    fixture.add("engine", engines);
    cr_assert(!reply->has_value(), "endpoints of services that are not forwarded are no change");
    fixture.apply(DeregisterEndpoint { { EndpointId("one"), 1 } });
    cr_assert(fixture.runUntil([&] { return reply->has_value(); }));
    cr_assert((*reply)->removed == std::vector<EndpointId>({ EndpointId("one") }));
    cr_assert(!(*reply)->isFullUpdate);
}

// Guards against an entry instance that activates a configuration without the endpoints of its services.
Test(LocalService, configurationChanged_answered_onceItsServicesAreSet)
{
    LocalServiceFixture fixture;
    fixture.add("engine", engines);
    const auto reply = fixture.poll({ 0, 1 });
    fixture.apply(PutConfiguration { { 4, "four" } });
    const TimePoint longEnough = fixture.clock.now() + 1s;
    cr_assert(fixture.runUntil([&] { return fixture.clock.now() > longEnough; }));
    cr_assert(!reply->has_value(), "the services of the new configuration are not known yet");
    fixture.service.setServices(4, { engines });
    cr_assert(fixture.runUntil([&] { return reply->has_value(); }));
    cr_assert((*reply)->configuration == "four");
    cr_assert((*reply)->isFullUpdate && (*reply)->endpoints.size() == 1);
}

// Guards against an entry instance whose state is reset by a store instance with an older state.
Test(LocalService, requesterHasNewerState_answered_keepsIt)
{
    LocalServiceFixture fixture;
    fixture.add("one", forwarded);
    const PollReply reply = fixture.answered({ 7, 9 });
    cr_assert(reply.configuration.empty());
    cr_assert(reply.directoryRevision == 9);
    cr_assert(reply.endpoints.empty() && !reply.isFullUpdate);
}

// Guards against a change that is lost after the revision of a held poll was advanced past an unrelated change.
Test(LocalService, unrelatedAndRelatedChange_held_onlyTheLatterAnswers)
{
    LocalServiceFixture fixture;
    const auto reply = fixture.poll({ 0, 0 });
    fixture.add("engine", engines);
    fixture.add("one", forwarded);
    cr_assert(fixture.runUntil([&] { return reply->has_value(); }));
    cr_assert((*reply)->endpoints.size() == 1 && (*reply)->endpoints.front().id == EndpointId("one"));
    cr_assert((*reply)->directoryRevision == 2);
}

// Guards against a request that crashes endpoints and is reported to entry instances late or not at all.
Test(LocalService, endpointsCrashedUnderRequest_heldPoll_isAnsweredWithAllSuspects)
{
    LocalServiceFixture fixture;
    const RequestFingerprint crashing("crashing");
    const auto reply = fixture.poll({ 0, 0, 0 });
    const auto nowMs = static_cast<std::uint64_t>(fixture.clock.wallNow().time_since_epoch().count());
    fixture.apply(ReportSuspects { { { EndpointId("a"), 1, { crashing } }, { EndpointId("b"), 1, { crashing } }, { EndpointId("c"), 1, { crashing } } }, {}, nowMs });
    cr_assert(fixture.runUntil([&] { return reply->has_value(); }));
    cr_assert((*reply)->areSuspectsChanged);
    cr_assert((*reply)->suspects.size() == 1 && (*reply)->suspects.front().request == crashing);
    cr_assert((*reply)->suspects.front().refusedForMs > 0);
    const auto cleared = fixture.poll({ 0, 0, (*reply)->suspectsRevision });
    fixture.apply(ReportSuspects { {}, { crashing }, nowMs });
    cr_assert(fixture.runUntil([&] { return cleared->has_value(); }));
    cr_assert((*cleared)->areSuspectsChanged && (*cleared)->suspects.empty());
}
