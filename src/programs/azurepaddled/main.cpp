#include "instance.hpp"

#include "azurepaddle/config/documentation.hpp"
#include "programs/shared/daemon_command_line.hpp"

#include <csignal>
#include <iostream>
#include <pthread.h>

namespace {

using namespace azurepaddle;

using program::exitCannotStart;
using program::exitOk;

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
    const auto loaded = program::readSettings<config::Settings>(argc, argv, { "azurepaddled", "one instance of the rollout service", config::settingsDocumentation }, config::loadSettings);
    if (!loaded)
        return loaded.error();
    try {
        return run(loaded->settings);
    } catch (const std::exception& exception) {
        std::cerr << "azurepaddled: " << exception.what() << "\n";
        return exitCannotStart;
    }
}
