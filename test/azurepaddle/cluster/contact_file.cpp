#include "azurepaddle/cluster/contact_file.hpp"

#include "azurepaddle/storage/memory_file_system.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::cluster;
using control::ContactRole;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;
using storage::MemoryFileSystem;

namespace {

using File = ContactFile<MemoryFileSystem>;

const TimePoint start { hours(100) };
constexpr auto fileName = "contacts";

Contact entryOf(std::uint16_t number) { return { { "10.0.0.1", number }, ContactRole::Entry }; }

}

// Detects contacts that a loss of power takes away, and contacts that count as heard from before they answer.
Test(ContactFile, contactsSaved_powerLost_areRememberedAsSilent)
{
    MemoryFileSystem files(1);
    File file(files, true, start);
    file.book().recordHeard(entryOf(1), start);
    file.maintain(start + seconds(1));
    files.crash();
    files.restart();
    File next(files, false, start);
    cr_assert(next.book().count(ContactRole::Entry) == 1);
    cr_assert(next.book().takeDue(ContactRole::Entry, {}, start).size() == 1);
    cr_assert(!next.hasKnownGroup());
}

// Detects a mark that is not durable when the call returns: others may then learn of the group from this instance.
Test(ContactFile, groupBecomesKnown_powerLostAtOnce_isRemembered)
{
    MemoryFileSystem files(1);
    File file(files, true, start);
    file.recordKnownGroup(start);
    files.crash();
    files.restart();
    cr_assert(File(files, false, start).hasKnownGroup());
}

// Detects a file that a loss of power during a write leaves unreadable, and a known group that is forgotten by it.
Test(ContactFile, powerLostWithinWrite_readsOneOfBothContents)
{
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        MemoryFileSystem files(seed);
        {
            File file(files, true, start);
            file.book().recordHeard(entryOf(1), start);
            file.recordKnownGroup(start);
            files.crashAfter(seed % 6);
            file.book().recordHeard(entryOf(2), start);
            file.maintain(start + seconds(2));
        }
        files.crash();
        files.restart();
        File next(files, false, start);
        cr_assert(next.hasKnownGroup());
        const std::size_t count = next.book().count(ContactRole::Entry);
        cr_assert(count == 1 || count == 2);
    }
}

// Detects an instance that would help to bootstrap a second group after its file was damaged, cut short or lost, or that
// does not start. A folder of an earlier release has no file either.
Test(ContactFile, fileDamagedOrLost_groupCountsAsKnown)
{
    MemoryFileSystem files(1);
    {
        File file(files, true, start);
        file.book().recordHeard(entryOf(1), start);
        file.maintain(start);
    }
    const std::string whole = *files.read(fileName);
    for (const std::string& damaged : { std::string(), whole.substr(0, whole.size() - 1), whole + "x", std::string(whole.size(), 'x') }) {
        files.overwrite(fileName, damaged);
        File file(files, false, start);
        cr_assert(file.hasKnownGroup());
        cr_assert(file.book().count(ContactRole::Entry) == 0);
    }
    files.wipe();
    cr_assert(File(files, false, start).hasKnownGroup());
}

// Detects an instance that cannot bootstrap the first group because it was restarted while its folder was set up.
Test(ContactFile, newFolder_restartedBeforeAnythingElse_knowsNoGroup)
{
    MemoryFileSystem files(1);
    cr_assert(!File(files, true, start).hasKnownGroup());
    files.crash();
    files.restart();
    cr_assert(!File(files, true, start).hasKnownGroup());
    cr_assert(!File(files, false, start).hasKnownGroup());
}

// Detects writes and syncs that grow with the number of changes or calls.
Test(ContactFile, contactsChangeConstantly_writtenOnceASecond_calmOnesOnceAnHour)
{
    MemoryFileSystem files(1);
    File file(files, true, start);
    constexpr std::uint64_t syncsPerWrite = 2;
    std::uint64_t before = files.syncs();
    TimePoint now = start;
    for (std::uint16_t i = 0; i < 100; ++i, now += milliseconds(100)) {
        file.book().recordHeard(entryOf(i), now);
        file.maintain(now);
    }
    cr_assert(files.syncs() - before <= 11 * syncsPerWrite);
    now += seconds(2);
    file.maintain(now);
    before = files.syncs();
    for (const TimePoint end = now + hours(3); now < end; now += seconds(10)) {
        file.book().recordHeard(entryOf(1), now);
        file.maintain(now);
    }
    cr_assert(files.syncs() - before <= 3 * syncsPerWrite);
}

// Detects a failed write that is not repeated.
Test(ContactFile, writeFails_isRepeated)
{
    MemoryFileSystem files(1);
    File file(files, true, start);
    file.book().recordHeard(entryOf(1), start);
    files.failNextSync();
    file.maintain(start + seconds(1));
    file.maintain(start + seconds(3));
    files.crash();
    files.restart();
    cr_assert(File(files, false, start).book().count(ContactRole::Entry) == 1);
}
