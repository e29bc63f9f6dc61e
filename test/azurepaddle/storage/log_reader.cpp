#include "azurepaddle/storage/log_reader.hpp"

#include "azurepaddle/core/random.hpp"
#include "azurepaddle/storage/log_store.hpp"
#include "azurepaddle/storage/memory_file_system.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::storage;

namespace {

std::string sampleLog(Random& random)
{
    MemoryFileSystem files(random.next());
    LogStore<MemoryFileSystem> store(files);
    cr_assert(store.load("id").has_value());
    for (std::uint64_t index = 1; index <= 1 + random.below(12); ++index) {
        const std::vector<LogRecord> records { { index, index / 4 + 1, 0, std::string(random.below(40), 'x') } };
        cr_assert(store.append(records).has_value());
        if (random.chance(0.7))
            cr_assert(store.sync().has_value());
        if (random.chance(0.1))
            cr_assert(store.truncateSuffix(index).has_value() && store.append(records).has_value());
    }
    cr_assert(store.sync().has_value());
    return files.read("log-00000000000000000001").value();
}

std::string mutate(std::string bytes, Random& random)
{
    for (std::uint64_t i = 0; i <= random.below(4) && !bytes.empty(); ++i) {
        const std::size_t at = random.below(bytes.size());
        switch (random.below(6)) {
        case 0:
            bytes[at] = static_cast<char>(random.next());
            break;
        case 1:
            bytes.resize(at);
            break;
        case 2:
            bytes.erase(at, 1 + random.below(64));
            break;
        case 3:
            bytes.insert(at, std::string(1 + random.below(32), static_cast<char>(random.next())));
            break;
        case 4:
            bytes.insert(at, bytes.substr(random.below(bytes.size()), random.below(128)));
            break;
        default:
            // A valid checksum over a changed payload lets it pass to the decoder.
            bytes = codec::frame(bytes.substr(std::min(at, bytes.size())));
        }
    }
    return bytes;
}

void checkSegment(const Segment& segment, std::size_t size)
{
    cr_assert(segment.validSize <= size);
    std::uint64_t next = segment.firstIndex;
    for (const LogRecord& record : segment.records)
        cr_assert(record.index == next++);
}

}

// Guards against a crash, a gap or an endless loop on a log file with arbitrary content.
Test(LogReader, mutatedLog_read_givesErrorOrValidPrefix)
{
    const char* more = std::getenv("AZUREPADDLE_SEEDS");
    const std::uint64_t seeds = more ? std::strtoull(more, nullptr, 10) * 10 : 3000;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Random random(seed);
        const std::string whole = sampleLog(random);
        const auto original = readSegment(whole, true);
        cr_assert(original.has_value());
        const std::string bytes = mutate(whole, random);
        for (const bool isNewest : { true, false }) {
            const auto segment = readSegment(bytes, isNewest);
            if (segment)
                checkSegment(*segment, bytes.size());
            else
                cr_assert(segment.error().code() == StorageErrorCode::Corrupt && !segment.error().message().empty());
        }
    }
}

// Guards against a torn last batch that prevents the instance from starting, and against one that is applied in part.
Test(LogReader, logCutAnywhere_read_givesWholeBatches)
{
    Random random(5);
    const std::string whole = sampleLog(random);
    const auto all = readSegment(whole, true).value().records;
    for (std::size_t size = 0; size < whole.size(); ++size) {
        const auto segment = readSegment(std::string_view(whole).substr(0, size), true);
        cr_assert(segment.has_value());
        cr_assert(segment->records.size() <= all.size());
        cr_assert(std::equal(segment->records.begin(), segment->records.end(), all.begin()));
    }
}
