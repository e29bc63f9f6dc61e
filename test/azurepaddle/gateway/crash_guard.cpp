#include "azurepaddle/gateway/crash_guard.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace azurepaddle;
using namespace azurepaddle::gateway;
using namespace std::chrono_literals;

namespace {

const registry::RequestFingerprint crashingRequest("crashing");

/// A guard of an entry instance, whose endpoints crash on demand.
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

    /// Simulates the crash of another endpoint while it runs the request.
    void crash()
    {
        const registry::EndpointRecord endpoint { EndpointId(fmt::format("e{}", probes.size())), 1, ServiceName("s"), "127.0.0.1", 80, DataCentreName("a"), 4, registry::EndpointState::Ready, {} };
        guard.recordLostRequest(endpoint, crashingRequest);
        probes.back()(http1::ProbeOutcome::Refused);
    }
};

}

// Guards against an entry instance that continues to send a crashing request because it cannot reach the other
// instances to agree on the suspect.
Test(CrashGuard, threeLocalCrashes_requestIsRefused_withoutAgreement)
{
    CrashGuardFixture fixture;
    fixture.crash();
    fixture.crash();
    cr_assert(fixture.guard.isSuspect(crashingRequest));
    cr_assert(!fixture.guard.remainingRefusal(crashingRequest, fixture.clock.now()));
    fixture.crash();
    cr_assert(fixture.guard.remainingRefusal(crashingRequest, fixture.clock.now()));
    cr_assert(fixture.reports.size() == 3);
    cr_assert(fixture.reports.back().crashes.front().endpoint == EndpointId("e2"));
}

// Guards against an entry instance that sends a crashing request because it observed none of the crashes itself.
Test(CrashGuard, agreedSuspect_requestIsRefused_forTheAgreedTime)
{
    CrashGuardFixture fixture;
    const TimePoint now = fixture.clock.now();
    fixture.guard.setAgreedSuspects({ { crashingRequest, 5000 }, { registry::RequestFingerprint("suspect"), 0 } }, now);
    cr_assert(fixture.guard.remainingRefusal(crashingRequest, now) == 5s);
    cr_assert(!fixture.guard.remainingRefusal(crashingRequest, now + 6s));
    cr_assert(fixture.guard.isSuspect(registry::RequestFingerprint("suspect")));
    cr_assert(!fixture.guard.remainingRefusal(registry::RequestFingerprint("suspect"), now));
    fixture.guard.setAgreedSuspects({}, now);
    cr_assert(!fixture.guard.hasSuspects());
}

// Guards against a request that stays suspected at other entry instances although an endpoint answered it here.
Test(CrashGuard, suspectAnswered_isClearedLocally_andReported)
{
    CrashGuardFixture fixture;
    fixture.guard.setAgreedSuspects({ { crashingRequest, 0 } }, fixture.clock.now());
    fixture.crash();
    fixture.guard.recordAnswer(crashingRequest);
    cr_assert(!fixture.guard.isSuspect(crashingRequest));
    cr_assert(fixture.reports.back().cleared == std::vector<registry::RequestFingerprint>({ crashingRequest }));
    fixture.guard.recordAnswer(crashingRequest);
    cr_assert(fixture.reports.size() == 2, "an answer to a request that is not suspected must not be reported");
}

// Guards against the refusal of a request that many callers send because all endpoints crashed at once for another
// reason.
Test(CrashGuard, recentlyAnsweredRequest_allEndpointsCrash_isNotSuspected_crashesAreReported)
{
    CrashGuardFixture fixture;
    fixture.guard.recordAnswer(crashingRequest);
    for (int endpoint = 0; endpoint < 5; ++endpoint)
        fixture.crash();
    cr_assert(!fixture.guard.isSuspect(crashingRequest));
    cr_assert(fixture.reports.size() == 5);
    cr_assert(fixture.reports.back().crashes.front().requests.empty());
}

// Guards against memory that grows with each request, and against an old answer that exempts a request from suspicion
// for ever.
Test(RecentAnswers, oldOrNumerousAnswers_areEvicted)
{
    RecentAnswers answers;
    TimePoint now { 1h };
    answers.add(crashingRequest, now);
    cr_assert(answers.contains(crashingRequest, now + RecentAnswers::generationTime));
    cr_assert(!answers.contains(crashingRequest, now + 3 * RecentAnswers::generationTime));
    now += 1h;
    answers.add(crashingRequest, now);
    for (std::size_t number = 0; number < 3 * RecentAnswers::maxGeneration; ++number)
        answers.add(registry::RequestFingerprint(fmt::format("{}", number)), now);
    cr_assert(!answers.contains(crashingRequest, now));
}
