#include "azurepaddle/registry/permit_table.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::registry;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };

struct PermitTableFixture {
    PermitTable table;

    PermitReply request(Duration passed, double limit = 2, const std::string& endpoint = "a", std::uint64_t startedMs = 1, const std::string& instance = "x")
    {
        return table.request({ { EndpointId(endpoint), startedMs }, limit, instance }, start + passed);
    }

    /// Requests a permit every 10 ms from `begin` to `end`; returns the number of granted ones.
    int grantsBetween(Duration begin, Duration end, double limit = 2)
    {
        int grants = 0;
        for (Duration passed = begin; passed < end; passed += 10ms)
            grants += request(passed, limit).isGranted ? 1 : 0;
        return grants;
    }
};

}

// Guards against more requests than the endpoint takes, and against fewer than it would take.
Test(PermitTable, requestsWithoutPause_granted_atRateOfLimit)
{
    PermitTableFixture fixture;
    const int grants = fixture.grantsBetween(0s, 20s);
    cr_assert(grants >= 38 && grants <= 40, "%d permits in 20 s at 2 per second", grants);
}

// Guards against a new leader that grants permits beside those that its predecessor granted just before.
Test(PermitTable, firstRequest_refused_untilNextPermit)
{
    PermitTableFixture fixture;
    const PermitReply refused = fixture.request(0s);
    cr_assert(!refused.isGranted && refused.retryAfterMs == 500);
    cr_assert(!fixture.request(490ms).isGranted);
    cr_assert(fixture.request(500ms).isGranted);
    fixture.table.clear();
    cr_assert(!fixture.request(600ms).isGranted);
}

// Guards against permits that are saved up over a pause and all used at once.
Test(PermitTable, longPause_permitsKept_areBounded)
{
    PermitTableFixture fixture;
    static_cast<void>(fixture.request(0s));
    int grants = 0;
    while (fixture.request(30s).isGranted)
        ++grants;
    cr_assert(grants == 1);
}

// Guards against endpoints that share one limit, and against a restarted endpoint that inherits permits.
Test(PermitTable, otherEndpointOrIncarnation_hasPermitsOfItsOwn)
{
    PermitTableFixture fixture;
    static_cast<void>(fixture.request(0s));
    static_cast<void>(fixture.request(0s, 2, "b"));
    cr_assert(fixture.request(1s).isGranted);
    cr_assert(fixture.request(1s, 2, "b").isGranted);
    cr_assert(!fixture.request(2s, 2, "a", 2).isGranted);
}

// Guards against an endpoint that names 0 and never gets a request, so that the end of its limit is not noticed.
Test(PermitTable, limitOfZero_grantsRarely)
{
    PermitTableFixture fixture;
    const int grants = fixture.grantsBetween(0s, 60s, 0);
    cr_assert(grants >= 1 && grants <= 6);
}

// Guards against instances that left being counted as senders for ever.
Test(PermitTable, instances_counted_whileTheyRequest)
{
    PermitTableFixture fixture;
    cr_assert(fixture.request(0s, 2, "a", 1, "x").instances == 1);
    cr_assert(fixture.request(0s, 2, "a", 1, "y").instances == 2);
    cr_assert(fixture.request(90s, 2, "a", 1, "x").instances == 1);
}
