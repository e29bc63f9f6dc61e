#include "azurepaddle/gateway/take_up.hpp"
#include "azurepaddle/gateway/balancer.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::gateway;

namespace {

const registry::StreamOrigin origin { ServiceName("models"), SoftwareVersion("v1") };

struct TakeUpFixture {
    Route route;

    TakeUpFixture()
    {
        route.kind = RouteKind::Streaming;
        route.isResumable = true;
        route.services = { { ServiceName("models"), 1 }, { ServiceName("former"), 0 } };
    }
};

registry::EndpointRecord endpoint(const std::string& id, const std::string& software)
{
    registry::EndpointRecord record;
    record.id = EndpointId(id);
    record.service = ServiceName("models");
    record.software = SoftwareVersion(software);
    return record;
}

}

// Guards against a caller without any event that is turned away, although any endpoint can serve it.
Test(TakeUp, noEventHeld_decided_startsAnew)
{
    const TakeUpFixture fixture;
    cr_assert(decideTakeUp(fixture.route, { registry::StreamId("a"), 0 }) == TakeUpDecision::Start);
    cr_assert(decideTakeUp(fixture.route, { {}, 0 }) == TakeUpDecision::Start);
}

// Guards against a stream that is continued without knowing what began it.
Test(TakeUp, eventsHeld_decided_originIsLookedUp)
{
    TakeUpFixture fixture;
    cr_assert(decideTakeUp(fixture.route, { registry::StreamId("a"), 3 }) == TakeUpDecision::LookUp);
    cr_assert(decideTakeUp(fixture.route, { {}, 3 }) == TakeUpDecision::LookUp);
    fixture.route.isResumable = false;
    cr_assert(decideTakeUp(fixture.route, { registry::StreamId("a"), 3 }) == TakeUpDecision::RefuseForGood);
}

// Guards against an origin that is guessed while it is not known or its software does not serve.
Test(TakeUp, originUnknownOrGone_decided_isRefused)
{
    const TakeUpFixture fixture;
    cr_assert(decideTakeUp(fixture.route, OriginState::Known, origin, 1) == TakeUpDecision::Continue);
    cr_assert(decideTakeUp(fixture.route, OriginState::Known, origin, 0) == TakeUpDecision::RefuseForNow);
    cr_assert(decideTakeUp(fixture.route, OriginState::Unknown, {}, 2) == TakeUpDecision::RefuseForNow);
    cr_assert(decideTakeUp(fixture.route, OriginState::Unavailable, {}, 2) == TakeUpDecision::RefuseForNow);
}

// Guards against a stream that goes to a service to which its route no longer leads.
Test(TakeUp, routeLeadsElsewhere_decided_isRefused)
{
    const TakeUpFixture fixture;
    for (const char* service : { "former", "other" })
        cr_assert(decideTakeUp(fixture.route, OriginState::Known, { ServiceName(service), SoftwareVersion("v1") }, 1) == TakeUpDecision::RefuseForNow, "%s", service);
}

// Guards against a service that is guessed for a stream whose route leads to several.
Test(TakeUp, routeLeadsToSeveralServices_noneIsSole)
{
    TakeUpFixture fixture;
    cr_assert(soleServiceOf(fixture.route) == ServiceName("models"));
    fixture.route.services.push_back({ ServiceName("others"), 0.1 });
    cr_assert(soleServiceOf(fixture.route).empty());
}

// Guards against an answer to a refused request that says that it may have run.
Test(TakeUp, refusal_statesThatNothingRan)
{
    const auto forNow = makeTakeUpRefusal(TakeUpDecision::RefuseForNow, "reason");
    cr_assert(forNow.status == 503 && forNow.fields.contains("Retry-After") && forNow.body == "reason\n");
    const auto forGood = makeTakeUpRefusal(TakeUpDecision::RefuseForGood, "reason");
    cr_assert(forGood.status == 400 && !forGood.fields.contains("Retry-After"));
}

// Guards against endpoints of another software version that are counted among those that can continue a stream.
Test(Balancer, twoSoftwareVersions_areToldApart)
{
    Balancer balancer { DataCentreName("a") };
    balancer.setEndpoints({ endpoint("1", "v1"), endpoint("2", "v2"), endpoint("3", "v1") });
    cr_assert(balancer.endpointCount(origin) == 2);
    cr_assert(balancer.endpointsWithOtherSoftware(origin.service, origin.software) == std::set<EndpointId>({ EndpointId("2") }));
    static_cast<void>(balancer.markLeaving(EndpointId("1")));
    cr_assert(balancer.endpointCount(origin) == 1);
}
