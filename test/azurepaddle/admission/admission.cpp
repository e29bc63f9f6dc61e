#include "azurepaddle/admission/budgets.hpp"
#include "azurepaddle/admission/concurrency_limiter.hpp"
#include "azurepaddle/admission/controller.hpp"

#include <atomic>
#include <criterion/criterion.h>
#include <thread>
#include <vector>

using namespace azurepaddle;
using namespace azurepaddle::admission;
using namespace std::chrono_literals;

namespace {

const TenantName blue("blue");
const ServiceName service("models");
const EndpointId endpoint("e1");

RequestProfile profileOf(double maxTokens)
{
    RequestProfile profile;
    profile.tenant = blue;
    profile.service = service;
    profile.maxTokens = maxTokens;
    profile.bytes = 100;
    return profile;
}

/// A controller that has measured a capacity of about 100 tokens per second and 10 ms per token.
struct Fixture {
    Fixture()
        : controller(clock)
    {
        for (int i = 0; i < 30; ++i) {
            const Ticket ticket = controller.admit(profileOf(50)).value();
            (void)controller.admit(profileOf(50));
            (void)controller.next(service);
            clock.advance(500ms);
            controller.onFinished(ticket, 50, 500ms);
        }
        while (controller.next(service)) { }
    }

    ManualClock clock;
    AdmissionController<ManualClock> controller;
};

}

// Guards against queueing requests that cannot finish before their deadline, and against refusals without a retry time.
Test(AdmissionController, deadlineUnreachable_admitted_isRefusedEarlyWithRetryTime)
{
    Fixture fixture;
    for (int i = 0; i < 20; ++i)
        cr_assert(fixture.controller.admit(profileOf(50)).has_value());
    RequestProfile profile = profileOf(50);
    profile.deadline = fixture.clock.now() + 3s;
    const auto result = fixture.controller.admit(profile);
    cr_assert(result.error().reason == RefusalReason::DeadlineUnreachable);
    cr_assert(result.error().retryAfter >= 5s);
    cr_assert(result.error().retryAfter <= 12s);
    profile.deadline = fixture.clock.now() + 30s;
    cr_assert(fixture.controller.admit(profile).has_value());
}

// Guards against a tenant's queue that uses an unbounded amount of memory.
Test(AdmissionController, queueFullOrTooLarge_admitted_isRefusedWithRetryTime)
{
    ManualClock clock;
    AdmissionController controller(clock);
    controller.setPolicy(blue, { 1, 3, 1000 });
    RequestProfile large = profileOf(50);
    large.bytes = 901;
    const Ticket first = controller.admit(profileOf(50)).value();
    cr_assert(controller.admit(large).error().reason == RefusalReason::QueueBytes);
    (void)controller.admit(profileOf(50));
    (void)controller.admit(profileOf(50));
    const auto result = controller.admit(profileOf(50));
    cr_assert(result.error().reason == RefusalReason::QueueFull);
    cr_assert(result.error().retryAfter >= 100ms);
    cr_assert(controller.cancel(first));
    cr_assert(!controller.cancel(first));
    cr_assert(controller.admit(profileOf(50)).has_value());
}

// Guards against a queued request that is sent after its deadline, or removed without a refusal.
Test(AdmissionController, deadlinePassesInQueue_expire_returnsRefusal)
{
    ManualClock clock;
    AdmissionController controller(clock);
    RequestProfile profile = profileOf(50);
    profile.deadline = clock.now() + 1s;
    const Ticket ticket = controller.admit(profile).value();
    cr_assert(controller.expire(service).empty());
    clock.advance(1s);
    const auto expired = controller.expire(service);
    cr_assert(expired.size() == 1);
    cr_assert(expired[0].first == ticket);
    cr_assert(expired[0].second.reason == RefusalReason::DeadlinePassed);
    cr_assert(expired[0].second.retryAfter >= 100ms);
    cr_assert(!controller.next(service));
}

// Guards against data races and lost tickets. Data races are detected in builds with -fsanitize=thread.
Test(AdmissionController, severalThreads_admitAndTake_loseNoTicket)
{
    SystemClock clock;
    AdmissionController controller(clock);
    std::atomic<int> taken { 0 };
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&controller, &taken] {
            for (int j = 0; j < 300; ++j) {
                (void)controller.admit(profileOf(j % 2 == 0 ? 50 : 5000));
                const auto ticket = controller.next(service);
                if (!ticket)
                    continue;
                ++taken;
                controller.onFinished(*ticket, 50, 500ms);
                if (j % 100 == 0)
                    (void)controller.takeDemands(service);
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    cr_assert(taken + static_cast<int>(controller.queuedCount(service, WorkClass::Short) + controller.queuedCount(service, WorkClass::Long)) == 1200);
}

// Guards against estimates that ignore the observed sizes of a tenant's requests, or that exceed the stated limit.
Test(SizeEstimator, history_estimated_followsObservedSizesWithinLimit)
{
    SizeEstimator sizes;
    cr_assert(sizes.estimate(profileOf(400)).outputTokens == 400);
    for (int i = 0; i < 100; ++i)
        sizes.onFinished(blue, {}, WorkClass::Short, 80);
    cr_assert(std::abs(sizes.estimate(profileOf(400)).outputTokens - 80) < 1);
    cr_assert(sizes.estimate(profileOf(30)).outputTokens == 30);
    cr_assert(sizes.estimate(profileOf(4000)).workClass == WorkClass::Long);
}

// Guards against retries that multiply the load while endpoints fail.
Test(RetryBudget, everyRequestRetried_budget_holds)
{
    RetryBudget budget;
    int retries = 0;
    for (int i = 0; i < 10000; ++i) {
        budget.onRequest(blue);
        retries += budget.tryAcquire(blue) ? 1 : 0;
    }
    const RetryBudgetSettings settings;
    cr_assert(retries <= 10000 * settings.ratio + settings.burst);
    cr_assert(retries >= 10000 * settings.ratio - 10);
    RetryBudget overall;
    retries = 0;
    for (int i = 0; i < 1000; ++i)
        retries += overall.tryAcquire(TenantName(std::to_string(i))) ? 1 : 0;
    cr_assert(retries == static_cast<int>(settings.totalBurst));
}

// Guards against hedged copies of requests that must not run twice, and against hedging that adds load to full
// endpoints.
Test(HedgePolicy, forbiddenOrUselessCopy_requested_isDenied)
{
    HedgePolicy policy;
    const HedgeCandidate good { blue, true, false, false, 0.5, 10, 1 };
    cr_assert(policy.allow(good));
    for (HedgeCandidate candidate : { HedgeCandidate { blue, false, false, false, 0.5, 10, 1 }, HedgeCandidate { blue, true, true, false, 0.5, 10, 1 },
             HedgeCandidate { blue, true, false, true, 0.5, 10, 1 }, HedgeCandidate { blue, true, false, false, 1, 10, 1 },
             HedgeCandidate { blue, true, false, false, 0.5, 1, 1 } })
        cr_assert(!policy.allow(candidate));
    int copies = 0;
    for (int i = 0; i < 1000; ++i)
        copies += policy.allow(good) ? 1 : 0;
    cr_assert(copies <= 40);
}

// Guards against a limit that is not lowered when latency rises, is not raised again afterwards, or is raised while it
// is not used.
Test(ConcurrencyLimiter, latencyRisesAndFalls_limit_follows)
{
    ConcurrencyLimiter limiter;
    const auto observe = [&](Duration time, int count) {
        for (int i = 0; i < count; ++i)
            limiter.onFirstToken(endpoint, time);
    };
    for (int i = 0; i < 40; ++i)
        limiter.onSent(endpoint);
    observe(50ms, 200);
    const double normal = limiter.limit(endpoint);
    cr_assert(normal > 64);
    observe(1s, 200);
    const double low = limiter.limit(endpoint);
    cr_assert(low < normal / 2);
    cr_assert(!limiter.hasCapacity(endpoint));
    observe(50ms, 400);
    cr_assert(limiter.limit(endpoint) > 2 * low);
    for (int i = 0; i < 40; ++i)
        limiter.onEnded(endpoint);
    observe(50ms, 20);
    const double unused = limiter.limit(endpoint);
    observe(50ms, 400);
    cr_assert(limiter.limit(endpoint) == unused);
}
