#include "azurepaddle/batch/placement.hpp"
#include "azurepaddle/execution/item_text.hpp"
#include "azurepaddle/execution/speed_meter.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::execution;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

void observe(SpeedMeter& meter, const std::string& id, int ms)
{
    for (int i = 0; i < 50; ++i)
        meter.recordEventInterval(EndpointId(id), std::chrono::milliseconds(ms), start);
}

/// Records events at this interval for a while. Returns the time of the last one.
TimePoint observeFor(SpeedMeter& meter, const std::string& id, int ms, TimePoint from, Duration duration)
{
    const Duration interval = std::chrono::milliseconds(ms);
    TimePoint at = from;
    for (; at < from + duration; at += interval)
        meter.recordEventInterval(EndpointId(id), interval, at);
    return at - interval;
}

}

// Guards against a text with a missing or duplicate event.
Test(ItemText, eventOutOfOrder_isRefused)
{
    ItemText text;
    cr_assert(text.append(1, "one", 3));
    cr_assert(!text.append(1, "one", 3));
    cr_assert(!text.append(3, "three", 3));
    cr_assert(text.append(2, "two", 4));
    cr_assert(text.output() == "one\ntwo");
}

// Guards against a list of versions that omits a version of the text or repeats one.
Test(ItemText, versionsChange_allAreNamedOnce)
{
    ItemText text;
    cr_assert(text.append(1, "a", 3));
    cr_assert(text.append(2, "b", 4));
    cr_assert(text.append(3, "c", 4));
    cr_assert(text.versions() == std::vector<WeightVersion>({ 3, 4 }));
}

// Guards against reusing the text of an earlier job for a later job whose version bounds exclude it.
Test(ItemText, oldVersions_laterJob_doNotFit)
{
    cr_assert(satisfiesVersionBounds({ 3, 4 }, 3, false));
    cr_assert(!satisfiesVersionBounds({ 3, 4 }, 4, false));
    cr_assert(!satisfiesVersionBounds({ 3, 4 }, 3, true));
    cr_assert(satisfiesVersionBounds({}, 9, true));
}

// Guards against a record that joins the events of two runs: a restarted text grew longer than the recorded part of the
// first run, and its later events were appended to the old ones.
Test(ItemText, textRestarted_recordStartsAtFirstEvent)
{
    const batch::ItemId item("i");
    ItemText text;
    for (std::uint64_t number = 1; number <= 4; ++number)
        cr_assert(text.append(number, "old", 1));
    cr_assert(text.takeUnrecorded(item, 4, 2) == batch::TextPart({ item, 1, { { "old", 1 }, { "old", 1 }, { "old", 1 }, { "old", 1 } } }));
    cr_assert(!text.takeUnrecorded(item, 4, 2));
    text.clear();
    for (std::uint64_t number = 1; number <= 6; ++number)
        cr_assert(text.append(number, "new", 2));
    const auto part = text.takeUnrecorded(item, 4, 2);
    cr_assert(part && part->firstEvent == 1 && part->events.size() == 6);
}

// Guards against a new leader that records events again that were already recorded under the earlier leader.
Test(ItemText, recordedEventsTakenOver_onlyNewOnesAreRecorded)
{
    const batch::ItemId item("i");
    ItemText text({ item, 1, { { "one", 1 }, { "two", 1 } } });
    cr_assert(text.append(3, "three", 1));
    cr_assert(text.takeUnrecorded(item, 1, 1) == batch::TextPart({ item, 3, { { "three", 1 } } }));
}

// Guards against a text whose beginning and end come from endpoints with different software.
Test(ItemText, softwareDiffers_textStartsAgain)
{
    ItemText text;
    cr_assert(text.continueWith(SoftwareVersion("v1")));
    cr_assert(text.append(1, "one", 1));
    cr_assert(text.continueWith(SoftwareVersion("v1")));
    cr_assert(text.eventCount() == 1);
    cr_assert(!text.continueWith(SoftwareVersion("v2")));
    cr_assert(text.eventCount() == 0);
    cr_assert(text.append(1, "uno", 1));
    cr_assert(text.takeRest(batch::ItemId("i")).software == SoftwareVersion("v2"));
}

// Guards against a text of unknown software, recorded by an earlier release, that any endpoint continues.
Test(ItemText, softwareUnknown_textStartsAgain)
{
    ItemText text({ batch::ItemId("i"), 1, { { "one", 1 } } });
    cr_assert(!text.continueWith(SoftwareVersion("v1")));
    ItemText again({ batch::ItemId("i"), 1, { { "one", 1 } } });
    cr_assert(!again.continueWith({}));
    cr_assert(again.eventCount() == 0);
}

// Guards against a slow endpoint that is not distinguished from the others.
Test(SpeedMeter, oneEndpointSlowed_exceedsTheMedian)
{
    SpeedMeter meter;
    observe(meter, "a", 40);
    observe(meter, "b", 40);
    observe(meter, "c", 140);
    cr_assert(meter.slowness(EndpointId("c"), start) > 3);
    cr_assert(meter.slowness(EndpointId("a"), start) < 1.1);
}

// Guards against items that are moved between endpoints although all endpoints are equally slow.
Test(SpeedMeter, allEndpointsSlowed_noneIsSlow)
{
    SpeedMeter meter;
    observe(meter, "a", 140);
    observe(meter, "b", 140);
    cr_assert(meter.slowness(EndpointId("a"), start) < 1.1);
}

// Guards against an endpoint that is avoided permanently: without new items there are no new observations.
Test(SpeedMeter, oldObservations_areIgnored)
{
    SpeedMeter meter;
    observe(meter, "a", 140);
    observe(meter, "b", 40);
    const TimePoint later = start + std::chrono::seconds(5);
    cr_assert(meter.slowness(EndpointId("a"), later) == meter.slowness(EndpointId("unknown"), later));
    cr_assert(meter.slowness(EndpointId("unknown"), later) < batch::slownessThreshold);
}

// Guards against items that stay at a slow endpoint for half a second, because an average over many events hides the
// slowdown.
Test(SpeedMeter, endpointBecomesSlow_oneEventSuffices)
{
    SpeedMeter meter;
    observe(meter, "a", 50);
    observe(meter, "b", 50);
    observe(meter, "c", 50);
    meter.recordEventInterval(EndpointId("c"), std::chrono::milliseconds(125), start);
    cr_assert(meter.slowness(EndpointId("c"), start) >= batch::slownessThreshold);
}

// Guards against items that are sent to an endpoint whose last response reported slowness, and against avoiding an
// endpoint whose newest response reports normal speed.
Test(SpeedMeter, endpointReports_newestReportIsUsed)
{
    SpeedMeter meter;
    observe(meter, "a", 50);
    observe(meter, "b", 50);
    meter.recordReportedSlowness(EndpointId("a"), 2.5, start);
    cr_assert(meter.slowness(EndpointId("a"), start) >= batch::slownessThreshold);
    meter.recordReportedSlowness(EndpointId("a"), 1, start + std::chrono::milliseconds(100));
    cr_assert(meter.slowness(EndpointId("a"), start + std::chrono::milliseconds(100)) < 1.1);
}

// Guards against a lastingly slower endpoint that counts as equal once its last events are some time ago, and against a
// disturbance of half a second that counts as lasting.
Test(SpeedMeter, fleetOfTwoSpeeds_lastingAndPassingSlowness_areToldApart)
{
    SpeedMeter meter;
    observeFor(meter, "a", 40, start, std::chrono::seconds(3));
    observeFor(meter, "b", 40, start, std::chrono::seconds(3));
    const TimePoint last = observeFor(meter, "c", 52, start, std::chrono::seconds(3));
    const TimePoint disturbedUntil = observeFor(meter, "a", 100, last, std::chrono::milliseconds(600));
    cr_assert(meter.lastingSlowness(EndpointId("c"), disturbedUntil) > 1.25);
    cr_assert(meter.lastingSlowness(EndpointId("a"), disturbedUntil) < 1.05);
    cr_assert(meter.slowness(EndpointId("a"), disturbedUntil) > 2);
    cr_assert(meter.slowFor(EndpointId("a"), disturbedUntil) >= std::chrono::milliseconds(400));
    cr_assert(meter.slowFor(EndpointId("c"), disturbedUntil) == Duration::zero());
    const TimePoint later = last + std::chrono::seconds(1);
    cr_assert(meter.slowness(EndpointId("c"), later) > 1.2);
}

// Guards against long items that return to a slow endpoint as soon as all items have left it, and against an endpoint
// that is avoided for good because nothing runs there.
Test(SpeedMeter, itemsLeaveSlowEndpoint_slowdownIsRememberedForSeconds)
{
    SpeedMeter meter;
    observeFor(meter, "a", 40, start, std::chrono::seconds(2));
    const TimePoint normal = observeFor(meter, "b", 40, start, std::chrono::seconds(2));
    const TimePoint left = observeFor(meter, "b", 140, normal, std::chrono::milliseconds(300));
    cr_assert(meter.slowness(EndpointId("b"), left + std::chrono::seconds(1)) > 2);
    cr_assert(meter.slowness(EndpointId("b"), left + std::chrono::seconds(5)) < 1.1);
}
