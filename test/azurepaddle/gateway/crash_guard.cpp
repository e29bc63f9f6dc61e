#include "azurepaddle/gateway/crash_guard.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace azurepaddle;
using namespace azurepaddle::gateway;
using namespace std::chrono_literals;

namespace {

const registry::RequestFingerprint crashing("crashing");

/// An entry at which endpoints crash.
struct CrashGuardFixture {
    metrics::Registry metrics;
    std::vector<http1::ProbeCallback> probes;
    CrashGuard guard { [this](const InstanceAddress&, http1::ProbeCallback onOutcome) { probes.push_back(std::move(onOutcome)); }, metrics };
    std::vector<registry::SuspectsRequest> reports;
    const SystemClock clock {};

    CrashGuardFixture()
    {
        guard.setOnReport([this](const registry::SuspectsRequest& report) { reports.push_back(report); });
    }

    /// Another endpoint crashes under the request.
    void crash()
    {
        const registry::EndpointRecord endpoint { EndpointId(fmt::format("e{}", probes.size())), 1, ServiceName("s"), "127.0.0.1", 80, DataCentreName("a"), 4, registry::EndpointState::Ready, {} };
        guard.noteLost(endpoint, crashing);
        probes.back()(http1::ProbeOutcome::Refused);
    }
};

}

// Guards against an entry that goes on sending because it cannot reach the others to agree.
Test(CrashGuard, threeCrashesSeenHere_requestIsRefused_beforeOthersAgree)
{
    CrashGuardFixture fixture;
    fixture.crash();
    fixture.crash();
    cr_assert(fixture.guard.isSuspect(crashing));
    cr_assert(!fixture.guard.refusedFor(crashing, fixture.clock.now()));
    fixture.crash();
    cr_assert(fixture.guard.refusedFor(crashing, fixture.clock.now()));
    cr_assert(fixture.reports.size() == 3);
    cr_assert(fixture.reports.back().crashes.front().endpoint == EndpointId("e2"));
}

// Guards against an entry that had no part in the crashes and does not know of them.
Test(CrashGuard, othersAgreed_requestIsRefused_forTheTimeTheySay)
{
    CrashGuardFixture fixture;
    const TimePoint now = fixture.clock.now();
    fixture.guard.setAgreedSuspects({ { crashing, 5000 }, { registry::RequestFingerprint("suspect"), 0 } }, now);
    cr_assert(fixture.guard.refusedFor(crashing, now) == 5s);
    cr_assert(!fixture.guard.refusedFor(crashing, now + 6s));
    cr_assert(fixture.guard.isSuspect(registry::RequestFingerprint("suspect")));
    cr_assert(!fixture.guard.refusedFor(registry::RequestFingerprint("suspect"), now));
    fixture.guard.setAgreedSuspects({}, now);
    cr_assert(!fixture.guard.knowsSuspects());
}

// Guards against a sound request that stays suspected at other entries although it was answered here.
Test(CrashGuard, suspectAnsweredWhole_isClearedHere_andOthersAreTold)
{
    CrashGuardFixture fixture;
    fixture.guard.setAgreedSuspects({ { crashing, 0 } }, fixture.clock.now());
    fixture.crash();
    fixture.guard.noteAnswered(crashing);
    cr_assert(!fixture.guard.isSuspect(crashing));
    cr_assert(fixture.reports.back().cleared == std::vector<registry::RequestFingerprint>({ crashing }));
    fixture.guard.noteAnswered(crashing);
    cr_assert(fixture.reports.size() == 2, "nothing is told of requests that are no suspects");
}

// Guards against a request of many callers that is refused because all endpoints crashed at once.
Test(CrashGuard, requestAnsweredLately_allEndpointsCrash_isNotSuspected_crashesAreReported)
{
    CrashGuardFixture fixture;
    fixture.guard.noteAnswered(crashing);
    for (int endpoint = 0; endpoint < 5; ++endpoint)
        fixture.crash();
    cr_assert(!fixture.guard.isSuspect(crashing));
    cr_assert(fixture.reports.size() == 5);
    cr_assert(fixture.reports.back().crashes.front().requests.empty());
}

// Guards against memory that grows with each request, and against answers that excuse a request for ever.
Test(RecentAnswers, manyOrOldAnswers_areForgotten)
{
    RecentAnswers answers;
    TimePoint now { 1h };
    answers.add(crashing, now);
    cr_assert(answers.contains(crashing, now + RecentAnswers::generationTime));
    cr_assert(!answers.contains(crashing, now + 3 * RecentAnswers::generationTime));
    now += 1h;
    answers.add(crashing, now);
    for (std::size_t number = 0; number < 3 * RecentAnswers::maxGeneration; ++number)
        answers.add(registry::RequestFingerprint(fmt::format("{}", number)), now);
    cr_assert(!answers.contains(crashing, now));
}
