#include "azurepaddle/gateway/answer_budget.hpp"
#include "azurepaddle/gateway/balancer.hpp"
#include "azurepaddle/gateway/retry_policy.hpp"
#include "azurepaddle/gateway/route_table.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::gateway;

namespace {

Route route(const std::string& prefix, const std::string& service = "s")
{
    Route made;
    made.name = prefix;
    made.host = "h";
    made.pathPrefix = prefix;
    made.services = { { ServiceName(service), 1 } };
    return made;
}

RouteTable table(std::vector<Route> routes)
{
    Service service;
    service.name = ServiceName("s");
    return RouteTable(1, std::move(routes), { service }, {});
}

Route repeatable(std::uint32_t maxAttempts)
{
    Route made = route("/");
    made.kind = RouteKind::Idempotent;
    made.maxAttempts = maxAttempts;
    return made;
}

registry::EndpointRecord endpoint(const std::string& id, const std::string& dataCentre = "a")
{
    return { EndpointId(id), 1, ServiceName("s"), "10.0.0.1", 80, DataCentreName(dataCentre), 4, registry::EndpointState::Ready, {} };
}

constexpr TimePoint start { std::chrono::seconds(100) };
constexpr Duration usual = std::chrono::milliseconds(20);

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

// Guards against a request that is served by a route of a shorter prefix.
Test(RouteTable, twoPrefixes_found_longestWins)
{
    const RouteTable routes = table({ route("/a/"), route("/a/b/") });
    cr_assert(routes.find("h", "/a/b/c")->pathPrefix == "/a/b/");
    cr_assert(routes.find("h", "/a/c")->pathPrefix == "/a/");
    cr_assert(!routes.find("h", "/c"));
    cr_assert(!routes.find("other", "/a/c"));
}

// Guards against configurations that make no sense and come in force.
Test(RouteTable, senselessConfiguration_validated_isRefused)
{
    cr_assert(!validate(table({ route("/a/") })));
    cr_assert(validate(table({ route("/a/", "unknown") })).has_value());
    cr_assert(validate(table({ route("/a/"), route("/a/") })).has_value());
    Route weightless = route("/a/");
    weightless.services[0].weight = 0;
    cr_assert(validate(table({ weightless })).has_value());
    Route timeless = route("/a/");
    timeless.timeout = Duration::zero();
    cr_assert(validate(table({ timeless })).has_value());
}

// Guards against a split that sends requests to a service without weight, or not in proportion.
Test(RouteTable, splitRoute_chosen_followsWeights)
{
    Route split = route("/a/");
    split.services = { { ServiceName("none"), 0 }, { ServiceName("nine"), 9 }, { ServiceName("one"), 1 } };
    std::map<ServiceName, int> counts;
    for (int i = 0; i < 1000; ++i)
        ++counts[chooseService(split, i / 1000.0)];
    cr_assert(counts[ServiceName("nine")] == 900);
    cr_assert(counts[ServiceName("one")] == 100);
    cr_assert(hostOf("h:80") == "h");
}

// Guards against a second run of a request that must not repeat.
Test(RetryPolicy, nonIdempotentRequest_mayHaveRun_isNotSentAgain)
{
    const Route once = route("/");
    cr_assert(maySendAgain(once, { 0, 1 }));
    cr_assert(!maySendAgain(once, { 1, 0 }));
    cr_assert(!hedgeDelay(once, usual));
}

// Guards against more runs of one request than its route allows.
Test(RetryPolicy, idempotentRequest_attemptsUsed_isNotSentAgain)
{
    cr_assert(maySendAgain(repeatable(2), { 1, 0 }));
    cr_assert(!maySendAgain(repeatable(2), { 2, 0 }));
    cr_assert(!hedgeDelay(repeatable(1), usual));
}

// Guards against a second copy so early that it doubles the load, or so late that the answer misses its target.
Test(RetryPolicy, hedge_comesAfterUsualTime_andBeforeTarget)
{
    Route target = repeatable(2);
    target.target = std::chrono::milliseconds(150);
    cr_assert(*hedgeDelay(target, usual) > usual);
    cr_assert(*hedgeDelay(target, std::chrono::seconds(9)) <= target.target / 2);
}

// Guards against a refusal that promises "not run" after a send that may have run.
Test(RetryPolicy, refusal_promisesNothing_afterASend)
{
    cr_assert(refusal({ 0, 2 }, false, "full").status == 503);
    cr_assert(refusal({ 0, 2 }, false, "full").fields.contains("Retry-After"));
    cr_assert(refusal({ 1, 0 }, false, "broken").status == 502);
    cr_assert(refusal({ 1, 0 }, true, "late").status == 504);
}

// Guards against requests that pile up at one endpoint while others are free.
Test(Balancer, requestsInProgress_spreadOverEndpoints)
{
    BalancerFixture fixture;
    fixture.balancer.setEndpoints({ endpoint("a"), endpoint("b"), endpoint("c") });
    std::map<std::string, int> counts;
    for (int i = 0; i < 12; ++i) {
        const std::string chosen = fixture.choose();
        ++counts[chosen];
        fixture.balancer.begin(EndpointId(chosen));
    }
    for (const auto& [id, count] : counts)
        cr_assert(count == 4);
}

// Guards against requests at an endpoint that just failed or said that it is full, and against one that never returns.
Test(Balancer, failedEndpoint_isAvoided_thenTriedAgain)
{
    BalancerFixture fixture;
    fixture.balancer.setEndpoints({ endpoint("a"), endpoint("b", "far") });
    fixture.balancer.begin(EndpointId("a"));
    fixture.balancer.end(EndpointId("a"), Experience::Failed, usual, start);
    cr_assert(fixture.choose() == "b");
    cr_assert(fixture.choose(start, { EndpointId("b") }) == "a");
    cr_assert(fixture.choose(start + std::chrono::seconds(10)) == "a");
}

// Guards against a slowed endpoint that keeps its share of requests.
Test(Balancer, endpointReportsSlowness_othersArePreferred)
{
    BalancerFixture fixture;
    fixture.balancer.setEndpoints({ endpoint("a"), endpoint("b") });
    fixture.balancer.report(EndpointId("a"), { 0, 0, 4, 3 }, start);
    for (int i = 0; i < 8; ++i)
        cr_assert(fixture.choose() == "b");
}

// Guards against new requests at endpoints that leave.
Test(Balancer, drainingEndpoint_isNotChosen)
{
    BalancerFixture fixture;
    auto leaving = endpoint("a");
    leaving.state = registry::EndpointState::Draining;
    fixture.balancer.setEndpoints({ leaving });
    cr_assert(fixture.choose().empty());
    cr_assert(fixture.balancer.countOf(ServiceName("s")) == 0);
}

// Guards against requests to an endpoint that says in an answer that it leaves: also after it was unknown for a while,
// and not at its successor.
Test(Balancer, endpointSaysThatItLeaves_isNotChosenAgain)
{
    BalancerFixture fixture;
    fixture.balancer.setEndpoints({ endpoint("a") });
    cr_assert(fixture.balancer.noteLeaving(EndpointId("a")) == registry::EndpointIncarnation({ EndpointId("a"), 1 }));
    cr_assert(!fixture.balancer.noteLeaving(EndpointId("a")), "reported twice");
    cr_assert(fixture.choose().empty());
    cr_assert(fixture.balancer.slotsOf(ServiceName("s")) == 0);
    fixture.balancer.setEndpoints({});
    fixture.balancer.setEndpoints({ endpoint("a") });
    cr_assert(fixture.choose().empty());
    auto successor = endpoint("a");
    successor.startedMs = 2;
    fixture.balancer.setEndpoints({ successor });
    cr_assert(fixture.choose() == "a");
}

// Plays a service of which one endpoint answers only after a second copy of each request did. Guards against a first copy
// that goes to it again and again.
Test(Balancer, endpointOvertakenAgainAndAgain_othersArePreferred)
{
    BalancerFixture fixture;
    fixture.balancer.setEndpoints({ endpoint("a"), endpoint("b") });
    for (const char* id : { "a", "b" })
        fixture.balancer.end(EndpointId(id), Experience::Answered, usual, start);
    fixture.balancer.end(EndpointId("a"), Experience::Overtaken, usual * 10, start);
    for (int i = 0; i < 8; ++i)
        cr_assert(fixture.choose() == "b");
}

// Guards against an endpoint that sends without end and takes the memory of all other answers.
Test(AnswerBudget, endlessAnswer_exceedsBound_isTheOneGivenUp)
{
    AnswerBudget budget(100);
    cr_assert(!budget.add(1, 10));
    cr_assert(!budget.add(2, 90));
    cr_assert(budget.add(1, 5) == 2U);
    budget.release(2);
    cr_assert(budget.bytes() == 15);
    cr_assert(!budget.add(1, 5));
}

// Guards against entry instances that hear of every engine of a fleet though they send nothing there.
Test(RouteTable, forwardedServices_areThoseOfSingleRequests)
{
    Route batch = route("/batch/");
    batch.kind = RouteKind::Batch;
    batch.services = { { ServiceName("engines"), 1 } };
    Route plain = route("/");
    plain.services = { { ServiceName("s"), 1 }, { ServiceName("t"), 2 } };
    cr_assert(forwardedServices(RouteTable(1, { batch, plain }, {}, {})) == std::set<ServiceName>({ ServiceName("s"), ServiceName("t") }));
}

// Guards against endpoints that are lost or kept when only changes of them are told, and against what was observed of an
// endpoint that is forgotten with a change of its record.
Test(Balancer, endpointsChanged_othersStayKnown)
{
    BalancerFixture fixture;
    fixture.balancer.setEndpoints({ endpoint("a"), endpoint("b") });
    fixture.balancer.end(EndpointId("a"), Experience::Failed, usual, start);
    fixture.balancer.changeEndpoints({ endpoint("a"), endpoint("c") }, { EndpointId("b") });
    cr_assert(fixture.balancer.countOf(ServiceName("s")) == 2);
    cr_assert(fixture.choose() == "c");
    fixture.balancer.changeEndpoints({}, { EndpointId("c") });
    cr_assert(fixture.choose() == "a");
}
