#include "azurepaddle/registry/suspects.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace azurepaddle;
using namespace azurepaddle::registry;

namespace {

const RequestFingerprint crashing("crashing");
constexpr std::uint64_t second = 1000;

/// Reports of crashes, each of another endpoint.
struct SuspectsFixture {
    Suspects suspects;
    unsigned endpoints = 0;

    void crash(std::vector<RequestFingerprint> requests, std::uint64_t atMs)
    {
        suspects.add({ EndpointId(fmt::format("e{}", ++endpoints)), 1, std::move(requests) }, atMs);
    }
    [[nodiscard]] bool isConvicted(const RequestFingerprint& request) const
    {
        const auto suspicion = suspects.find(request);
        return suspicion && suspicion->isConvicted();
    }
};

RequestFingerprint sound(unsigned number)
{
    return RequestFingerprint(fmt::format("sound {}", number));
}

}

// Guards against a request that is sent on after three endpoints crashed under it.
Test(Suspects, threeCrashesUnderOneRequest_convictIt)
{
    SuspectsFixture fixture;
    for (unsigned number = 1; number <= 3; ++number) {
        cr_assert(!fixture.isConvicted(crashing));
        fixture.crash({ crashing }, number * 10 * second);
    }
    cr_assert(fixture.isConvicted(crashing));
    cr_assert(fixture.suspects.find(crashing)->crashes == 3);
}

// Guards against a crashing request that hides among others which never get an answer either.
Test(Suspects, fiveCrashesBesideManyOthers_convictIt)
{
    SuspectsFixture fixture;
    for (unsigned number = 1; number <= 5; ++number) {
        cr_assert(!fixture.isConvicted(crashing));
        fixture.crash({ crashing, sound(10 * number), sound(10 * number + 1), sound(10 * number + 2) }, number * 10 * second);
    }
    cr_assert(fixture.isConvicted(crashing));
    cr_assert(!fixture.isConvicted(sound(10)));
}

// Guards against a crashing request that is spared because of neighbours which proved to be sound.
Test(Suspects, neighboursAnsweredWhole_crashesCountFullyForTheRest)
{
    SuspectsFixture fixture;
    for (unsigned number = 1; number <= 3; ++number)
        fixture.crash({ crashing, sound(1), sound(2), sound(3) }, number * 10 * second);
    cr_assert(!fixture.isConvicted(crashing));
    for (unsigned number = 1; number <= 3; ++number)
        fixture.suspects.clear(sound(number));
    cr_assert(fixture.isConvicted(crashing));
    cr_assert(!fixture.suspects.find(sound(1)));
}

// Guards against a sound request that is refused because it was in progress in a burst of crashes.
Test(Suspects, burstOfCrashes_soundRequestRepeatedAtThreeEndpoints_isNotConvicted)
{
    SuspectsFixture fixture;
    for (unsigned number = 1; number <= 3; ++number) {
        fixture.crash({ sound(1) }, number * 400);
        fixture.crash({ sound(10 + number) }, number * 400 + 5);
    }
    cr_assert(!fixture.isConvicted(sound(1)));
    fixture.suspects.clear(sound(1));
    cr_assert(!fixture.suspects.find(sound(1)));
}

// Guards against one crash that counts once for each instance that reports it.
Test(Suspects, crashReportedBySeveralInstances_countsOnce_withAllItsRequests)
{
    Suspects suspects;
    for (unsigned instance = 0; instance < 3; ++instance)
        suspects.add({ EndpointId("e"), 1, { crashing, sound(instance) } }, second);
    cr_assert(suspects.crashes().size() == 1);
    cr_assert(suspects.find(crashing)->crashes == 1);
    cr_assert(!suspects.isNews({ EndpointId("e"), 1, { sound(2) } }));
    cr_assert(suspects.isNews({ EndpointId("e"), 1, { sound(3) } }));
    cr_assert(suspects.isNews({ EndpointId("e"), 2, { crashing } }));
}

// Guards against a verdict that holds for ever.
Test(Suspects, crashesForgotten_requestIsServedAgain)
{
    SuspectsFixture fixture;
    for (unsigned number = 1; number <= 3; ++number)
        fixture.crash({ crashing }, number * 10 * second);
    const std::uint64_t before = fixture.suspects.revision();
    fixture.suspects.expireBefore(15 * second);
    cr_assert(!fixture.isConvicted(crashing));
    cr_assert(fixture.suspects.oldestMs() == 20 * second);
    cr_assert(fixture.suspects.revision() > before);
}

// Guards against memory that grows with each crash, and against a verdict that later crashes push out.
Test(Suspects, manyCrashes_oldestThatConvictNobody_areForgotten)
{
    SuspectsFixture fixture;
    for (unsigned number = 1; number <= 3; ++number)
        fixture.crash({ crashing }, number * 10 * second);
    for (unsigned number = 0; number < 2 * Suspects::maxCrashes; ++number)
        fixture.crash({ sound(number) }, (100 + 10 * number) * second);
    cr_assert(fixture.suspects.crashes().size() == Suspects::maxCrashes);
    cr_assert(fixture.isConvicted(crashing));
}

// Guards against an instance that restores a snapshot and judges otherwise than the others.
Test(Suspects, restored_judgesAsBefore)
{
    SuspectsFixture fixture;
    for (unsigned number = 1; number <= 3; ++number)
        fixture.crash({ crashing, sound(number) }, number * 10 * second);
    Suspects restored;
    restored.restore(fixture.suspects.crashes(), fixture.suspects.revision());
    cr_assert(restored.all() == fixture.suspects.all());
    cr_assert(restored.revision() == fixture.suspects.revision());
}
