#pragma once

#include "client.hpp"

#include <boost/program_options.hpp>
#include <optional>

namespace azurepaddle::standin {

namespace po = boost::program_options;

/// A subcommand's arguments, without the subcommand itself.
using Arguments = std::vector<std::string>;

/// Exit codes of all subcommands.
enum ExitCode : int {
    Success = 0,
    ChecksFailed = 1, ///< The program ran, and a check of what it received failed.
    BadUsage = 2,
};

/// Parses the arguments. Prints the help and returns nothing if it is asked for. Throws po::error on bad usage.
[[nodiscard]] std::optional<po::variables_map> parseArguments(const std::string& command, const po::options_description& options, const Arguments& arguments);

/// --address, --port, --threads
void addListenOptions(po::options_description& options, ListenAddress& listen);

/// --instances, --token, --token-file, --tls-authority. The token is also read from the environment variable.
struct InstanceOptions {
    std::string addresses;
    std::string token;
    std::string tokenFile;
    std::string tlsAuthority;
};
void addInstanceOptions(po::options_description& options, InstanceOptions& access, const std::string& tokenHelp);
/// Throws po::error if the token file cannot be read.
[[nodiscard]] InstanceAccess toAccess(const InstanceOptions& options, const char* environmentVariable);

/// The parts of a text between commas; empty parts are left out.
[[nodiscard]] std::vector<std::string> splitCommas(const std::string& text);

int runEngine(const Arguments& arguments);
int runService(const Arguments& arguments);
int runScorer(const Arguments& arguments);
int runStore(const Arguments& arguments);
int runTrainer(const Arguments& arguments);
int runLoad(const Arguments& arguments);

}
