#pragma once

#include "azurepaddle/core/error.hpp"

#include <boost/program_options.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace azurepaddle::tool {

using Json = nlohmann::json;
namespace po = boost::program_options;

/// Exit codes, as documented in docs/cli.md.
enum class ExitCode : unsigned char {
    Success = 0,
    Refused = 1, ///< The file is invalid, the service refused, or diff found differences.
    BadUsage = 2,
    Unreachable = 3, ///< No instance answered.
    Unauthorized = 4,
    TimeOver = 5, ///< --wait ended before the configuration was in force everywhere.
    BadAnswer = 6, ///< An instance answered with something that is not understood.
};

using ToolError = LayerError<ExitCode>;
template <typename T>
using Result = tl::expected<T, ToolError>;

/// Options that all subcommands have.
struct CommonOptions {
    std::vector<std::string> instances;
    std::string token;
    std::string tlsAuthority;
    std::chrono::milliseconds timeout { 10000 };
    bool isJson = false;
};

/// A subcommand's own options and operands.
struct CommandLine {
    CommonOptions common;
    std::vector<std::string> operands;
    bool waits = false;
    std::chrono::milliseconds waitTimeout { 120000 };
    std::string kind;
};

/// One subcommand of the tool.
struct Command {
    std::string_view name;
    std::string_view operands; ///< As printed in the help; empty for none.
    std::size_t operandCount = 0;
    std::string_view summary;
    Result<void> (*run)(const CommandLine& line);
    bool usesInstances = true;
    bool takesMoreOperands = false; ///< The count is the smallest one.
};

/// Parses the arguments after the subcommand. Prints the help and returns nothing if it is asked for.
[[nodiscard]] Result<std::optional<CommandLine>> parseCommandLine(const Command& command, const std::vector<std::string>& arguments);

[[nodiscard]] Result<void> runCheck(const CommandLine& line);
[[nodiscard]] Result<void> runApply(const CommandLine& line);
[[nodiscard]] Result<void> runDiff(const CommandLine& line);
[[nodiscard]] Result<void> runConfig(const CommandLine& line);
[[nodiscard]] Result<void> runHistory(const CommandLine& line);
[[nodiscard]] Result<void> runStatus(const CommandLine& line);
[[nodiscard]] Result<void> runInstances(const CommandLine& line);
[[nodiscard]] Result<void> runEndpoints(const CommandLine& line);
[[nodiscard]] Result<void> runDrain(const CommandLine& line);
[[nodiscard]] Result<void> runRuns(const CommandLine& line);
[[nodiscard]] Result<void> runTenants(const CommandLine& line);
[[nodiscard]] Result<void> runHistograms(const CommandLine& line);
[[nodiscard]] Result<void> runOrders(const CommandLine& line);
[[nodiscard]] Result<void> runTrace(const CommandLine& line);

}
