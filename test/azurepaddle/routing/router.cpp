#include "azurepaddle/routing/router.hpp"

#include <criterion/criterion.h>
#include <deque>
#include <map>
#include <string>
#include <thread>
#include <vector>

using namespace azurepaddle;
using namespace azurepaddle::routing;
using namespace std::chrono_literals;

namespace {

using TestRouter = Router<ManualClock, Random>;

const ServiceName service("models");
const DataCentreName localDataCentre("north");

EndpointView viewOf(int number, TimePoint reportTime, std::uint32_t running = 0)
{
    EndpointView view;
    view.id = EndpointId("e" + std::to_string(number));
    view.service = service;
    view.dataCentre = localDataCentre;
    view.slots = 16;
    view.running = running;
    view.outstandingTokens = running * 100U;
    view.reportTime = reportTime;
    return view;
}

RequestProfile profileOf(WorkClass workClass = WorkClass::Short)
{
    RequestProfile profile;
    profile.service = service;
    profile.workClass = workClass;
    profile.promptTokens = 100;
    profile.outputTokens = workClass == WorkClass::Short ? 50 : 1000;
    return profile;
}

struct Fixture {
    explicit Fixture(int endpoints, const RouterSettings& settings = {})
        : router(clock, Random(1), localDataCentre, settings)
    {
        for (int i = 0; i < endpoints; ++i)
            router.update(viewOf(i, clock.now()));
    }

    ManualClock clock;
    TestRouter router;
};

}

// Guards against reporting a service without endpoints, or without the requested version, as full, which would keep its
// requests queued.
Test(Router, noEndpointOrVersion_chosen_isNoEndpoint)
{
    Fixture fixture(0);
    cr_assert(fixture.router.choose(profileOf()).error().code() == RoutingErrorCode::NoEndpoint);
    EndpointView view = viewOf(0, fixture.clock.now());
    view.versions = { 6 };
    fixture.router.update(view);
    RequestProfile profile = profileOf();
    profile.version = 7;
    cr_assert(fixture.router.choose(profile).error().code() == RoutingErrorCode::NoEndpoint);
    profile.version = 6;
    cr_assert(fixture.router.choose(profile).value() == view.id);
    fixture.router.remove(view.id);
    cr_assert(fixture.router.choose(profile).error().code() == RoutingErrorCode::NoEndpoint);
}

// Guards against an overload of one endpoint: it reports no load, and all instances send all requests to it until its
// next report.
Test(Router, oneIdleReport_chosenByNineInstances_isNotChosenByAll)
{
    constexpr int instances = 9;
    constexpr int requests = 6;
    ManualClock clock;
    std::deque<TestRouter> routers;
    for (int i = 0; i < instances; ++i) {
        TestRouter& router = routers.emplace_back(clock, Random(static_cast<std::uint64_t>(i)), localDataCentre);
        router.setShare({ { i / 9.0, (i + 1) / 9.0 }, { i / 9.0, (i + 1) / 9.0 }, 1.0 / instances });
        for (int j = 0; j < 12; ++j)
            router.update(viewOf(j, clock.now(), j == 0 ? 0 : 8));
    }
    std::map<EndpointId, int> sent;
    for (int i = 0; i < requests; ++i) {
        clock.advance(30ms);
        for (TestRouter& router : routers) {
            const EndpointId endpoint = router.choose(profileOf()).value();
            (void)router.onSent(profileOf(), endpoint);
            ++sent[endpoint];
        }
    }
    cr_assert(sent[EndpointId("e0")] <= 16, "%d requests on 16 free slots", sent[EndpointId("e0")]);
}

// Guards against long work that occupies every slot, so that short work has to wait for it.
Test(Router, onlyLongWork_sent_leavesSlotsToShortWork)
{
    Fixture fixture(3);
    int sent = 0;
    for (auto choice = fixture.router.choose(profileOf(WorkClass::Long)); choice; choice = fixture.router.choose(profileOf(WorkClass::Long))) {
        (void)fixture.router.onSent(profileOf(WorkClass::Long), *choice);
        ++sent;
    }
    cr_assert(sent == 36, "%d of 48 slots, 36 are open to long work", sent);
    cr_assert(fixture.router.choose(profileOf()).has_value());
}

// Guards against slots that stay idle until the next exchange because they are reserved for long work of other
// instances.
Test(Router, smallShareOfIdleEndpoints_longWork_usesAllOpenSlots)
{
    Fixture fixture(1);
    fixture.router.setShare({ { 0, 0.1 }, { 0, 0.1 }, 0.9 });
    int sent = 0;
    for (auto choice = fixture.router.choose(profileOf(WorkClass::Long)); choice; choice = fixture.router.choose(profileOf(WorkClass::Long))) {
        (void)fixture.router.onSent(profileOf(WorkClass::Long), *choice);
        ++sent;
    }
    cr_assert(sent > 8, "%d of 16 slots", sent);
    cr_assert(sent <= 12, "%d of 16 slots, 12 are open to long work", sent);
}

// Guards against slot ranges that overlap, so that the instances together exceed the slots open to long work, and
// against ranges that leave slots unused.
Test(SlotRange, rangesOfAllInstances_summed_giveAllSlots)
{
    for (const std::uint32_t slots : { 1U, 5U, 8U, 12U, 16U }) {
        for (const std::uint64_t offset : { 0U, 77U, 1023U }) {
            std::uint32_t total = 0;
            for (int i = 0; i < 7; ++i)
                total += slotsInRange(slots, { i / 7.0, (i + 1) / 7.0 }, offset);
            cr_assert(total == slots);
        }
    }
}

// Guards against prefix affinity that outweighs any load, and against prefix affinity without any effect.
Test(Router, knownPrefix_chosen_winsOnlyOverSmallLoad)
{
    Fixture fixture(3);
    RequestProfile profile = profileOf();
    profile.promptTokens = 2000;
    profile.prefixes = { 11, 12 };
    profile.tokensPerPrefix = 1000;
    EndpointView cached = viewOf(1, fixture.clock.now(), 1);
    cached.cachedPrefixes = { 11, 12 };
    fixture.router.update(cached);
    for (int i = 0; i < 20; ++i)
        cr_assert(fixture.router.choose(profile).value() == cached.id);
    cached.outstandingTokens = 5000;
    fixture.router.update(cached);
    for (int i = 0; i < 20; ++i)
        cr_assert(fixture.router.choose(profile).value() != cached.id);
}

// Guards against data races, and against load that is still counted after all requests have ended. Data races are
// detected in builds with -fsanitize=thread.
Test(Router, severalThreads_sendAndEnd_loadReturnsToZero)
{
    SystemClock clock;
    Router<SystemClock, Random> router(clock, Random(1), localDataCentre);
    for (int i = 0; i < 12; ++i)
        router.update(viewOf(i, clock.now()));
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&router] {
            for (int j = 0; j < 300; ++j) {
                const auto endpoint = router.choose(profileOf(j % 3 == 0 ? WorkClass::Long : WorkClass::Short));
                if (!endpoint)
                    continue;
                const AttemptId attempt = router.onSent(profileOf(), *endpoint);
                router.onToken(attempt, 50);
                j % 7 == 0 ? router.onFailed(attempt) : router.onFinished(attempt);
                if (j % 50 == 0)
                    (void)router.tick();
            }
        });
    }
    for (int i = 0; i < 100; ++i) {
        router.remove(EndpointId("e11"));
        router.update(viewOf(11, clock.now()));
    }
    for (std::thread& thread : threads)
        thread.join();
    for (int i = 0; i < 11; ++i)
        cr_assert(router.load(EndpointId("e" + std::to_string(i))).requests == 0);
}

// Guards against requests in progress that are dropped from the estimate by a report measured before they were sent.
Test(LoadEstimator, lateReport_applied_keepsWorkSentSince)
{
    LoadEstimator load;
    const TimePoint start { 10s };
    load.onReport({ 2, 200 }, start);
    load.onSent(start + 100ms, 50);
    load.onSent(start + 900ms, 70);
    cr_assert(load.estimate(1) == (Load { 4, 320 }));
    load.onReport({ 3, 240 }, start + 500ms);
    cr_assert(load.estimate(1) == (Load { 4, 310 }));
    cr_assert(load.estimate(3) == (Load { 6, 450 }));
    load.onReport({ 9, 900 }, start);
    cr_assert(load.estimate(1) == (Load { 4, 310 }));
    load.onEnded(start + 1s, 0);
    cr_assert(load.inProgress().requests == 1);
}

// Guards against a list of changes that grows without bound, or a sum that drifts, when an endpoint stops reporting.
Test(LoadEstimator, noReportForLongTime_changes_keepTheirSum)
{
    LoadEstimator load;
    TimePoint now { 10s };
    for (int i = 0; i < 100000; ++i) {
        now += 30ms;
        load.onSent(now, 2);
        load.onEnded(now, 1);
        load.onTokens(now, 1);
    }
    cr_assert(load.estimate(1) == (Load { 0, 0 }));
}
