#include "azurepaddle/core/random.hpp"
#include "azurepaddle/weights/rollout_planner.hpp"

#include <criterion/criterion.h>
#include <cstdlib>

using namespace azurepaddle;
using namespace azurepaddle::weights;
using namespace std::chrono_literals;

namespace {

std::uint64_t seedCount(std::uint64_t defaultCount)
{
    const char* const setting = std::getenv("AZUREPADDLE_SEEDS");
    return setting == nullptr ? defaultCount : std::strtoull(setting, nullptr, 10);
}

EndpointId endpointName(std::size_t number)
{
    return EndpointId("e" + std::to_string(10 + number));
}

PlannerSettings fastSettings()
{
    PlannerSettings settings;
    settings.storeBytesPerSecond = 4e9;
    settings.weightBytes = 1e9;
    settings.initialSwapDuration = 500ms;
    settings.prefetchTimeout = 5s;
    settings.prefetchWaitLimit = 60s;
    return settings;
}

/// An engine that may lose orders, swap partially, hang and restart.
struct Engine {
    EndpointReport state;
    std::optional<OrderAction> running;
    TimePoint finishes {};

    void receive(const OrderAction& action, TimePoint now, Duration duration)
    {
        if (action.kind == OrderKind::LoadAdapter)
            state.adapters.push_back(action.adapter);
        else if (action.kind == OrderKind::UnloadAdapter)
            std::erase(state.adapters, action.adapter);
        if (action.version == 0)
            return;
        state.isSwapping = action.kind == OrderKind::Switch;
        running = action;
        finishes = now + duration;
    }

    void step(TimePoint now, bool isPartial)
    {
        if (!running || now < finishes)
            return;
        if (running->kind == OrderKind::Prefetch)
            state.prefetched.push_back(running->version);
        else
            state.versions = isPartial ? std::vector<WeightVersion> { 1, running->version } : std::vector<WeightVersion> { running->version };
        state.isSwapping = false;
        running.reset();
    }

    void restart()
    {
        ++state.incarnation;
        state.versions = { 1 };
        state.prefetched.clear();
        state.adapters.clear();
        state.isSwapping = false;
        running.reset();
    }
};

struct Service {
    explicit Service(std::size_t count, PlannerSettings settings = fastSettings())
        : planner(settings)
    {
        for (std::size_t i = 0; i < count; ++i) {
            Engine engine;
            engine.state = { endpointName(i), 1, { 1 }, { 1 }, {}, false, {} };
            engines.emplace(endpointName(i), engine);
        }
        reportAll();
    }

    void reportAll()
    {
        for (auto& [id, engine] : engines) {
            engine.state.requestedAt = now;
            planner.onReport(engine.state, now);
        }
    }

    /// Runs for the given time in steps of 50 ms. Every engine reports once per 200 ms. Passes each planned action to
    /// the callback.
    template <typename Callback>
    void run(Duration duration, Callback onAction)
    {
        for (const TimePoint end = now + duration; now < end;) {
            now += 50ms;
            for (auto& [id, engine] : engines)
                engine.step(now, partialShare > 0 && random.chance(partialShare));
            if ((now - TimePoint {}) % Duration(200ms) == Duration::zero())
                reportAll();
            for (const OrderAction& action : planner.plan(now))
                onAction(action);
        }
    }

    void deliver(const OrderAction& action) { engines.at(action.endpoint).receive(action, now, action.kind == OrderKind::Switch ? 500ms : 300ms); }

    bool isServedByAll(WeightVersion version) const
    {
        return std::all_of(engines.begin(), engines.end(), [=](const auto& engine) {
            return engine.second.state.versions == std::vector<WeightVersion> { version };
        });
    }

    TimePoint now { 10s };
    Random random { 1 };
    double partialShare = 0;
    RolloutPlanner planner;
    std::map<EndpointId, Engine> engines;
};

}

// Detects prefetches that exceed the rate of the weight store, and switches before all endpoints have prefetched.
Test(RolloutPlanner, newVersion_planned_prefetchesWithinRateThenSwitches)
{
    Service service(12);
    service.planner.setTarget({ 2, {} }, service.now);
    std::vector<TimePoint> prefetches;
    std::size_t switches = 0;
    service.run(10s, [&](const OrderAction& action) {
        if (action.kind == OrderKind::Prefetch)
            prefetches.push_back(service.now);
        switches += action.kind == OrderKind::Switch ? 1 : 0;
        cr_assert(action.kind == OrderKind::Prefetch || prefetches.size() == 12);
        service.deliver(action);
    });
    cr_assert(prefetches.size() == 12 && switches == 12 && service.isServedByAll(2));
    // 4 transfers/s after a burst of 4: the fifth to twelfth take 2 s.
    cr_assert(prefetches.back() - prefetches.front() >= 1900ms);
    cr_assert(service.planner.progress().switched == 12 && service.planner.progress().repeatedSwitches == 0);
}

// Detects a rollout whose switch phase takes longer than 7 s, or that switches all endpoints at the same time.
Test(RolloutPlanner, manyEndpoints_switched_keepTargetInWaves)
{
    for (const std::size_t count : { 4UL, 12UL, 100UL }) {
        PlannerSettings settings = fastSettings();
        settings.storeBytesPerSecond = 1e12;
        Service service(count, settings);
        service.planner.setTarget({ 2, {} }, service.now);
        std::size_t maxSwapping = 0;
        service.run(20s, [&](const OrderAction& action) {
            service.deliver(action);
            std::size_t swapping = 0;
            for (const auto& [id, engine] : service.engines)
                swapping += engine.state.isSwapping ? 1 : 0;
            maxSwapping = std::max(maxSwapping, swapping);
        });
        const auto time = service.planner.progress().switchTime;
        cr_assert(time && *time <= 7s, "switching %zu endpoints took too long", count);
        cr_assert(maxSwapping * 2 <= count, "%zu of %zu endpoints were swapping at once", maxSwapping, count);
    }
}

// Detects a confirmed version for an endpoint that may have switched but has not reported it, so that labelled work
// on it could get a wrong version.
Test(RolloutPlanner, endpointAfterSwitchOrder_untilReported_isExcluded)
{
    Service service(2);
    service.planner.setTarget({ 2, {} }, service.now);
    for (auto& [id, engine] : service.engines)
        engine.state.prefetched = { 1, 2 };
    service.now += 1s;
    service.reportAll();
    const EndpointId first = endpointName(0);
    cr_assert(service.planner.confirmedVersion(first) == WeightVersion { 1 });
    const auto actions = service.planner.plan(service.now);
    cr_assert(actions.size() == 1 && actions[0].kind == OrderKind::Switch && actions[0].endpoint == first);
    cr_assert(!service.planner.confirmedVersion(first) && service.planner.confirmedVersion(endpointName(1)) == WeightVersion { 1 });
    EndpointReport report = service.engines.at(first).state;
    report.requestedAt = service.now - 1ms;
    service.planner.onReport(report, service.now);
    cr_assert(!service.planner.confirmedVersion(first), "a state requested before the order was taken as confirmed");
    report.requestedAt = service.now + 1s;
    report.versions = { 1, 2 };
    service.planner.onReport(report, service.now);
    cr_assert(!service.planner.confirmedVersion(first), "a partial swap was taken as confirmed");
    report.requestedAt = service.now + 2s;
    report.versions = { 2 };
    service.planner.onReport(report, service.now);
    cr_assert(service.planner.confirmedVersion(first) == WeightVersion { 2 });
    cr_assert(service.planner.servedVersion(0.5) == 2 && service.planner.servedVersion(1.0) == 1);
}

// Detects switch orders to an endpoint that has not prefetched the version, and such an endpoint blocking all others.
Test(RolloutPlanner, endpointWithoutVersion_prefetchWaitExpired_isLeftOut)
{
    Service service(3);
    service.planner.setTarget({ 2, {} }, service.now);
    const EndpointId lagging = endpointName(0);
    std::size_t switches = 0;
    service.run(80s, [&](const OrderAction& action) {
        cr_assert(action.endpoint != lagging || action.kind == OrderKind::Prefetch);
        switches += action.kind == OrderKind::Switch ? 1 : 0;
        cr_assert(action.kind == OrderKind::Prefetch || service.now >= TimePoint(70s));
        if (action.endpoint != lagging)
            service.deliver(action);
    });
    cr_assert(switches == 2);
    service.run(20s, [&](const OrderAction& action) { service.deliver(action); });
    cr_assert(service.isServedByAll(2));
}

// Detects a rollout that never completes because an endpoint hangs in a swap or is unresponsive.
Test(RolloutPlanner, hungSwapAndUnresponsiveEndpoint_planned_areRetriedAndSkipped)
{
    Service service(3);
    service.planner.setTarget({ 2, {} }, service.now);
    const EndpointId hung = endpointName(0);
    std::size_t orders = 0;
    service.run(40s, [&](const OrderAction& action) {
        service.deliver(action);
        if (action.kind == OrderKind::Switch && action.endpoint == hung && ++orders == 1)
            service.engines.at(hung).finishes = service.now + 1h;
    });
    cr_assert(orders == 2 && service.isServedByAll(2));
}

// Detects adapters that are missing after a restart or remain loaded after they are removed from the target.
Test(RolloutPlanner, adapters_changed_areLoadedAndUnloaded)
{
    Service service(2);
    service.planner.setTarget({ 1, { "a", "b" } }, service.now);
    const auto deliver = [&](const OrderAction& action) { service.deliver(action); };
    service.run(3s, deliver);
    service.engines.at(endpointName(1)).restart();
    service.planner.setTarget({ 1, { "b", "c" } }, service.now);
    service.run(5s, deliver);
    cr_assert(service.planner.isAtTarget(endpointName(0)) && service.planner.isAtTarget(endpointName(1)));
}

// Detects swaps that fail, are lost or complete only partially and are never repeated.
Test(RolloutPlanner, lossyEndpoints_switched_reachTarget)
{
    for (std::uint64_t seed = 1; seed <= seedCount(30); ++seed) {
        Service service(8);
        service.random = Random(seed);
        service.partialShare = 0.2;
        for (WeightVersion version = 2; version <= 4; ++version) {
            service.planner.setTarget({ version, {} }, service.now);
            service.run(15s, [&](const OrderAction& action) {
                if (service.random.chance(0.1))
                    service.planner.onOrderFailed(action, service.now);
                else if (!service.random.chance(0.1))
                    service.deliver(action);
                if (service.random.chance(0.02))
                    service.engines.at(action.endpoint).restart();
            });
        }
        service.partialShare = 0;
        service.run(90s, [&](const OrderAction& action) { service.deliver(action); });
        cr_assert(service.isServedByAll(4) && service.planner.progress().switched == 8, "seed %lu", seed);
    }
}
