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

/// Streams on twelve endpoints whose time between tokens the test sets.
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
        const Duration silence = now - last[i];
        if (silence < gap[i])
            return detector.onSilence(idOf(i), silence, false, now);
        detector.onTokenGap(idOf(i), silence, now);
        last[i] = now;
    }

    void setAll(Duration value)
    {
        for (int i = 0; i < 12; ++i)
            gap[i] = value;
    }

    SlowDetector detector;
    TimePoint now { 1s };
    std::map<int, Duration> gap;
    std::map<int, TimePoint> last;
};

}

// Guards against work sent to a slow endpoint until its load report, a second old, tells.
Test(SlowDetector, oneEndpointSlows_withinHalfSecond_isExcluded)
{
    Streams streams;
    streams.setAll(20ms);
    streams.run(2s);
    streams.gap[3] = 1s;
    streams.run(500ms);
    cr_assert(streams.detector.health(idOf(3)) == Health::Excluded);
    cr_assert(streams.detector.excludedCount() == 1);
}

// Guards against the exclusion of everything when all endpoints slow down at once.
Test(SlowDetector, allEndpointsSlow_excludesNone)
{
    Streams streams;
    streams.setAll(20ms);
    streams.run(2s);
    streams.setAll(160ms);
    streams.run(5s);
    cr_assert(streams.detector.excludedCount() == 0);
}

// Guards against an exclusion of more than the stated fraction.
Test(SlowDetector, halfOfEndpointsSlow_excludesAtMostStatedFraction)
{
    Streams streams;
    streams.setAll(20ms);
    streams.run(2s);
    for (int i = 0; i < 5; ++i)
        streams.gap[i] = 300ms;
    streams.run(3s);
    cr_assert(streams.detector.excludedCount() == 4);
}

// Guards against a full endpoint that is taken for a slow one: requests wait there for a slot while others get tokens.
Test(SlowDetector, firstTokenLateWhileOthersFlow_endpointStays)
{
    Streams streams;
    streams.setAll(20ms);
    for (int i = 0; i < 12; ++i)
        streams.detector.onFirstToken(idOf(i), 50ms, streams.now);
    streams.run(1s);
    for (int i = 0; i < 5; ++i)
        streams.detector.onSilence(idOf(3), 2s, true, streams.now);
    streams.detector.evaluate(streams.now);
    cr_assert(streams.detector.health(idOf(3)) == Health::Normal);
    streams.gap[3] = 1h;
    streams.run(1s);
    cr_assert(streams.detector.health(idOf(3)) == Health::Excluded);
}

// Guards against an endpoint that never returns, or returns to full load at once.
Test(SlowDetector, slownessEnds_endpointReturnsInSteps)
{
    Streams streams;
    streams.setAll(20ms);
    streams.run(2s);
    streams.gap[3] = 300ms;
    streams.run(2s);
    cr_assert(streams.detector.takeProbe(idOf(3), streams.now));
    cr_assert(!streams.detector.takeProbe(idOf(3), streams.now));
    streams.gap[3] = 20ms;
    streams.run(900ms);
    cr_assert(streams.detector.health(idOf(3)) == Health::Returning);
    streams.run(1500ms);
    cr_assert(streams.detector.health(idOf(3)) == Health::Normal);
}

// Guards against an endpoint that flickers in and out at the edge of the ratio.
Test(SlowDetector, ratioBetweenThresholds_healthDoesNotChange)
{
    Streams streams;
    streams.setAll(20ms);
    streams.gap[3] = 40ms;
    streams.run(5s);
    cr_assert(streams.detector.health(idOf(3)) == Health::Normal);
    streams.gap[3] = 100ms;
    streams.run(2s);
    streams.gap[3] = 40ms;
    streams.run(5s);
    cr_assert(streams.detector.health(idOf(3)) == Health::Excluded);
}

// Guards against silence that is noticed only after a fixed long timeout, and against checks on every short pause.
Test(ProgressDeadlines, observedTimes_setDeadlineWithinBounds)
{
    ProgressDeadlines deadlines;
    cr_assert(deadlines.nextToken() == 5s);
    for (int i = 0; i < 1000; ++i) {
        deadlines.onTokenGap(i % 2 == 0 ? 100ms : 300ms);
        deadlines.onFirstToken(100, 1s);
    }
    cr_assert(deadlines.nextToken() > 700ms);
    cr_assert(deadlines.nextToken() < 900ms);
    cr_assert(deadlines.firstToken(400) > 3900ms);
    cr_assert(deadlines.firstToken(1e9) <= 20s);
}

// Guards against a crashing request that is retried without being known as a suspect.
Test(SuspectTracker, endpointDies_requestsInProgressBecomeSuspects)
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
