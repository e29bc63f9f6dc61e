#include "azurepaddle/storage/log_store.hpp"

#include "azurepaddle/core/digest.hpp"
#include "azurepaddle/storage/memory_file_system.hpp"
#include "azurepaddle/storage/posix_file_system.hpp"

#include <criterion/criterion.h>
#include <cstdlib>
#include <filesystem>

using namespace azurepaddle;
using namespace azurepaddle::storage;

namespace {

using MemoryStore = LogStore<MemoryFileSystem>;

std::vector<LogRecord> entries(std::uint64_t first, std::uint64_t count, std::uint64_t term)
{
    std::vector<LogRecord> records;
    for (std::uint64_t index = first; index < first + count; ++index)
        records.push_back({ index, term, 0, "entry " + std::to_string(index) + " of term " + std::to_string(term) });
    return records;
}

/// Newest log file of the folder.
std::string newestLog(const MemoryFileSystem& files)
{
    std::string newest;
    const auto names = files.list().value();
    for (const std::string& name : names) {
        if (name.starts_with("log-"))
            newest = name;
    }
    return newest;
}

/// The expected content of the store: all synced changes, and possibly the one in progress.
struct Expectation {
    std::uint64_t base = 0;
    std::vector<LogRecord> log;
    Vote vote;
    std::uint64_t snapshotIndex = 0;

    void append(std::uint64_t first, const std::vector<LogRecord>& records)
    {
        log.resize(first - base - 1);
        log.insert(log.end(), records.begin(), records.end());
    }
    [[nodiscard]] std::uint64_t last() const { return base + log.size(); }
};

/// Makes one random change of the store. Returns its content if the change succeeds.
Expectation change(MemoryStore& store, Random& random, Expectation state, bool& succeeded)
{
    const std::uint64_t choice = random.below(10);
    const std::uint64_t term = state.vote.term + 1;
    if (choice < 6) {
        const std::uint64_t lowest = std::max(state.snapshotIndex, state.base) + 1;
        const std::uint64_t first = random.chance(0.2) ? lowest + random.below(state.last() + 2 - lowest) : state.last() + 1;
        const auto records = entries(first, 1 + random.below(5), term);
        if (random.chance(0.5))
            succeeded = store.truncateSuffix(first).has_value();
        succeeded = store.append(records).has_value() && store.sync().has_value();
        state.append(first, records);
    } else if (choice < 8) {
        state.vote = { term, "candidate " + std::to_string(random.below(5)) };
        succeeded = store.saveVote(state.vote).has_value();
    } else if (choice == 8 && state.last() > state.snapshotIndex) {
        state.snapshotIndex += 1 + random.below(state.last() - state.snapshotIndex);
        const std::uint64_t at = state.snapshotIndex - state.base;
        succeeded = store.saveSnapshot(state.snapshotIndex, at == 0 ? 0 : state.log[at - 1].term, std::string(70000, 's')).has_value();
    } else {
        state.snapshotIndex = state.last() + random.below(10);
        succeeded = store.installSnapshot(state.snapshotIndex, term, "installed").has_value();
        state.base = state.snapshotIndex;
        state.log.clear();
    }
    return state;
}

bool holds(const LoadedState& loaded, const Expectation& expected)
{
    if (loaded.vote != expected.vote || loaded.snapshot.index != expected.snapshotIndex)
        return false;
    const std::uint64_t last = loaded.baseIndex + loaded.records.size();
    if (last != expected.last())
        return false;
    for (const LogRecord& record : loaded.records) {
        if (record.index > expected.base && record != expected.log[record.index - expected.base - 1])
            return false;
    }
    return loaded.baseIndex <= expected.snapshotIndex;
}

void runCrashes(std::uint64_t seed)
{
    Random random(seed);
    MemoryFileSystem files(seed);
    Expectation before;
    Expectation after;
    for (int start = 0; start < 20; ++start) {
        files.restart();
        MemoryStore store(files);
        if (random.chance(0.3))
            files.crashAfter(random.below(12));
        const auto loaded = store.load("id");
        if (!loaded) {
            cr_assert(files.isCrashed(), "seed %lu: %s", seed, loaded.error().message().c_str());
            continue;
        }
        cr_assert(holds(*loaded, before) || holds(*loaded, after), "seed %lu start %d: synced data changed", seed, start);
        before = holds(*loaded, after) ? after : before;
        if (!files.isCrashed() && random.chance(0.8))
            files.crashAfter(random.below(60));
        bool succeeded = true;
        for (int step = 0; step < 30 && succeeded; ++step) {
            before = step == 0 ? before : after;
            after = change(store, random, before, succeeded);
        }
        if (succeeded)
            before = after;
        files.crash();
    }
}

}

// Guards against synced records, votes or snapshots that are lost or mixed by a crash at any write, fsync or rename.
Test(LogStore, randomChanges_crashedAnywhere_keepWhatWasSynced)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed)
        runCrashes(seed);
}

// Guards against records that are lost or reordered by a clean restart, on the real file system as well.
Test(LogStore, posixFolder_reopened_returnsEverything)
{
    const auto folder = std::filesystem::temp_directory_path() / ("azurepaddle-test-" + randomHex(8));
    const auto records = entries(1, 100, 3);
    for (const bool isFirst : { true, false }) {
        auto files = PosixFileSystem::openFolder(folder.string());
        cr_assert(files.has_value());
        cr_assert(!PosixFileSystem::openFolder(folder.string()).has_value(), "two processes must not share a folder");
        LogStore<PosixFileSystem> store(*files);
        const auto loaded = store.load(isFirst ? "first" : "second").value();
        cr_assert(loaded.isFresh == isFirst);
        cr_assert(loaded.identity == "first");
        cr_assert(isFirst || (loaded.records == records && loaded.vote == Vote { 3, "a" } && loaded.snapshot.bytes == "state"));
        if (!isFirst)
            break;
        cr_assert(store.append(records).has_value() && store.sync().has_value());
        cr_assert(store.saveVote({ 3, "a" }).has_value() && store.saveSnapshot(50, 3, "state").has_value());
    }
    std::filesystem::remove_all(folder);
}

// Guards against damage in the middle of the log that is removed like a torn tail, which would lose synced records.
Test(LogStore, damagedByteBeforeTail_loaded_isCorrupt)
{
    MemoryFileSystem files(1);
    {
        MemoryStore store(files);
        cr_assert(store.load("id").has_value());
        for (std::uint64_t index = 1; index <= 20; ++index)
            cr_assert(store.append(entries(index, 1, 1)).has_value() && store.sync().has_value());
    }
    const std::string name = newestLog(files);
    const std::string whole = files.read(name).value();
    for (std::size_t at = 0; at < whole.size() * 9 / 10; at += 7) {
        std::string damaged = whole;
        damaged[at] = static_cast<char>(damaged[at] ^ 0x40);
        files.overwrite(name, damaged);
        MemoryStore store(files);
        const auto loaded = store.load("other");
        cr_assert(!loaded && loaded.error().code() == StorageErrorCode::Corrupt, "byte %zu", at);
    }
}

// Guards against a log that is treated as complete although one of its files or its vote is missing.
Test(LogStore, missingFile_loaded_isCorrupt)
{
    MemoryFileSystem files(1);
    {
        MemoryStore store(files);
        cr_assert(store.load("id").has_value());
        cr_assert(store.append(entries(1, 3000, 1)).has_value() && store.saveVote({ 1, "a" }).has_value());
        cr_assert(store.saveSnapshot(3000, 1, "state").has_value());
        cr_assert(store.append(entries(3001, 3000, 1)).has_value());
        cr_assert(store.saveSnapshot(5000, 1, "state").has_value());
    }
    const auto names = files.list().value();
    for (const std::string& name : names) {
        if (name == newestLog(files))
            continue; // Its loss is indistinguishable from a crash right after the file before it.
        const std::string bytes = files.read(name).value();
        cr_assert(files.remove(name).has_value());
        MemoryStore store(files);
        const auto loaded = store.load("other");
        cr_assert(!loaded && loaded.error().code() == StorageErrorCode::Corrupt, "%s", name.c_str());
        files.overwrite(name, bytes);
    }
}

// Guards against an instance that rejoins under its old identity although its disk was replaced.
Test(LogStore, wipedFolder_loaded_hasFreshIdentity)
{
    MemoryFileSystem files(1);
    cr_assert(MemoryStore(files).load("old").value().isFresh);
    cr_assert(MemoryStore(files).load("new").value().identity == "old");
    files.wipe();
    const auto loaded = MemoryStore(files).load("new").value();
    cr_assert(loaded.isFresh && loaded.identity == "new");
}

// Guards against a store that continues after a failed fsync or write, when the content of the disk is unknown.
Test(LogStore, failedWriteOrSync_usedAgain_isClosed)
{
    for (const bool isFull : { true, false }) {
        MemoryFileSystem files(1);
        MemoryStore store(files);
        cr_assert(store.load("id").has_value());
        if (isFull)
            files.setCapacity(200);
        else
            files.failNextSync();
        cr_assert(store.append(entries(1, 100, 1)).has_value());
        const auto synced = store.sync();
        cr_assert(!synced && synced.error().code() == (isFull ? StorageErrorCode::NoSpace : StorageErrorCode::Io));
        cr_assert(store.sync().error().code() == StorageErrorCode::Closed);
        cr_assert(store.saveVote({ 1, "a" }).error().code() == StorageErrorCode::Closed);
        cr_assert(store.append(entries(1, 1, 1)).error().code() == StorageErrorCode::Closed);
    }
}

// Guards against one fsync for every record, which would limit the commit rate to the sync rate of the disk.
Test(LogStore, manyRecords_synced_takeOneFsync)
{
    MemoryFileSystem files(1);
    MemoryStore store(files);
    cr_assert(store.load("id").has_value());
    const std::uint64_t before = files.syncs();
    cr_assert(store.append(entries(1, 1000, 1)).has_value() && store.sync().has_value() && store.sync().has_value());
    cr_assert(files.syncs() == before + 1);
}

// Guards against a batch that is too large to be read again.
Test(LogStore, hugeBatch_reloaded_isComplete)
{
    constexpr std::uint64_t count = 1'200'000; // More than the codec accepts in one array.
    MemoryFileSystem files(1);
    {
        MemoryStore store(files);
        cr_assert(store.load("id").has_value());
        std::vector<LogRecord> records(count);
        for (std::uint64_t i = 0; i < count; ++i)
            records[i] = { i + 1, 1, 0, {} };
        cr_assert(store.append(records).has_value() && store.sync().has_value());
        const std::vector<LogRecord> large { { count + 1, 1, 0, std::string(maxRecordBytes, 'x') } };
        cr_assert(store.append(large).has_value() && store.sync().has_value());
        const std::vector<LogRecord> tooLarge { { count + 2, 1, 0, std::string(maxRecordBytes + 1, 'x') } };
        cr_assert(store.append(tooLarge).error().code() == StorageErrorCode::TooLarge);
    }
    MemoryStore store(files);
    const auto loaded = store.load("id");
    cr_assert(loaded.has_value(), "%s", loaded ? "" : loaded.error().message().c_str());
    cr_assert(loaded->records.size() == count + 1);
}

// Guards against a log folder that grows without bound although snapshots cover it.
Test(LogStore, manySnapshots_saved_deleteCoveredFiles)
{
    MemoryFileSystem files(1);
    MemoryStore store(files);
    cr_assert(store.load("id").has_value());
    for (std::uint64_t round = 0; round < 20; ++round) {
        cr_assert(store.append(entries(round * 3000 + 1, 3000, 1)).has_value());
        cr_assert(store.saveSnapshot(round * 3000 + 2500, 1, "state").has_value());
    }
    cr_assert(files.list().value().size() <= 5);
}

// Guards against a log that is read into memory as one large file, and against entries lost between its files.
Test(LogStore, manyLargeRecords_loadedAgain_areWholeFromSeveralFiles)
{
    MemoryFileSystem files(1);
    const std::string data(512U * 1024U, 'd');
    {
        LogStore<MemoryFileSystem> store(files);
        cr_assert(store.load("me").has_value());
        for (std::uint64_t index = 1; index <= 40; ++index) {
            const LogRecord record { index, 1, 1, data };
            cr_assert(store.append({ &record, 1 }).has_value());
            cr_assert(store.sync().has_value());
        }
    }
    cr_assert(files.list()->size() >= 4);
    LogStore<MemoryFileSystem> store(files);
    const auto loaded = store.load("other");
    cr_assert(loaded.has_value());
    cr_assert(loaded->records.size() == 40);
    cr_assert(loaded->records.back().data == data);
}
