#include "azurepaddle/routing/progress_deadlines.hpp"
#include "azurepaddle/routing/router.hpp"
#include "azurepaddle/routing/suspect_tracker.hpp"

#include <criterion/criterion.h>
#include <map>

using namespace azurepaddle;
using namespace azurepaddle::routing;
using namespace std::chrono_literals;

namespace {

EndpointId idOf(int number)
{
    return EndpointId("e" + std::to_string(number));
}

/// Simulates one stream on each of twelve endpoints, with an inter-token latency set by the test.
struct Streams {
    Streams()
    {
        for (int i = 0; i < 12; ++i)
            detector.add(idOf(i));
    }

    void run(Duration time)
    {
        for (const TimePoint end = now + time; now < end; now += 10ms) {
            for (int i = 0; i < 12; ++i)
                step(i);
            if (now.time_since_epoch() % 50ms == 0ms)
                detector.evaluate(now);
        }
    }

    void step(int i)
    {
        const Duration elapsed = now - lastTokenTime[i];
        if (elapsed < interTokenLatency[i])
            return detector.onPendingToken(idOf(i), elapsed, false, now);
        detector.onInterTokenLatency(idOf(i), elapsed, now);
        lastTokenTime[i] = now;
    }

    void setAll(Duration value)
    {
        for (int i = 0; i < 12; ++i)
            interTokenLatency[i] = value;
    }

    SlowDetector detector;
    TimePoint now { 1s };
    std::map<int, Duration> interTokenLatency;
    std::map<int, TimePoint> lastTokenTime;
};

}

// Guards against a slow endpoint that is detected only by its load report, which may be a second old, and receives
// requests until then.
Test(SlowDetector, oneEndpointSlows_withinHalfSecond_isExcluded)
{
    Streams streams;
    streams.setAll(20ms);
    streams.run(2s);
    streams.interTokenLatency[3] = 1s;
    streams.run(500ms);
    cr_assert(streams.detector.health(idOf(3)) == Health::Excluded);
    cr_assert(streams.detector.excludedCount() == 1);
}

// Guards against excluding all endpoints when all of them slow down at once.
Test(SlowDetector, allEndpointsSlow_excludesNone)
{
    Streams streams;
    streams.setAll(20ms);
    streams.run(2s);
    streams.setAll(160ms);
    streams.run(5s);
    cr_assert(streams.detector.excludedCount() == 0);
}

// Guards against excluding more than the configured fraction of the endpoints.
Test(SlowDetector, manyEndpointsSlow_excludesAtMostConfiguredFraction)
{
    Streams streams;
    streams.setAll(20ms);
    streams.run(2s);
    for (int i = 0; i < 5; ++i)
        streams.interTokenLatency[i] = 300ms;
    streams.run(3s);
    cr_assert(streams.detector.excludedCount() == 4);
}

// Guards against classifying a full endpoint as slow because a request waits for a slot while other streams of the
// endpoint receive tokens.
Test(SlowDetector, firstTokenLateWhileOtherStreamsProgress_endpointIsNotExcluded)
{
    Streams streams;
    streams.setAll(20ms);
    for (int i = 0; i < 12; ++i)
        streams.detector.onFirstToken(idOf(i), 50ms, streams.now);
    streams.run(1s);
    for (int i = 0; i < 5; ++i)
        streams.detector.onPendingToken(idOf(3), 2s, true, streams.now);
    streams.detector.evaluate(streams.now);
    cr_assert(streams.detector.health(idOf(3)) == Health::Normal);
    streams.interTokenLatency[3] = 1h;
    streams.run(1s);
    cr_assert(streams.detector.health(idOf(3)) == Health::Excluded);
}

// Guards against an excluded endpoint that is never used again after it recovered, or immediately receives full load.
Test(SlowDetector, latencyReturnsToNormal_endpointRecoversInSteps)
{
    Streams streams;
    streams.setAll(20ms);
    streams.run(2s);
    streams.interTokenLatency[3] = 300ms;
    streams.run(2s);
    cr_assert(streams.detector.tryAcquireProbe(idOf(3), streams.now));
    cr_assert(!streams.detector.tryAcquireProbe(idOf(3), streams.now));
    streams.interTokenLatency[3] = 20ms;
    streams.run(900ms);
    cr_assert(streams.detector.health(idOf(3)) == Health::Recovering);
    streams.run(1500ms);
    cr_assert(streams.detector.health(idOf(3)) == Health::Normal);
}

// Guards against an endpoint that alternates between excluded and normal while its latency is close to a threshold.
Test(SlowDetector, ratioBetweenThresholds_healthDoesNotChange)
{
    Streams streams;
    streams.setAll(20ms);
    streams.interTokenLatency[3] = 40ms;
    streams.run(5s);
    cr_assert(streams.detector.health(idOf(3)) == Health::Normal);
    streams.interTokenLatency[3] = 100ms;
    streams.run(2s);
    streams.interTokenLatency[3] = 40ms;
    streams.run(5s);
    cr_assert(streams.detector.health(idOf(3)) == Health::Excluded);
}

// Guards against a stalled stream that is detected only after a long fixed timeout, and against connection checks on
// every short pause.
Test(ProgressDeadlines, observedTimes_setDeadlineWithinBounds)
{
    ProgressDeadlines deadlines;
    cr_assert(deadlines.nextTokenDeadline() == 5s);
    for (int i = 0; i < 1000; ++i) {
        deadlines.onInterTokenLatency(i % 2 == 0 ? 100ms : 300ms);
        deadlines.onFirstToken(100, 1s);
    }
    cr_assert(deadlines.nextTokenDeadline() > 700ms);
    cr_assert(deadlines.nextTokenDeadline() < 900ms);
    cr_assert(deadlines.firstTokenDeadline(400) > 3900ms);
    cr_assert(deadlines.firstTokenDeadline(1e9) <= 20s);
}

// Guards against retrying a request that crashed an endpoint without marking it as a suspect.
Test(SuspectTracker, endpointFails_requestsInProgressBecomeSuspects)
{
    SuspectTracker tracker;
    const TenantName tenant("blue");
    const Fingerprint first = fingerprintOf(tenant, "m", "a");
    const Fingerprint second = fingerprintOf(tenant, "m", "b");
    cr_assert(first == fingerprintOf(tenant, "m", "a"));
    cr_assert(fingerprintOf(tenant, "ma", "") != fingerprintOf(tenant, "m", "a"));
    tracker.onSent(first, idOf(1));
    tracker.onSent(second, idOf(1));
    tracker.onSent(second, idOf(2));
    tracker.onEnded(second, idOf(1));
    cr_assert(tracker.onEndpointFailed(idOf(1)) == std::vector<Fingerprint> { first });
    cr_assert(tracker.onEndpointFailed(idOf(1)).empty());
    cr_assert(tracker.isSuspect(first));
    cr_assert(!tracker.isSuspect(second));
    tracker.clear(first);
    cr_assert(!tracker.isSuspect(first));
}
