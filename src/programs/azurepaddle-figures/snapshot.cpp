#include "counting_file_system.hpp"
#include "figures.hpp"
#include "segmented_snapshot.hpp"

#include "azurepaddle/core/random.hpp"

#include <fmt/format.h>
#include <functional>

namespace azurepaddle::figures {

namespace {

    using Files = CountingFileSystem<storage::PosixFileSystem>;
    using State = std::vector<std::pair<std::uint64_t, std::string>>; ///< Sorted by key.

    constexpr std::size_t valueBytes = 84;
    constexpr std::uint64_t changesPerSnapshot = 1000;
    constexpr int repetitions = 10;

    /// How a state changes between two snapshots.
    struct Pattern {
        std::string_view name;
        std::function<void(State&, Random&)> change;
    };

    std::string randomValue(Random& random)
    {
        std::string value(valueBytes, '\0');
        std::generate(value.begin(), value.end(), [&random] { return static_cast<char>(random.next()); });
        return value;
    }

    State makeState(std::uint64_t records, Random& random)
    {
        State state;
        for (std::uint64_t i = 0; i < records; ++i)
            state.emplace_back(i * 1'000'000, randomValue(random));
        return state;
    }

    void changeInPlace(State& state, Random& random)
    {
        for (std::uint64_t i = 0; i < changesPerSnapshot; ++i)
            state[random.below(state.size())].second = randomValue(random);
    }

    /// New records behind the others and as many old ones removed, like a ledger with a retention window.
    void changeAtEnds(State& state, Random& random)
    {
        state.erase(state.begin(), state.begin() + changesPerSnapshot);
        for (std::uint64_t i = 0; i < changesPerSnapshot; ++i)
            state.emplace_back(state.back().first + 1'000'000, randomValue(random));
    }

    void appendOnly(State& state, Random& random)
    {
        for (std::uint64_t i = 0; i < changesPerSnapshot; ++i)
            state.emplace_back(state.back().first + 1'000'000, randomValue(random));
    }

    std::string serialise(const State& state)
    {
        std::string bytes;
        bytes.reserve(state.size() * (valueBytes + sizeof(std::uint64_t)));
        for (const auto& [key, value] : state) {
            bytes.append(reinterpret_cast<const char*>(&key), sizeof(key));
            bytes.append(value);
        }
        return bytes;
    }

    struct Cost {
        std::vector<double> save;
        std::uint64_t written = 0;
        std::uint64_t syncs = 0;
        double load = 0;
        std::uint64_t stored = 0;
    };

    void print(std::string_view format, std::uint64_t records, const Pattern& pattern, const Cost& cost)
    {
        constexpr double mebi = 1024.0 * 1024.0;
        fmt::print("{:<10} {:>8} {:<10} {:>8.1f} {:>8.1f} {:>9.2f} {:>7.1f} {:>8.1f} {:>9.1f}\n", format, records, pattern.name, quantile(cost.save, 0.5),
            quantile(cost.save, 1), static_cast<double>(cost.written) / repetitions / mebi, static_cast<double>(cost.syncs) / repetitions, cost.load,
            static_cast<double>(cost.stored) / mebi);
    }

    /// Saves, changes and saves again. The first save is not counted.
    template <typename Save>
    Cost measureSaves(std::uint64_t records, const Pattern& pattern, const Files& files, Save&& save)
    {
        Random random(records);
        State state = makeState(records, random);
        save(serialise(state));
        Cost cost;
        const std::uint64_t bytes = files.bytesWritten();
        const std::uint64_t syncs = files.syncs();
        for (int i = 0; i < repetitions; ++i) {
            pattern.change(state, random);
            cost.save.push_back(millisecondsOf([&] { save(serialise(state)); }));
        }
        cost.written = files.bytesWritten() - bytes;
        cost.syncs = files.syncs() - syncs;
        return cost;
    }

    void measureWhole(const std::string& folder, std::uint64_t records, const Pattern& pattern)
    {
        const TemporaryFolder temporary(folder);
        auto posix = temporary.open();
        Files files(posix);
        storage::LogStore<Files> store(files);
        require(store.load("figures"));
        std::uint64_t index = 0;
        Cost cost = measureSaves(records, pattern, files, [&](const std::string& bytes) {
            const storage::LogRecord entry { ++index, 1, 0, {} };
            require(store.append({ &entry, 1 }));
            require(store.saveSnapshot(index, 1, bytes));
        });
        cost.stored = temporary.bytes();
        cost.load = millisecondsOf([&] {
            storage::LogStore<Files> again(files);
            require(again.load("figures"));
        });
        print("whole", records, pattern, cost);
    }

    void measureSegmented(const std::string& folder, std::uint64_t records, const Pattern& pattern, std::size_t partBytes)
    {
        const TemporaryFolder temporary(folder);
        auto posix = temporary.open();
        Files files(posix);
        SegmentedSnapshot<Files> snapshot(files, partBytes);
        Cost cost = measureSaves(records, pattern, files, [&](std::string bytes) { require(snapshot.save(std::move(bytes))); });
        cost.stored = temporary.bytes();
        cost.load = millisecondsOf([&] { require(snapshot.load()); });
        print(fmt::format("parts {}K", partBytes / 1024), records, pattern, cost);
    }

}

int runSnapshot(const Options& options)
{
    const std::vector<Pattern> patterns { { "in place", changeInPlace }, { "append", appendOnly }, { "window", changeAtEnds } };
    fmt::print("Records of {} bytes, {} changed between two snapshots\n", valueBytes + sizeof(std::uint64_t), changesPerSnapshot);
    fmt::print("{:<10} {:>8} {:<10} {:>8} {:>8} {:>9} {:>7} {:>8} {:>9}\n", "format", "records", "changes", "save ms", "max ms", "MiB", "fsyncs", "load ms", "disk MiB");
    for (const std::uint64_t records : { 10'000, 100'000, 1'000'000 }) {
        for (const Pattern& pattern : patterns) {
            measureWhole(options.folder, records, pattern);
            for (const std::size_t partBytes : { 4096, 65536 })
                measureSegmented(options.folder, records, pattern, partBytes);
        }
    }
    return 0;
}

}
