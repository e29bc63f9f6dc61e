#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace azurepaddle::bench {

/// Options of `run`.
struct RunCommand {
    std::string scenario; ///< Empty for all.
    std::string deployment; ///< Empty for all.
    std::vector<std::uint64_t> seeds { 1 };
    double seconds = 180;
    std::string jsonFile;
    std::string htmlFile;
    bool showsHistograms = false;
    bool onlyService = false;
    std::string policy; ///< Empty for all.
    std::size_t jobs = 3; ///< Runs at the same time.
    std::vector<std::string> set; ///< Settings of the modules, as name=value.
};

/// Each returns the exit status.
[[nodiscard]] int runCommand(const RunCommand& command);
[[nodiscard]] int replayCommand(const std::string& file);
[[nodiscard]] int costCommand();
[[nodiscard]] int scaleCommand();

}
