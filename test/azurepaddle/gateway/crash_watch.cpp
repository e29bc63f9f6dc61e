#include "azurepaddle/gateway/crash_watch.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::gateway;

namespace {

const registry::RequestFingerprint first("1");
const registry::RequestFingerprint second("2");

/// A watch with one endpoint, whose probes complete when the test calls their callbacks.
struct CrashWatchFixture {
    metrics::Registry metrics;
    std::vector<http1::ProbeCallback> probes;
    std::vector<registry::EndpointCrash> crashes;
    CrashWatch watch { [this](const InstanceAddress&, http1::ProbeCallback onOutcome) { probes.push_back(std::move(onOutcome)); }, metrics };
    registry::EndpointRecord endpoint { EndpointId("e"), 7, ServiceName("s"), "127.0.0.1", 80, DataCentreName("a"), 4, registry::EndpointState::Ready, {} };

    CrashWatchFixture()
    {
        watch.setOnCrash([this](const registry::EndpointCrash& crash) { crashes.push_back(crash); });
    }
};

http1::Request request(const std::string& target, const std::string& body)
{
    return { "POST", target, { { "Host", "h" }, { "X-Id", body } }, body };
}

}

// Guards against one crash that is reported several times, once for each request that was in progress at the endpoint.
Test(CrashWatch, connectionRefused_allLostRequests_areReportedTogether)
{
    CrashWatchFixture fixture;
    fixture.watch.recordLostRequest(fixture.endpoint, second);
    fixture.watch.recordLostRequest(fixture.endpoint, first);
    cr_assert(fixture.probes.size() == 1);
    fixture.probes.front()(http1::ProbeOutcome::Refused);
    cr_assert(fixture.crashes == std::vector<registry::EndpointCrash>({ { EndpointId("e"), 7, { first, second } } }));
}

// Guards against the suspicion of requests whose connection was lost although the endpoint did not crash.
Test(CrashWatch, endpointListensOrIsUnreachable_lostRequests_areNotReported)
{
    CrashWatchFixture fixture;
    for (const auto outcome : { http1::ProbeOutcome::Accepted, http1::ProbeOutcome::NoAnswer }) {
        fixture.watch.recordLostRequest(fixture.endpoint, first);
        fixture.probes.back()(outcome);
    }
    cr_assert(fixture.probes.size() == 2);
    cr_assert(fixture.crashes.empty());
    cr_assert(fixture.metrics.counter("gateway_lost_requests_total").value() == 2);
}

// Guards against repetitions of a request with different fingerprints, and against different requests with the same
// one.
Test(Fingerprint, requests_haveEqualFingerprints_onlyIfEquivalent)
{
    http1::Request repeated = request("/a", "body");
    repeated.fields.set("X-Id", "other");
    cr_assert(fingerprintOf(request("/a", "body")) == fingerprintOf(repeated));
    cr_assert(fingerprintOf(request("/a", "body")) != fingerprintOf(request("/a", "bodies")));
    cr_assert(fingerprintOf(request("/a", "body")) != fingerprintOf(request("/ab", "ody")));
    repeated.fields.set("Authorization", "Bearer x");
    cr_assert(fingerprintOf(request("/a", "body")) != fingerprintOf(repeated));
}
