#include "counting_file_system.hpp"
#include "figures.hpp"

#include "azurepaddle/consensus/raft_node.hpp"
#include "azurepaddle/storage/log_store.hpp"

#include <fmt/format.h>

namespace azurepaddle::figures {

namespace {

    using Files = CountingFileSystem<storage::PosixFileSystem>;
    using Store = storage::LogStore<Files>;

    constexpr std::size_t commandBytes = 100;
    constexpr Duration measured = std::chrono::seconds(1);

    /// Proposes batches at a group of one voter, so that only the store limits it.
    void measureBatch(const std::string& folder, std::size_t batch)
    {
        const TemporaryFolder temporary(folder);
        auto posix = temporary.open();
        Files files(posix);
        Store store(files);
        auto loaded = store.load("figures");
        require(loaded);
        const SystemClock clock;
        Random random(1);
        consensus::RaftNode node(store, random, consensus::RaftSettings {}, *loaded, clock.now());
        require(node.bootstrap({ { InstanceId("figures") }, {} }).map_error([](const auto& error) { return storage::StorageError(storage::StorageErrorCode::Io, error.message); }));
        node.tick(clock.now() + std::chrono::seconds(2));
        (void)node.takeReady();
        const TimePoint start = clock.now() + std::chrono::seconds(2);
        const std::uint64_t syncsBefore = files.syncs();
        std::uint64_t commits = 0;
        const double elapsed = millisecondsOf([&] {
            const TimePoint end = clock.now() + measured;
            while (clock.now() < end) {
                for (std::size_t i = 0; i < batch; ++i)
                    (void)node.propose(std::string(commandBytes, 'c'), start);
                commits += node.takeReady()->committed.size();
            }
        });
        fmt::print("{:>8} {:>12.0f} {:>16.4f}\n", batch, static_cast<double>(commits) * 1000 / elapsed,
            static_cast<double>(files.syncs() - syncsBefore) / static_cast<double>(commits));
    }

    void measureRestart(const std::string& folder, std::uint64_t length)
    {
        constexpr std::uint64_t batch = 1000;
        const TemporaryFolder temporary(folder);
        auto posix = temporary.open();
        Files files(posix);
        {
            Store store(files);
            require(store.load("figures"));
            for (std::uint64_t index = 1; index <= length; index += batch) {
                std::vector<storage::LogRecord> records;
                for (std::uint64_t i = 0; i < batch; ++i)
                    records.push_back({ index + i, 1, 0, std::string(commandBytes, 'c') });
                require(store.append(records));
                require(store.sync());
            }
        }
        const double elapsed = millisecondsOf([&] {
            Store store(files);
            require(store.load("figures"));
        });
        fmt::print("{:>8} {:>12.1f}\n", length, elapsed);
    }

}

int runLog(const Options& options)
{
    fmt::print("Commands of {} bytes, one voter\n   batch    commits/s  fsyncs per commit\n", commandBytes);
    for (const std::size_t batch : { 1, 8, 64, 512, 4096 })
        measureBatch(options.folder, batch);
    fmt::print("\nRestart\n records           ms\n");
    for (const std::uint64_t length : { 1'000, 10'000, 100'000, 1'000'000 })
        measureRestart(options.folder, length);
    return 0;
}

}
