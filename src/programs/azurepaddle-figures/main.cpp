#include "commands.hpp"
#include "figures.hpp"

#include "azurepaddle/core/digest.hpp"

#include <array>
#include <boost/program_options.hpp>
#include <exception>
#include <fmt/format.h>
#include <string_view>

namespace azurepaddle::figures {

namespace {

    struct Command {
        std::string_view name;
        std::string_view purpose;
        int (*run)(const Options&);
    };

    /// Runs a command that takes no options.
    template <int (*Run)(int, char**)>
    int runPlain(const Options&)
    {
        char name[] = "azurepaddle-figures";
        char* arguments[] = { name, nullptr };
        return Run(1, arguments);
    }

    constexpr std::array commands {
        Command { "log", "commits per second, fsyncs per commit, restart time", runLog },
        Command { "snapshot", "cost of two snapshot formats", runSnapshot },
        Command { "election", "time without a leader after a kill (simulated)", runElection },
        Command { "control", "bytes per claim, sample and group; time to apply, snapshot and restore", runPlain<runControlFigures> },
        Command { "contacts", "bytes of what store nodes remember and report of all instances", runContacts },
        Command { "membership", "bytes, messages and processor time per node against members and endpoints", runPlain<runMembershipFigures> },
    };

    int printUsage(const boost::program_options::options_description& described)
    {
        fmt::print("Usage: azurepaddle-figures COMMAND [OPTIONS]\n\n");
        for (const Command& command : commands)
            fmt::print("  {:<10} {}\n", command.name, command.purpose);
        std::ostringstream text;
        text << described;
        fmt::print("\n{}", text.str());
        return 2;
    }

    int run(int count, char** arguments)
    {
        namespace po = boost::program_options;
        Options options;
        std::string name;
        po::options_description described("Options");
        described.add_options()("folder", po::value(&options.folder)->default_value("."), "parent of the folder for files");
        described.add_options()("seeds", po::value(&options.seeds)->default_value(options.seeds), "number of simulated runs");
        po::options_description all;
        all.add(described).add_options()("command", po::value(&name));
        po::positional_options_description positional;
        positional.add("command", 1);
        po::variables_map values;
        po::store(po::command_line_parser(count, arguments).options(all).positional(positional).run(), values);
        po::notify(values);
        const auto* const found = std::find_if(commands.begin(), commands.end(), [&name](const Command& command) { return command.name == name; });
        return found == commands.end() ? printUsage(described) : found->run(options);
    }

}

TemporaryFolder::TemporaryFolder(const std::string& parent)
    : m_path(std::filesystem::path(parent) / ("azurepaddle-figures-" + randomHex(8)))
{
    std::filesystem::create_directory(m_path);
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

std::uint64_t TemporaryFolder::bytes() const
{
    std::uint64_t sum = 0;
    for (const auto& entry : std::filesystem::directory_iterator(m_path))
        sum += entry.file_size();
    return sum;
}

storage::PosixFileSystem TemporaryFolder::open() const
{
    auto files = storage::PosixFileSystem::openFolder(path());
    require(files);
    return std::move(*files);
}

}

int main(int count, char** arguments)
{
    try {
        return azurepaddle::figures::run(count, arguments);
    } catch (const std::exception& error) {
        fmt::print(stderr, "error: {}\n", error.what());
        return 2;
    }
}
