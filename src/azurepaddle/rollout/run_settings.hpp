#pragma once

#include "azurepaddle/core/clock.hpp"

#include <cstdint>

namespace azurepaddle::rollout {

/// What is done about the last samples of a step when they take long.
enum class StragglerPolicy : unsigned char {
    Duplicate, ///< A second attempt runs beside the first.
    Move, ///< The first attempt is cancelled when the second starts.
    None,
};

struct RunSettings {
    std::uint64_t stalenessBound = 1; ///< Versions that a sample may be behind the trainer's at hand-off.
    Duration ageBound {}; ///< Longest time from the start of a sample's generation to its hand-off. Zero for no bound.
    bool isScored = false; ///< Samples are scored before they count as ready.
    StragglerPolicy stragglerPolicy = StragglerPolicy::Duplicate;
    double stragglerFactor = 2.0; ///< Multiple of the median of the step.
    double tailShare = 0.1; ///< Share of a step's samples that counts as its last ones; at least one sample.
    std::size_t bufferBytes = 64ULL * 1024 * 1024; ///< Bodies kept. One group and those assigned may exceed it.
    std::size_t maxSampleBytes = 4ULL * 1024 * 1024; ///< A larger sample is dropped.
    Duration initialDuration = std::chrono::seconds(60); ///< Assumed for a sample until some have finished.
    Duration initialVersionInterval = std::chrono::minutes(20); ///< Assumed until the version has risen twice.
    Duration retryDelay = std::chrono::milliseconds(200); ///< After a failed attempt; doubles with each further one.
    Duration maxRetryDelay = std::chrono::seconds(10);

    bool operator==(const RunSettings&) const = default;
};

}
