#include "azurepaddle/registry/nearest_store.hpp"

#include <criterion/criterion.h>
#include <set>

using namespace azurepaddle;
using namespace azurepaddle::registry;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

InstanceAddress store(int number)
{
    return { "10.0.0." + std::to_string(number), 80 };
}

/// Three store instances, of which the second is in the data centre of the one that polls.
struct StoresFixture {
    NearestStore stores { DataCentreName("b"), 0 };
    std::vector<std::string> dataCentres { "a", "b", "c" };

    StoresFixture() { stores.setMembers({ store(0), store(1), store(2) }); }

    /// Polls the given number of times and returns the store that was polled last.
    InstanceAddress poll(int times)
    {
        InstanceAddress asked;
        for (int i = 0; i < times; ++i) {
            asked = *stores.choose(start);
            const auto number = static_cast<std::size_t>(asked.ip.back() - '0');
            stores.recordSuccess(asked, DataCentreName(dataCentres.at(number)));
        }
        return asked;
    }
};

}

// Guards against polls of other data centres although the own one has a store instance.
Test(NearestStore, polledAFewTimes_localStoreIsFoundAndKept)
{
    StoresFixture fixture;
    cr_assert(fixture.poll(3) == store(1));
    cr_assert(fixture.poll(5) == store(1));
}

// Guards against an instance without a store in its data centre that keeps switching between the others.
Test(NearestStore, noLocalStore_polled_storeThatAnswersIsKept)
{
    StoresFixture fixture;
    fixture.dataCentres = { "a", "c", "d" };
    const InstanceAddress kept = fixture.poll(3);
    cr_assert(fixture.poll(4) == kept);
}

// Guards against an instance that keeps polling a failed store while others are available.
Test(NearestStore, localStoreFails_othersArePolled_untilItIsRetried)
{
    StoresFixture fixture;
    fixture.poll(3);
    fixture.stores.recordFailure(store(1), start);
    cr_assert(*fixture.stores.choose(start) != store(1));
    fixture.poll(1);
    cr_assert(*fixture.stores.choose(start + std::chrono::seconds(3)) == store(1));
}

// Guards against the data centres of remaining stores being lost, and against removed stores being kept, when the
// participants change.
Test(NearestStore, membersReplaced_remainingOnesKeepDataCentre)
{
    StoresFixture fixture;
    fixture.poll(3);
    fixture.stores.setMembers({ store(1), store(2) });
    cr_assert(*fixture.stores.choose(start) == store(1));
    fixture.stores.setMembers({});
    cr_assert(*fixture.stores.choose(start) == store(1));
    fixture.stores.setMembers({ store(4) });
    cr_assert(*fixture.stores.choose(start) == store(4));
}

// Guards against an entry instance whose seeds hold no state and that never polls the instance to which they redirect.
Test(NearestStore, allMembersRefuse_redirectTargetIsPolled)
{
    StoresFixture fixture;
    for (int number : { 0, 1, 2 })
        fixture.stores.recordFailure(store(number), start);
    fixture.stores.add(store(7));
    cr_assert(*fixture.stores.choose(start) == store(7));
}

// Guards against an entry instance that polls only one store instance, because the participants list it twice: as the
// voter that lost its disk and as the learner that replaces it.
Test(NearestStore, addressListedTwiceAndRefusing_othersArePolled)
{
    StoresFixture fixture;
    fixture.poll(3);
    fixture.stores.setMembers({ store(0), store(1), store(2), store(1) });
    fixture.stores.recordFailure(store(1), start);
    cr_assert(*fixture.stores.choose(start) != store(1));
}

// Guards against a store that is never polled, because the ones before it fail again before it is its turn.
Test(NearestStore, allButOneSilent_polledOneAfterTheOther_lastOneIsReached)
{
    StoresFixture fixture;
    fixture.dataCentres = { "b", "b", "a", "a", "a" };
    fixture.stores.setMembers({ store(0), store(1), store(2), store(3), store(4) });
    constexpr Duration pollTimeout = std::chrono::milliseconds(1500);
    TimePoint now = start;
    std::set<InstanceAddress> asked;
    for (int polls = 0; polls < 5; ++polls) {
        const InstanceAddress store = *fixture.stores.choose(now);
        asked.insert(store);
        now += pollTimeout;
        fixture.stores.recordFailure(store, now);
    }
    cr_assert(asked.size() == 5, "%zu of 5 stores were polled", asked.size());
}

// Guards against an entry instance that polls a silent store alone, as often as the others failed in an earlier outage.
Test(NearestStore, localStoreFailsAfterOutageOfAll_anotherIsPolled)
{
    StoresFixture fixture;
    fixture.poll(3);
    for (int failures = 0; failures < 9; ++failures)
        fixture.stores.recordFailure(*fixture.stores.choose(start), start);
    fixture.stores.recordSuccess(store(1), DataCentreName("b"));
    fixture.stores.recordFailure(store(1), start);
    cr_assert(*fixture.stores.choose(start) != store(1));
}

// Guards against an instance that leaves a store that answers every two seconds for one that stays silent.
Test(NearestStore, localStoreKeepsFailing_retries_becomeRarer)
{
    StoresFixture fixture;
    fixture.poll(3);
    int failures = 0;
    for (Duration passed {}; passed < std::chrono::seconds(60); passed += std::chrono::milliseconds(100)) {
        const InstanceAddress asked = *fixture.stores.choose(start + passed);
        if (asked == store(1)) {
            fixture.stores.recordFailure(asked, start + passed);
            ++failures;
        } else {
            fixture.stores.recordSuccess(asked, DataCentreName("a"));
        }
    }
    cr_assert(failures <= 8, "the silent store was polled %d times in a minute", failures);
}
