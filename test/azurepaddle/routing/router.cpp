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
const DataCentreName here("north");

EndpointView viewOf(int number, TimePoint reportTime, std::uint32_t running = 0)
{
    EndpointView view;
    view.id = EndpointId("e" + std::to_string(number));
    view.service = service;
    view.dataCentre = here;
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
        : router(clock, Random(1), here, settings)
    {
        for (int i = 0; i < endpoints; ++i)
            router.update(viewOf(i, clock.now()));
    }

    ManualClock clock;
    TestRouter router;
};

}

// Guards against a service without endpoints, or without the wanted version, that looks full and is waited for.
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

// Guards against a flood: one endpoint reports idle, and all instances send everything there until the next report.
Test(Router, oneIdleReport_chosenByNineInstances_isNotChosenByAll)
{
    constexpr int instances = 9;
    constexpr int requests = 6;
    ManualClock clock;
    std::deque<TestRouter> routers;
    for (int i = 0; i < instances; ++i) {
        TestRouter& router = routers.emplace_back(clock, Random(static_cast<std::uint64_t>(i)), here);
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

// Guards against long work that takes every slot, so that short work waits behind it.
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

// Guards against idle slots kept for long work of other instances until the next exchange.
Test(Router, smallPartOfIdleEndpoints_longWork_usesAllOpenSlots)
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

// Guards against instances that together exceed the slots open to long work.
Test(SlotRange, partsOfAllInstances_summed_giveAllSlots)
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

// Guards against prefix affinity that outweighs any load, and against affinity that is ignored.
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

// Guards against data races and against load that stays counted after all requests ended (run with -fsanitize=thread).
Test(Router, severalThreads_sendAndEnd_loadReturnsToZero)
{
    SystemClock clock;
    Router<SystemClock, Random> router(clock, Random(1), here);
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

// Guards against the loss of requests in progress when a report older than the sending arrives.
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
    cr_assert(load.own().requests == 1);
}

// Guards against unbounded growth of the changes when an endpoint stops reporting.
Test(LoadEstimator, noReportForLong_changes_keepTheirSum)
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
