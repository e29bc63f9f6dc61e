#include "azurepaddle/registry/suspects.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace azurepaddle;
using namespace azurepaddle::registry;

namespace {

const RequestFingerprint crashing("crashing");
constexpr std::uint64_t second = 1000;

/// Records crashes, each of a different endpoint.
struct SuspectsFixture {
    Suspects suspects;
    unsigned endpoints = 0;

    void crash(std::vector<RequestFingerprint> requests, std::uint64_t atMs)
    {
        suspects.add({ EndpointId(fmt::format("e{}", ++endpoints)), 1, std::move(requests) }, atMs);
    }
    [[nodiscard]] bool isRefused(const RequestFingerprint& request) const
    {
        const auto suspicion = suspects.find(request);
        return suspicion && suspicion->isRefused();
    }
};

RequestFingerprint harmless(unsigned number)
{
    return RequestFingerprint(fmt::format("harmless {}", number));
}

}

// Guards against a request that is still sent after three endpoints crashed during it.
Test(Suspects, threeCrashesDuringOneRequest_refuseIt)
{
    SuspectsFixture fixture;
    for (unsigned number = 1; number <= 3; ++number) {
        cr_assert(!fixture.isRefused(crashing));
        fixture.crash({ crashing }, number * 10 * second);
    }
    cr_assert(fixture.isRefused(crashing));
    cr_assert(fixture.suspects.find(crashing)->crashes == 3);
}

// Guards against a crashing request that is not detected because many other requests are in progress at each crash and
// get no response either.
Test(Suspects, fiveCrashesWithManyOtherRequests_refuseIt)
{
    SuspectsFixture fixture;
    for (unsigned number = 1; number <= 5; ++number) {
        cr_assert(!fixture.isRefused(crashing));
        fixture.crash({ crashing, harmless(10 * number), harmless(10 * number + 1), harmless(10 * number + 2) }, number * 10 * second);
    }
    cr_assert(fixture.isRefused(crashing));
    cr_assert(!fixture.isRefused(harmless(10)));
}

// Guards against a crashing request that is not refused because of concurrent requests that proved to be harmless.
Test(Suspects, concurrentRequestsCleared_crashesCountFullyForTheRest)
{
    SuspectsFixture fixture;
    for (unsigned number = 1; number <= 3; ++number)
        fixture.crash({ crashing, harmless(1), harmless(2), harmless(3) }, number * 10 * second);
    cr_assert(!fixture.isRefused(crashing));
    for (unsigned number = 1; number <= 3; ++number)
        fixture.suspects.clear(harmless(number));
    cr_assert(fixture.isRefused(crashing));
    cr_assert(!fixture.suspects.find(harmless(1)));
}

// Guards against a harmless request that is refused because it was in progress during a burst of crashes.
Test(Suspects, burstOfCrashes_harmlessRequestRepeatedAtThreeEndpoints_isNotRefused)
{
    SuspectsFixture fixture;
    for (unsigned number = 1; number <= 3; ++number) {
        fixture.crash({ harmless(1) }, number * 400);
        fixture.crash({ harmless(10 + number) }, number * 400 + 5);
    }
    cr_assert(!fixture.isRefused(harmless(1)));
    fixture.suspects.clear(harmless(1));
    cr_assert(!fixture.suspects.find(harmless(1)));
}

// Guards against a crash that is counted once for each instance that reports it.
Test(Suspects, crashReportedBySeveralInstances_countsOnce_withAllItsRequests)
{
    Suspects suspects;
    for (unsigned instance = 0; instance < 3; ++instance)
        suspects.add({ EndpointId("e"), 1, { crashing, harmless(instance) } }, second);
    cr_assert(suspects.crashes().size() == 1);
    cr_assert(suspects.find(crashing)->crashes == 1);
    cr_assert(!suspects.addsInformation({ EndpointId("e"), 1, { harmless(2) } }));
    cr_assert(suspects.addsInformation({ EndpointId("e"), 1, { harmless(3) } }));
    cr_assert(suspects.addsInformation({ EndpointId("e"), 2, { crashing } }));
}

// Guards against a refusal that never expires.
Test(Suspects, crashesExpired_requestIsServedAgain)
{
    SuspectsFixture fixture;
    for (unsigned number = 1; number <= 3; ++number)
        fixture.crash({ crashing }, number * 10 * second);
    const std::uint64_t before = fixture.suspects.revision();
    fixture.suspects.expireBefore(15 * second);
    cr_assert(!fixture.isRefused(crashing));
    cr_assert(fixture.suspects.oldestCrashMs() == 20 * second);
    cr_assert(fixture.suspects.revision() > before);
}

// Guards against memory that grows with each crash, and against a refusal that is lost because later crashes evict its
// records.
Test(Suspects, manyCrashes_oldestWithoutRefusedRequest_areRemoved)
{
    SuspectsFixture fixture;
    for (unsigned number = 1; number <= 3; ++number)
        fixture.crash({ crashing }, number * 10 * second);
    for (unsigned number = 0; number < 2 * Suspects::maxCrashes; ++number)
        fixture.crash({ harmless(number) }, (100 + 10 * number) * second);
    cr_assert(fixture.suspects.crashes().size() == Suspects::maxCrashes);
    cr_assert(fixture.isRefused(crashing));
}

// Guards against an instance that restores a snapshot and computes other evidence than the others.
Test(Suspects, snapshot_restored_yieldsSameEvidence)
{
    SuspectsFixture fixture;
    for (unsigned number = 1; number <= 3; ++number)
        fixture.crash({ crashing, harmless(number) }, number * 10 * second);
    Suspects restored;
    restored.restore(fixture.suspects.crashes(), fixture.suspects.revision());
    cr_assert(restored.all() == fixture.suspects.all());
    cr_assert(restored.revision() == fixture.suspects.revision());
}
