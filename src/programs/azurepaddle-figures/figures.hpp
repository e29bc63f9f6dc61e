#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/storage/posix_file_system.hpp"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <string>
#include <vector>

namespace azurepaddle::figures {

/// Options common to all subcommands.
struct Options {
    std::string folder; ///< Where files are written. A subfolder is created and removed.
    std::uint64_t seeds = 200;
};

/// Commits per second and fsyncs per commit at several batch sizes, and restart time against log length.
int runLog(const Options& options);
/// Cost of two snapshot formats at several sizes.
int runSnapshot(const Options& options);
/// Time without a leader after a kill, in the simulation.
int runElection(const Options& options);
/// Size of the contacts of store instances on disk and in messages, at several sizes of a deployment.
int runContacts(const Options& options);

/// A folder that is removed with its content when the object ends.
class TemporaryFolder {
public:
    explicit TemporaryFolder(const std::string& parent);
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    ~TemporaryFolder();

    [[nodiscard]] std::string path() const { return m_path.string(); }
    /// Sum of the sizes of the files in it.
    [[nodiscard]] std::uint64_t bytes() const;
    /// Opens the folder. Ends the program if that fails.
    [[nodiscard]] storage::PosixFileSystem open() const;

private:
    std::filesystem::path m_path;
};

/// Milliseconds that the call takes.
template <typename Call>
[[nodiscard]] double millisecondsOf(Call&& call)
{
    const SystemClock clock;
    const TimePoint start = clock.now();
    call();
    return std::chrono::duration<double, std::milli>(clock.now() - start).count();
}

/// The value below which this share of the values lies. The values must not be empty.
[[nodiscard]] inline double quantile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1) + 0.5)];
}

/// Ends the program with a message if a step of a measurement fails.
template <typename Result>
void require(const Result& result)
{
    if (!result) {
        fmt::print(stderr, "error: {}\n", result.error().message());
        std::exit(1);
    }
}

}
