#include "azurepaddle/registry/entry_list.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::registry;
using namespace std::chrono_literals;

namespace {

struct EntryListFixture {
    EntryList list;
    TimePoint now { 100s };
};

}

// Guards against requests that are handed to an entry which has ended, drains or is cut off itself.
Test(EntryList, entriesPoll_onlyThoseThatTakeRequests_areListed)
{
    EntryListFixture fixture;
    fixture.list.record({ "10.0.0.1:1", DataCentreName("a"), true }, fixture.now);
    fixture.list.record({ "10.0.0.2:1", DataCentreName("b"), false }, fixture.now);
    fixture.list.record({ {}, DataCentreName("b"), true }, fixture.now);
    const auto listed = fixture.list.takingRequests(fixture.now);
    cr_assert(listed == std::vector<EntryStatus>({ { "10.0.0.1:1", DataCentreName("a"), true } }));
    fixture.list.record({ "10.0.0.1:1", DataCentreName("a"), false }, fixture.now);
    cr_assert(fixture.list.takingRequests(fixture.now).empty());
    fixture.list.record({ "10.0.0.1:1", DataCentreName("a"), true }, fixture.now);
    cr_assert(fixture.list.takingRequests(fixture.now + 1min).empty());
}

// Guards against a reply that grows with the number of entries, and against one that always names the same ones.
Test(EntryList, manyEntries_repliesAreBounded_andDiffer)
{
    EntryListFixture fixture;
    for (std::size_t number = 0; number < 3 * EntryList::maxListed; ++number)
        fixture.list.record({ "10.0.0." + std::to_string(number) + ":1", DataCentreName("a"), true }, fixture.now);
    const auto first = fixture.list.takingRequests(fixture.now);
    cr_assert(first.size() == EntryList::maxListed);
    cr_assert(fixture.list.takingRequests(fixture.now) != first);
}
