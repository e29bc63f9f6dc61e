#include "instance.hpp"

#include "azurepaddle/config/documentation.hpp"

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <pthread.h>

namespace {

using namespace azurepaddle;

constexpr int exitOk = 0;
constexpr int exitBadSettings = 2;
constexpr int exitCannotStart = 3;

sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/// Waits for SIGTERM or SIGINT. SIGHUP changes nothing: settings hold for the lifetime of the process.
void waitForStop(const sigset_t& signals)
{
    int signal = 0;
    do {
        sigwait(&signals, &signal);
        if (signal == SIGHUP)
            Log("main").info("SIGHUP ignored: settings are read at start, the configuration comes from the log");
    } while (signal == SIGHUP);
    Log("main").info("signal {}: draining", signal);
}

int run(const config::Settings& settings)
{
    const sigset_t signals = blockSignals();
    startLogging(settings.logLevel());
    daemon::Instance instance(settings);
    if (!instance.start())
        return exitCannotStart;
    waitForStop(signals);
    instance.drainAndStop();
    return exitOk;
}

}

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    options::options_description description("azurepaddled --config FILE: one instance of the rollout service");
    description.add_options()("config", options::value<std::string>(), "settings file (INI)")("check", "only validate the settings")("settings", "print the documentation of all settings")("help", "print this help");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
    } catch (const options::error& error) {
        std::cerr << "azurepaddled: " << error.what() << "\n";
        return exitBadSettings;
    }
    if (values.count("help") > 0) {
        std::cout << description;
        return exitOk;
    }
    if (values.count("settings") > 0) {
        std::cout << config::settingsDocumentation();
        return exitOk;
    }
    if (values.count("config") == 0) {
        std::cerr << "azurepaddled: --config FILE is missing\n";
        return exitBadSettings;
    }
    const auto settings = config::loadSettings(values["config"].as<std::string>());
    if (!settings) {
        std::cerr << config::describe(settings.error()) << "\n";
        return exitBadSettings;
    }
    if (values.count("check") > 0) {
        std::cout << "the settings are valid\n";
        return exitOk;
    }
    try {
        return run(*settings);
    } catch (const std::exception& exception) {
        std::cerr << "azurepaddled: " << exception.what() << "\n";
        return exitCannotStart;
    }
}
