#include "azurepaddle/consensus/entry_log.hpp"
#include "azurepaddle/core/digest.hpp"

#include <criterion/criterion.h>
#include <filesystem>

using namespace azurepaddle;
using namespace azurepaddle::consensus;

namespace {

/// A log with entries of 1 KiB whose older data is spilled to files.
struct SpilledLog {
    std::filesystem::path folder = std::filesystem::temp_directory_path() / ("azurepaddle-entries-" + randomHex(6));
    std::shared_ptr<storage::ScratchStore> store;
    EntryLog log;

    SpilledLog()
    {
        std::filesystem::create_directories(folder);
        store = std::make_shared<storage::ScratchStore>(folder.string(), "entries");
        log.setSpillStore(store);
    }
    ~SpilledLog() { std::filesystem::remove_all(folder); }

    static std::string dataOf(std::uint64_t index) { return std::string(1024, static_cast<char>('a' + index % 26)) + std::to_string(index); }

    void append(std::uint64_t count)
    {
        for (std::uint64_t i = 0; i < count; ++i)
            log.append({ log.lastIndex() + 1, 1, static_cast<std::uint8_t>(EntryKind::Command), dataOf(log.lastIndex() + 1) });
    }

    bool containsEntries(std::uint64_t first, std::uint64_t last) const
    {
        const auto entries = log.slice(first, last, 1U << 30U);
        bool isEqual = entries.size() == last - first + 1;
        for (const LogEntry& entry : entries)
            isEqual = isEqual && entry.data == dataOf(entry.index);
        return isEqual;
    }
};

}

// Detects entries whose data differs after it was spilled to disk and read back.
Test(EntryLog, manyEntries_spilled_areReadBack)
{
    SpilledLog fixture;
    fixture.append(1000);
    fixture.log.commitTo(900);
    cr_assert(fixture.containsEntries(1, 1000));
    cr_assert(fixture.log.uncommittedBytes() > 100 * 1024);
    cr_assert(std::filesystem::file_size(fixture.folder / "entries-1") > 512U * 1024U);
}

// Detects spilled data of truncated entries that is returned for the new entries at the same indexes.
Test(EntryLog, spilledEntries_truncatedAndReplaced_haveNewData)
{
    SpilledLog fixture;
    fixture.append(400);
    fixture.log.commitTo(10);
    fixture.log.truncateFrom(100);
    cr_assert(fixture.log.lastIndex() == 99);
    fixture.append(400);
    cr_assert(fixture.containsEntries(1, 499));
    fixture.log.commitTo(499);
    cr_assert(fixture.log.uncommittedBytes() == 0);
}

// Detects a compaction that keeps spilled entries covered by a snapshot, or that loses the data of later entries.
Test(EntryLog, spilledEntries_compacted_otherEntriesStay)
{
    SpilledLog fixture;
    fixture.append(400);
    fixture.log.commitTo(400);
    fixture.log.compactTo(300);
    cr_assert(fixture.log.baseIndex() == 300);
    cr_assert(fixture.containsEntries(301, 400));
}

// Detects a slice that ignores the size of spilled data and so exceeds the size limit of a message.
Test(EntryLog, spilledEntries_sliced_keepToSizeLimit)
{
    SpilledLog fixture;
    fixture.append(400);
    cr_assert(fixture.log.slice(1, 400, 10'300).size() == 10);
}
