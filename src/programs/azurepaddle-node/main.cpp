#include "entry_node.hpp"
#include "store_node.hpp"

#include "programs/shared/daemon_command_line.hpp"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <malloc.h>

namespace {

using namespace azurepaddle;

using program::exitCannotStart;
using program::exitOk;

/// Configures the C library to return freed memory to the system at once. Messages and log segments take many KiB for a
/// short time, and a process that exceeds the memory of its machine is killed.
void configureAllocator()
{
    constexpr int mmapThresholdBytes = 64 * 1024;
    constexpr int trimThresholdBytes = 256 * 1024;
    constexpr int arenas = 1;
    mallopt(M_MMAP_THRESHOLD, mmapThresholdBytes);
    mallopt(M_TRIM_THRESHOLD, trimThresholdBytes);
    mallopt(M_ARENA_MAX, arenas);
}

/// Runs a node until it has drained after SIGTERM. SIGHUP reads the settings again.
template <typename Node>
int run(const config::NodeSettings& settings, const std::string& path)
{
    asio::io_context io(1);
    Node node(io, settings);
    if (!node.start())
        return exitCannotStart;
    asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
    std::function<void()> waitForSignal = [&] {
        signals.async_wait([&](std::error_code error, int signal) {
            if (error)
                return;
            if (signal != SIGHUP) {
                Log("main").info("signal={} draining", signal);
                node.drain([&io] { io.stop(); });
                return waitForSignal();
            }
            if (const auto changed = config::loadNodeSettings(path))
                node.reload(*changed);
            else
                Log("main").error("settings not reloaded: {}", config::describe(changed.error()));
            waitForSignal();
        });
    };
    waitForSignal();
    io.run();
    Log("main").info("stopped");
    stopLogging();
    // The state is on disk, and connections are closed with the process. Destructors would only delay its end.
    std::_Exit(exitOk);
}

}

int main(int argc, char** argv)
{
    const auto loaded = program::readSettings<config::NodeSettings>(argc, argv, { "azurepaddle-node", "one node of a deployment on a platform", config::nodeSettingsDocumentation }, config::loadNodeSettings);
    if (!loaded)
        return loaded.error();
    const config::NodeSettings& settings = loaded->settings;
    configureAllocator();
    std::signal(SIGPIPE, SIG_IGN);
    startStructuredLogging(settings.logLevel());
    try {
        return settings.isStore() ? run<node::StoreNode>(settings, loaded->path) : run<node::EntryNode>(settings, loaded->path);
    } catch (const std::exception& exception) {
        std::cerr << "azurepaddle-node: " << exception.what() << "\n";
        return exitCannotStart;
    }
}
