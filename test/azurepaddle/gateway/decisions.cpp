#include "azurepaddle/gateway/answer_budget.hpp"
#include "azurepaddle/gateway/balancer.hpp"
#include "azurepaddle/gateway/retry_policy.hpp"
#include "azurepaddle/gateway/route_table.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::gateway;

namespace {

Route makeRoute(const std::string& prefix, const std::string& service = "s")
{
    Route result;
    result.name = prefix;
    result.host = "h";
    result.pathPrefix = prefix;
    result.services = { { ServiceName(service), 1 } };
    return result;
}

RouteTable makeTable(std::vector<Route> routes)
{
    Service service;
    service.name = ServiceName("s");
    return RouteTable(1, std::move(routes), { service }, {});
}

Route makeIdempotentRoute(std::uint32_t maxAttempts)
{
    Route result = makeRoute("/");
    result.kind = RouteKind::Idempotent;
    result.maxAttempts = maxAttempts;
    return result;
}

registry::EndpointRecord makeEndpoint(const std::string& id, const std::string& dataCentre = "a")
{
    return { EndpointId(id), 1, ServiceName("s"), "10.0.0.1", 80, DataCentreName(dataCentre), 4, registry::EndpointState::Ready, {} };
}

constexpr TimePoint start { std::chrono::seconds(100) };
constexpr Duration typicalTime = std::chrono::milliseconds(20);

struct BalancerFixture {
    Balancer balancer { DataCentreName("a") };
    Random random { 7 };

    std::string choose(TimePoint now = start, const std::set<EndpointId>& excluded = {})
    {
        const auto* chosen = balancer.choose(ServiceName("s"), excluded, now, random);
        return chosen ? chosen->id.value() : std::string();
    }
};

}

// Guards against a request that is served by a route with a shorter prefix than the best match.
Test(RouteTable, twoMatchingPrefixes_find_returnsLongest)
{
    const RouteTable routes = makeTable({ makeRoute("/a/"), makeRoute("/a/b/") });
    cr_assert(routes.find("h", "/a/b/c")->pathPrefix == "/a/b/");
    cr_assert(routes.find("h", "/a/c")->pathPrefix == "/a/");
    cr_assert(!routes.find("h", "/c"));
    cr_assert(!routes.find("other", "/a/c"));
}

// Guards against inconsistent configurations that are accepted: unknown services, duplicate routes, no weight or
// timeout.
Test(RouteTable, invalidConfiguration_validated_isRejected)
{
    cr_assert(!validate(makeTable({ makeRoute("/a/") })));
    cr_assert(validate(makeTable({ makeRoute("/a/", "unknown") })).has_value());
    cr_assert(validate(makeTable({ makeRoute("/a/"), makeRoute("/a/") })).has_value());
    Route zeroWeight = makeRoute("/a/");
    zeroWeight.services[0].weight = 0;
    cr_assert(validate(makeTable({ zeroWeight })).has_value());
    Route zeroTimeout = makeRoute("/a/");
    zeroTimeout.timeout = Duration::zero();
    cr_assert(validate(makeTable({ zeroTimeout })).has_value());
}

// Guards against requests that are sent to a service with weight 0, or not in proportion to the weights.
Test(RouteTable, weightedRoute_chooseService_followsWeights)
{
    Route split = makeRoute("/a/");
    split.services = { { ServiceName("none"), 0 }, { ServiceName("nine"), 9 }, { ServiceName("one"), 1 } };
    std::map<ServiceName, int> counts;
    for (int i = 0; i < 1000; ++i)
        ++counts[chooseService(split, i / 1000.0)];
    cr_assert(counts[ServiceName("nine")] == 900);
    cr_assert(counts[ServiceName("one")] == 100);
    cr_assert(hostWithoutPort("h:80") == "h");
}

// Guards against a second run of a request that is not idempotent.
Test(RetryPolicy, nonIdempotentRequest_mayHaveRun_isNotSentAgain)
{
    const Route nonIdempotent = makeRoute("/");
    cr_assert(maySendAgain(nonIdempotent, { 0, 1 }));
    cr_assert(!maySendAgain(nonIdempotent, { 1, 0 }));
    cr_assert(!hedgeDelay(nonIdempotent, typicalTime));
}

// Guards against more runs of one request than its route allows.
Test(RetryPolicy, idempotentRequest_attemptsUsed_isNotSentAgain)
{
    cr_assert(maySendAgain(makeIdempotentRoute(2), { 1, 0 }));
    cr_assert(!maySendAgain(makeIdempotentRoute(2), { 2, 0 }));
    cr_assert(!hedgeDelay(makeIdempotentRoute(1), typicalTime));
}

// Guards against a stream that runs twice although its route does not allow it, or ends although its route does.
Test(RetryPolicy, stream_mayHaveRun_isSentAgainOnlyIfResumable)
{
    Route route = makeRoute("/a/");
    route.kind = RouteKind::Streaming;
    route.maxAttempts = 2;
    cr_assert(!maySendAgain(route, { 1, 0 }));
    route.isResumable = true;
    cr_assert(maySendAgain(route, { 1, 0 }));
    cr_assert(!maySendAgain(route, { 2, 0 }));
}

// Guards against a hedge so early that it doubles the load, or so late that the answer misses the target latency.
Test(RetryPolicy, hedgeDelay_isAboveTypicalTime_andBelowTargetLatency)
{
    Route target = makeIdempotentRoute(2);
    target.targetLatency = std::chrono::milliseconds(150);
    cr_assert(*hedgeDelay(target, typicalTime) > typicalTime);
    cr_assert(*hedgeDelay(target, std::chrono::seconds(9)) <= target.targetLatency / 2);
}

// Guards against a refusal that states "not run" (503) although an endpoint may have run the request.
Test(RetryPolicy, refusal_requestMayHaveRun_doesNotStateNotRun)
{
    cr_assert(makeRefusal({ 0, 2 }, false, "full").status == 503);
    cr_assert(makeRefusal({ 0, 2 }, false, "full").fields.contains("Retry-After"));
    cr_assert(makeRefusal({ 1, 0 }, false, "broken").status == 502);
    cr_assert(makeRefusal({ 1, 0 }, true, "late").status == 504);
}

// Guards against requests that accumulate at one endpoint while others are free.
Test(Balancer, requestsInProgress_spreadOverEndpoints)
{
    BalancerFixture fixture;
    fixture.balancer.setEndpoints({ makeEndpoint("a"), makeEndpoint("b"), makeEndpoint("c") });
    std::map<std::string, int> counts;
    for (int i = 0; i < 12; ++i) {
        const std::string chosen = fixture.choose();
        ++counts[chosen];
        fixture.balancer.onRequestStarted(EndpointId(chosen));
    }
    for (const auto& [id, count] : counts)
        cr_assert(count == 4);
}

// Guards against requests to an endpoint that just failed or refused one because it is full, and against an endpoint
// that is never used again.
Test(Balancer, failedEndpoint_isAvoided_thenTriedAgain)
{
    BalancerFixture fixture;
    fixture.balancer.setEndpoints({ makeEndpoint("a"), makeEndpoint("b", "far") });
    fixture.balancer.onRequestStarted(EndpointId("a"));
    fixture.balancer.onRequestEnded(EndpointId("a"), RequestOutcome::Failed, typicalTime, start);
    cr_assert(fixture.choose() == "b");
    cr_assert(fixture.choose(start, { EndpointId("b") }) == "a");
    cr_assert(fixture.choose(start + std::chrono::seconds(10)) == "a");
}

// Guards against an endpoint that reports a slowdown and still gets its full share of requests.
Test(Balancer, endpointReportsSlowness_othersArePreferred)
{
    BalancerFixture fixture;
    fixture.balancer.setEndpoints({ makeEndpoint("a"), makeEndpoint("b") });
    fixture.balancer.onLoadReport(EndpointId("a"), { 0, 0, 4, 3 }, start);
    for (int i = 0; i < 8; ++i)
        cr_assert(fixture.choose() == "b");
}

// Guards against new requests to a draining endpoint.
Test(Balancer, drainingEndpoint_isNotChosen)
{
    BalancerFixture fixture;
    auto leaving = makeEndpoint("a");
    leaving.state = registry::EndpointState::Draining;
    fixture.balancer.setEndpoints({ leaving });
    cr_assert(fixture.choose().empty());
    cr_assert(fixture.balancer.endpointCount(ServiceName("s")) == 0);
}

// Guards against requests to an endpoint that announced its leave with an answer, also when it was removed from the
// endpoint list and added again, and against the exclusion of its next incarnation.
Test(Balancer, endpointAnnouncesItsLeave_isNotChosenAgain)
{
    BalancerFixture fixture;
    fixture.balancer.setEndpoints({ makeEndpoint("a") });
    cr_assert(fixture.balancer.markLeaving(EndpointId("a")) == registry::EndpointIncarnation({ EndpointId("a"), 1 }));
    cr_assert(!fixture.balancer.markLeaving(EndpointId("a")), "reported twice");
    cr_assert(fixture.choose().empty());
    cr_assert(fixture.balancer.slotCount(ServiceName("s")) == 0);
    fixture.balancer.setEndpoints({});
    fixture.balancer.setEndpoints({ makeEndpoint("a") });
    cr_assert(fixture.choose().empty());
    auto nextIncarnation = makeEndpoint("a");
    nextIncarnation.startedMs = 2;
    fixture.balancer.setEndpoints({ nextIncarnation });
    cr_assert(fixture.choose() == "a");
}

// Guards against first attempts that keep going to a slow endpoint whose requests are always cancelled because the
// hedge is answered first: without an answer, its average must still rise with the elapsed time.
Test(Balancer, requestsCancelledAtSlowEndpoint_othersArePreferred)
{
    BalancerFixture fixture;
    fixture.balancer.setEndpoints({ makeEndpoint("a"), makeEndpoint("b") });
    for (const char* id : { "a", "b" })
        fixture.balancer.onRequestEnded(EndpointId(id), RequestOutcome::Answered, typicalTime, start);
    fixture.balancer.onRequestEnded(EndpointId("a"), RequestOutcome::Cancelled, typicalTime * 10, start);
    for (int i = 0; i < 8; ++i)
        cr_assert(fixture.choose() == "b");
}

// Guards against an endpoint that sends an endless answer and uses up the memory for all other answers.
Test(AnswerBudget, largestAnswer_boundExceeded_isTheOneCancelled)
{
    AnswerBudget budget(100);
    cr_assert(!budget.add(1, 10));
    cr_assert(!budget.add(2, 90));
    cr_assert(budget.add(1, 5) == 2U);
    budget.release(2);
    cr_assert(budget.bytes() == 15);
    cr_assert(!budget.add(1, 5));
}

// Guards against entry instances that receive the records of all engines although they forward no requests to them.
Test(RouteTable, forwardedServices_areThoseOfSingleRequests)
{
    Route batch = makeRoute("/batch/");
    batch.kind = RouteKind::Batch;
    batch.services = { { ServiceName("engines"), 1 } };
    Route plain = makeRoute("/");
    plain.services = { { ServiceName("s"), 1 }, { ServiceName("t"), 2 } };
    cr_assert(forwardedServices(RouteTable(1, { batch, plain }, {}, {})) == std::set<ServiceName>({ ServiceName("s"), ServiceName("t") }));
}

// Guards against endpoints that are dropped or kept wrongly when only changes are applied, and against the loss of an
// endpoint's observations when its record changes.
Test(Balancer, endpointsChanged_unchangedOnesStay)
{
    BalancerFixture fixture;
    fixture.balancer.setEndpoints({ makeEndpoint("a"), makeEndpoint("b") });
    fixture.balancer.onRequestEnded(EndpointId("a"), RequestOutcome::Failed, typicalTime, start);
    fixture.balancer.changeEndpoints({ makeEndpoint("a"), makeEndpoint("c") }, { EndpointId("b") });
    cr_assert(fixture.balancer.endpointCount(ServiceName("s")) == 2);
    cr_assert(fixture.choose() == "c");
    fixture.balancer.changeEndpoints({}, { EndpointId("c") });
    cr_assert(fixture.choose() == "a");
}
