#pragma once

#include "azurepaddle/config/problem.hpp"

#include <boost/program_options.hpp>
#include <iostream>
#include <string>
#include <tl/expected.hpp>

namespace azurepaddle::program {

constexpr int exitOk = 0;
constexpr int exitBadSettings = 2;
constexpr int exitCannotStart = 3;

/// What a daemon says of itself on its command line.
struct DaemonText {
    std::string name;
    std::string summary; ///< One line of the help.
    std::string (*settingsDocumentation)();
};

/// The settings of a daemon and the file they come from.
template <typename Settings>
struct LoadedSettings {
    Settings settings;
    std::string path;
};

/// Reads the command line and the settings file that it names. The error is the exit code of a daemon that does not
/// start: the command line asked only for a print or a check, or it or the settings are wrong.
template <typename Settings>
[[nodiscard]] tl::expected<LoadedSettings<Settings>, int> readSettings(int argc, char** argv, const DaemonText& text, tl::expected<Settings, config::Problems> (*load)(const std::string& path))
{
    namespace options = boost::program_options;
    options::options_description description(text.name + " --config FILE: " + text.summary);
    description.add_options()("config", options::value<std::string>(), "settings file (INI)")("check", "only validate the settings")("settings", "print the documentation of all settings")("help", "print this help");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
    } catch (const options::error& error) {
        std::cerr << text.name << ": " << error.what() << "\n";
        return tl::unexpected(exitBadSettings);
    }
    if (values.count("help") > 0) {
        std::cout << description;
        return tl::unexpected(exitOk);
    }
    if (values.count("settings") > 0) {
        std::cout << text.settingsDocumentation();
        return tl::unexpected(exitOk);
    }
    if (values.count("config") == 0) {
        std::cerr << text.name << ": --config FILE is missing\n";
        return tl::unexpected(exitBadSettings);
    }
    std::string path = values["config"].as<std::string>();
    auto settings = load(path);
    if (!settings) {
        std::cerr << config::describe(settings.error()) << "\n";
        return tl::unexpected(exitBadSettings);
    }
    if (values.count("check") > 0) {
        std::cout << "the settings are valid\n";
        return tl::unexpected(exitOk);
    }
    return LoadedSettings<Settings> { std::move(*settings), std::move(path) };
}

}
