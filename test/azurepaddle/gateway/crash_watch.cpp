#include "azurepaddle/gateway/crash_watch.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::gateway;

namespace {

const registry::RequestFingerprint one("1");
const registry::RequestFingerprint two("2");

/// An endpoint, and probes that end when the test says so.
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

// Guards against a crash that is counted once for each request that ran at the endpoint.
Test(CrashWatch, nobodyListensAnyMore_allLostRequests_areReportedTogether)
{
    CrashWatchFixture fixture;
    fixture.watch.noteLost(fixture.endpoint, two);
    fixture.watch.noteLost(fixture.endpoint, one);
    cr_assert(fixture.probes.size() == 1);
    fixture.probes.front()(http1::ProbeOutcome::Refused);
    cr_assert(fixture.crashes == std::vector<registry::EndpointCrash>({ { EndpointId("e"), 7, { one, two } } }));
}

// Guards against requests that are suspected because an endpoint closed or spoiled a connection.
Test(CrashWatch, endpointListensOrIsCutOff_lostRequests_areNotReported)
{
    CrashWatchFixture fixture;
    for (const auto outcome : { http1::ProbeOutcome::Accepted, http1::ProbeOutcome::NoAnswer }) {
        fixture.watch.noteLost(fixture.endpoint, one);
        fixture.probes.back()(outcome);
    }
    cr_assert(fixture.probes.size() == 2);
    cr_assert(fixture.crashes.empty());
    cr_assert(fixture.metrics.counter("gateway_lost_requests_total").value() == 2);
}

// Guards against repetitions that are taken for different requests, and different requests that are taken for one.
Test(Fingerprint, requests_shareIt_onlyIfTheyAskTheSame)
{
    http1::Request again = request("/a", "body");
    again.fields.set("X-Id", "other");
    cr_assert(fingerprintOf(request("/a", "body")) == fingerprintOf(again));
    cr_assert(fingerprintOf(request("/a", "body")) != fingerprintOf(request("/a", "bodies")));
    cr_assert(fingerprintOf(request("/a", "body")) != fingerprintOf(request("/ab", "ody")));
    again.fields.set("Authorization", "Bearer x");
    cr_assert(fingerprintOf(request("/a", "body")) != fingerprintOf(again));
}
