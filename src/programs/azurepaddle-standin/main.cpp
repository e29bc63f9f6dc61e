#include "options.hpp"

#include <array>
#include <iostream>

namespace {

using namespace azurepaddle::standin;

struct Subcommand {
    std::string_view name;
    int (*run)(const Arguments&);
    std::string_view summary;
};

constexpr std::array<Subcommand, 6> subcommands { {
    { "engine", runEngine, "a model engine that announces itself" },
    { "service", runService, "a plain service whose calls must not be repeated" },
    { "scorer", runScorer, "a plain service that scores samples" },
    { "store", runStore, "a rate-limited weight store" },
    { "trainer", runTrainer, "a trainer that checks the samples it receives" },
    { "load", runLoad, "callers that check every answer they receive" },
} };

void printHelp(std::ostream& stream)
{
    stream << "usage: azurepaddle-standin SUBCOMMAND [options]\n\nStand-ins for what surrounds azurepaddle. Subcommands:\n";
    for (const Subcommand& subcommand : subcommands)
        stream << "  " << subcommand.name << std::string(10 - subcommand.name.size(), ' ') << subcommand.summary << "\n";
    stream << "\nSee azurepaddle-standin SUBCOMMAND --help and docs/standin.md.\n"
           << "Exit codes: 0 success, 1 a check failed, 2 bad usage, 70 crash on demand.\n";
}

int runSubcommand(const Arguments& arguments)
{
    const std::string name = arguments.empty() ? "" : arguments.front();
    if (name == "--help" || name == "-h") {
        printHelp(std::cout);
        return Success;
    }
    for (const Subcommand& subcommand : subcommands) {
        if (subcommand.name == name)
            return subcommand.run({ arguments.begin() + 1, arguments.end() });
    }
    std::cerr << "azurepaddle-standin: unknown subcommand \"" << name << "\"; see --help\n";
    return BadUsage;
}

}

int main(int argc, char** argv)
{
    blockStopSignals();
    try {
        return runSubcommand({ argv + 1, argv + argc });
    } catch (const std::exception& error) {
        std::cerr << "azurepaddle-standin: " << error.what() << "\n";
        return BadUsage;
    }
}
