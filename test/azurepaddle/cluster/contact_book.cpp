#include "azurepaddle/cluster/contact_book.hpp"

#include "azurepaddle/codec/codec.hpp"

#include <algorithm>
#include <criterion/criterion.h>
#include <set>

using namespace azurepaddle;
using namespace azurepaddle::cluster;
using control::ContactRole;
using std::chrono::hours;
using std::chrono::seconds;

namespace {

const TimePoint start { hours(100) };

InstanceAddress addressOf(std::size_t number)
{
    return { "10.0.0." + std::to_string(number / 1000), static_cast<std::uint16_t>(1000 + number % 1000) };
}

Contact entryOf(std::size_t number) { return { addressOf(number), ContactRole::Entry }; }

}

// Detects calls to contacts that answer, which would grow with the number of instances.
Test(ContactBook, contactsAreHeard_noneIsCalled)
{
    ContactBook book;
    for (int second = 0; second < 60; ++second) {
        book.recordHeard(entryOf(1), start + seconds(second));
        cr_assert(book.takeDue(ContactRole::Entry, {}, start + seconds(second)).empty());
    }
}

// Detects a contact that is given up, or called at a constant rate: the link to it may be cut for long and then heal.
Test(ContactBook, contactStaysSilent_isCalledEveryEightSecondsAtLeast)
{
    ContactBook book;
    book.recordHeard(entryOf(1), start);
    std::vector<int> calledAt;
    for (int second = 0; second < 3600; ++second) {
        if (!book.takeDue(ContactRole::Entry, {}, start + seconds(second)).empty())
            calledAt.push_back(second);
    }
    cr_assert(std::vector<int>(calledAt.begin(), calledAt.begin() + 5) == std::vector<int>({ 3, 4, 6, 10, 18 }));
    cr_assert(calledAt.back() >= 3600 - 8);
    cr_assert(calledAt.size() <= 3600 / 8 + 5);
}

// Detects contacts that are never their turn, or that wait for longer than the time within which service has to be back
// after all power was lost.
Test(ContactBook, deploymentOfMaximumSizeSilent_eachIsCalledWithinEightSeconds_callsPerRoundAreLimited)
{
    constexpr std::size_t count = 2048;
    ContactBook book;
    for (std::size_t i = 0; i < count; ++i)
        book.recordHeard(entryOf(i), start);
    for (int begin = 3; begin < 60; begin += 8) {
        std::set<InstanceAddress> called;
        for (int second = begin; second < begin + 8; ++second) {
            const auto due = book.takeDue(ContactRole::Entry, {}, start + seconds(second));
            cr_assert(due.size() <= ContactBook::maxCallsPerRound);
            called.insert(due.begin(), due.end());
        }
        cr_assert(called.size() == count);
    }
}

// Detects a new leader that calls contacts of which it only has no report yet.
Test(ContactBook, listeningBeganLater_silenceCountsFromThen)
{
    ContactBook book;
    book.recordHeard(entryOf(1), start);
    const TimePoint listeningSince = start + seconds(10);
    cr_assert(book.takeDue(ContactRole::Entry, listeningSince, start + seconds(12)).empty());
    cr_assert(book.takeDue(ContactRole::Entry, listeningSince, start + seconds(13)).size() == 1);
}

// Detects removed instances that are remembered for ever because instances tell each other of them in turn.
Test(ContactBook, instancesExchangeContacts_removedOneIsForgottenByAll)
{
    ContactBook first;
    ContactBook second;
    first.recordHeard(entryOf(1), start);
    TimePoint now = start;
    for (; now < start + ContactBook::lifetime + hours(1); now += std::chrono::minutes(7)) {
        for (ContactBook* book : { &first, &second }) {
            book->recordHeard(entryOf(2), now);
            book->removeExpired(now);
        }
        second.merge(first.all(now), now);
        first.merge(second.all(now), now);
    }
    cr_assert(first.count(ContactRole::Entry) == 1);
    cr_assert(second.count(ContactRole::Entry) == 1);
    cr_assert(first.digest() == second.digest());
}

// Detects an instance that is only called as what the former instance at its address was.
Test(ContactBook, addressIsTakenByStore_newRoleHolds)
{
    ContactBook book;
    book.recordHeard(entryOf(1), start);
    cr_assert(book.takeChanged());
    book.recordHeard({ addressOf(1), ContactRole::Store }, start);
    cr_assert(book.takeChanged());
    cr_assert(book.count(ContactRole::Entry) == 0);
    cr_assert(book.count(ContactRole::Store) == 1);
}

// Detects the same on instances that are told of the change, and on those that are told of the former instance later.
Test(ContactBook, addressIsTakenByStore_accountsAreMerged_laterOneHolds)
{
    ContactBook first;
    ContactBook second;
    first.recordHeard(entryOf(1), start);
    second.recordHeard({ addressOf(1), ContactRole::Store }, start + seconds(5));
    const TimePoint now = start + seconds(6);
    cr_assert(first.digest() != second.digest());
    second.merge(first.all(now), now);
    first.merge(second.all(now), now);
    cr_assert(first.count(ContactRole::Store) == 1);
    cr_assert(second.count(ContactRole::Store) == 1);
    cr_assert(first.digest() == second.digest());
}

// Detects a transfer of all contacts for a change of one.
Test(ContactBook, oneContactDiffers_itsBucketAloneIsExchanged)
{
    ContactBook first;
    ContactBook second;
    for (std::size_t i = 0; i < 2000; ++i) {
        first.recordHeard(entryOf(i), start);
        second.recordHeard(entryOf(i), start);
    }
    first.recordHeard(entryOf(2000), start);
    const auto digests = [](const ContactBook& book) { return std::vector<std::uint64_t>(book.bucketDigests().begin(), book.bucketDigests().end()); };
    const auto differing = second.differingBuckets(digests(first));
    cr_assert(differing.size() == 1);
    const auto records = first.inBuckets(differing, start);
    cr_assert(records.size() < 100);
    second.merge(records, start);
    cr_assert(second.digest() == first.digest());
    cr_assert(second.differingBuckets(digests(first)).empty());
}

// Detects digests that depend on the order of changes, so that equal contacts would be exchanged for ever.
Test(ContactBook, contactsAddedAndForgotten_digestIsThatOfPresentOnes)
{
    ContactBook first;
    ContactBook second;
    first.recordHeard(entryOf(1), start);
    first.recordHeard(entryOf(2), start + hours(20));
    first.removeExpired(start + hours(30));
    second.recordHeard(entryOf(2), start);
    cr_assert(first.digest() == second.digest());
}

// Detects a contact that others name and that is taken for one that was heard from, or is not remembered.
Test(ContactBook, contactIsNamedByOthers_isRememberedAsSilent)
{
    ContactBook book;
    book.add({ addressOf(1), ContactRole::Store }, start);
    cr_assert(book.heard(start).empty());
    cr_assert(book.takeDue(ContactRole::Store, {}, start).size() == 1);
    book.recordHeard({ addressOf(1), ContactRole::Store }, start);
    book.add({ addressOf(1), ContactRole::Store }, start);
    cr_assert(book.heard(start).size() == 1);
}

// Detects contacts, and with them files and messages, that grow without limit. The newest ones are kept.
Test(ContactBook, moreContactsThanLimit_longestSilentIsForgotten)
{
    ContactBook book;
    for (std::size_t i = 0; i < ContactBook::maxContacts; ++i)
        book.recordHeard(entryOf(i), start + seconds(i == 7 ? 0 : 1));
    book.recordHeard(entryOf(ContactBook::maxContacts), start + seconds(2));
    cr_assert(book.count(ContactRole::Entry) == ContactBook::maxContacts, "nobody is silent yet");
    book.recordHeard(entryOf(ContactBook::maxContacts), start + seconds(10));
    cr_assert(book.count(ContactRole::Entry) == ContactBook::maxContacts);
    const auto records = book.all(start + seconds(10));
    const auto contains = [&](std::size_t number) {
        return std::any_of(records.begin(), records.end(), [&](const auto& record) { return record.address == formatAddress(addressOf(number)); });
    };
    cr_assert(!contains(7));
    cr_assert(contains(ContactBook::maxContacts));
}

// Detects files and messages that grow beyond the figures in docs/platform.md, at the number of instances to design for.
Test(ContactBook, deploymentOf2104Instances_encoded_sizesAreBounded)
{
    constexpr std::size_t count = 2104;
    ContactBook book;
    for (std::size_t i = 0; i < count; ++i)
        book.recordHeard({ { "255.255." + std::to_string(200 + i / 100) + "." + std::to_string(100 + i % 100), 65535 }, ContactRole::Entry }, start);
    cr_assert(codec::encode(book.all(start + hours(20))).size() <= 70'000);
    std::vector<std::uint8_t> buckets;
    for (std::size_t bucket = 0; bucket < ContactBook::maxBucketsPerExchange; ++bucket)
        buckets.push_back(static_cast<std::uint8_t>(bucket));
    cr_assert(codec::encode(book.inBuckets(buckets, start + hours(20))).size() <= 25'000);
    const ContactBook empty;
    const std::vector<std::uint64_t> digests(book.bucketDigests().begin(), book.bucketDigests().end());
    cr_assert(empty.differingBuckets(digests).size() == ContactBook::maxBucketsPerExchange);
}
