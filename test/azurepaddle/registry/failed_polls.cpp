#include "azurepaddle/registry/failed_polls.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::registry;

namespace {

struct FailedPollsFixture {
    FailedPolls polls;

    void record(int store, int times)
    {
        for (int i = 0; i < times; ++i)
            polls.record({ "10.0.0." + std::to_string(store), 80 });
    }
};

}

// Guards against a log line that does not tell whether one store or all of them were polled.
Test(FailedPolls, severalStoresFail_summaryCountsEachOnce)
{
    FailedPollsFixture fixture;
    fixture.record(1, 3);
    fixture.record(2, 1);
    cr_assert(fixture.polls.takeSummary() == "10.0.0.1:80=3 10.0.0.2:80=1");
    cr_assert(fixture.polls.takeSummary().empty());
}

// Guards against a log line that grows with the number of addresses.
Test(FailedPolls, manyStoresFail_summaryIsBounded)
{
    FailedPollsFixture fixture;
    for (int store = 0; store < 20; ++store)
        fixture.record(store, 1);
    cr_assert(fixture.polls.takeSummary().ends_with(" others=4"));
}
