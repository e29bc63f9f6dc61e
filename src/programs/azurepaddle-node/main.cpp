#include "entry_node.hpp"
#include "store_node.hpp"

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <malloc.h>

namespace {

using namespace azurepaddle;

constexpr int exitOk = 0;
constexpr int exitBadSettings = 2;
constexpr int exitCannotStart = 3;

/// Makes the C library hand freed memory back at once: messages and log files of many KiB come and go, and a process that
/// exceeds the memory of its machine is killed.
void keepMemorySmall()
{
    constexpr int mappedFrom = 64 * 1024;
    constexpr int trimAbove = 256 * 1024;
    constexpr int arenas = 1;
    mallopt(M_MMAP_THRESHOLD, mappedFrom);
    mallopt(M_TRIM_THRESHOLD, trimAbove);
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
    // The state is on disk and connections end with the process; unwinding would only delay its end.
    std::_Exit(exitOk);
}

}

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    options::options_description description("azurepaddle-node --config FILE: one node of a deployment on a platform");
    description.add_options()("config", options::value<std::string>(), "settings file (INI)")("check", "only validate the settings")("settings", "print the documentation of all settings")("help", "print this help");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
    } catch (const options::error& error) {
        std::cerr << "azurepaddle-node: " << error.what() << "\n";
        return exitBadSettings;
    }
    if (values.count("help") > 0) {
        std::cout << description;
        return exitOk;
    }
    if (values.count("settings") > 0) {
        std::cout << config::nodeSettingsDocumentation();
        return exitOk;
    }
    if (values.count("config") == 0) {
        std::cerr << "azurepaddle-node: --config FILE is missing\n";
        return exitBadSettings;
    }
    const std::string path = values["config"].as<std::string>();
    const auto settings = config::loadNodeSettings(path);
    if (!settings) {
        std::cerr << config::describe(settings.error()) << "\n";
        return exitBadSettings;
    }
    if (values.count("check") > 0) {
        std::cout << "the settings are valid\n";
        return exitOk;
    }
    keepMemorySmall();
    std::signal(SIGPIPE, SIG_IGN);
    startStructuredLogging(settings->logLevel());
    try {
        return settings->isStore() ? run<node::StoreNode>(*settings, path) : run<node::EntryNode>(*settings, path);
    } catch (const std::exception& exception) {
        std::cerr << "azurepaddle-node: " << exception.what() << "\n";
        return exitCannotStart;
    }
}
