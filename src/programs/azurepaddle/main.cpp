#include "tool.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <fmt/format.h>
#include <iostream>

namespace {

using namespace azurepaddle::tool;

constexpr std::array<Command, 14> commands { {
    { "check", "FILE", 1, "Checks a configuration file without calling an instance.", runCheck, false },
    { "apply", "FILE", 1, "Checks a configuration file and submits it.", runApply },
    { "diff", "FILE", 1, "Lists the differences between the configuration in force and a file.", runDiff },
    { "config", "", 0, "Prints the configuration in force.", runConfig },
    { "history", "", 0, "Lists the accepted configurations.", runHistory },
    { "status", "", 0, "Prints the state of the instance that answers.", runStatus },
    { "instances", "", 0, "Lists the instances.", runInstances },
    { "endpoints", "", 0, "Lists the endpoints.", runEndpoints },
    { "drain", "ENDPOINT|INSTANCE", 1, "Stops new work for an endpoint or an instance; work in progress ends.", runDrain },
    { "runs", "", 0, "Lists the training runs.", runRuns },
    { "tenants", "", 0, "Lists the tenants with their queues and shares.", runTenants },
    { "histograms", "", 0, "Prints latencies by tenant and class as bars.", runHistograms },
    { "orders", "", 0, "Lists the orders to endpoints.", runOrders },
    { "trace", "ID FILE...", 2, "Collects the lines of one request from log files, in order of time.", runTrace, false, true },
} };

void printHelp(std::ostream& stream)
{
    stream << "usage: azurepaddle COMMAND [options]\n\nThe operators' tool of azurepaddle. Commands:\n";
    for (const Command& command : commands)
        stream << fmt::format("  {:<28} {}\n", fmt::format("{} {}", command.name, command.operands), command.summary);
    stream << "\nSee azurepaddle COMMAND --help and docs/cli.md.\n";
}

Result<void> runTool(const std::vector<std::string>& arguments)
{
    if (arguments.empty())
        return azurepaddle::makeError(ExitCode::BadUsage, "no command is given; see --help");
    if (arguments.front() == "--help" || arguments.front() == "-h") {
        printHelp(std::cout);
        return {};
    }
    const auto command = std::find_if(commands.begin(), commands.end(), [&](const Command& each) { return each.name == arguments.front(); });
    if (command == commands.end())
        return azurepaddle::makeError(ExitCode::BadUsage, fmt::format("unknown command \"{}\"; see --help", arguments.front()));
    const auto line = parseCommandLine(*command, { arguments.begin() + 1, arguments.end() });
    if (!line)
        return tl::unexpected(line.error());
    if (!*line)
        return {};
    return command->run(**line);
}

}

int main(int argc, char** argv)
{
    // The HTTP library writes to connections that the other side may have closed. The write fails then.
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const auto result = runTool({ argv + 1, argv + argc });
        if (result)
            return 0;
        std::cerr << "azurepaddle: " << result.error().message() << "\n";
        return static_cast<int>(result.error().code());
    } catch (const nlohmann::json::exception& error) {
        std::cerr << "azurepaddle: an instance answered with an unexpected type: " << error.what() << "\n";
        return static_cast<int>(ExitCode::BadAnswer);
    }
}
