#pragma once

#include "azurepaddle/core/clock.hpp"

#include <cstdint>

namespace azurepaddle::rollout {

/// Handling of the last samples of a step when their attempts are slow.
enum class StragglerPolicy : unsigned char {
    Duplicate, ///< A second attempt runs in parallel with the first.
    Move, ///< The first attempt is cancelled when the second starts.
    None,
};

struct RunSettings {
    std::uint64_t stalenessBound = 1; ///< Number of versions that a sample may be behind the trainer at hand-off.
    Duration ageBound {}; ///< Longest time from the start of a sample's generation to its hand-off. Zero for no bound.
    bool isScored = false; ///< Samples must be scored before they are ready.
    StragglerPolicy stragglerPolicy = StragglerPolicy::Duplicate;
    /// An attempt is slow when it exceeds this multiple of the median duration of its step.
    double stragglerFactor = 2.0;
    double tailShare = 0.1; ///< Share of a step's samples that are its last ones; at least one sample.
    /// Limit for buffered bodies. The next group to hand off and assigned groups may exceed it.
    std::size_t bufferBytes = 64ULL * 1024 * 1024;
    std::size_t maxSampleBytes = 4ULL * 1024 * 1024; ///< Larger samples are dropped and generated again.
    /// Estimated duration of an attempt until the first one has finished.
    Duration initialDuration = std::chrono::seconds(60);
    /// Estimated interval between versions until two increases have been observed.
    Duration initialVersionInterval = std::chrono::minutes(20);
    /// Delay after a failed attempt; doubles with each further failure.
    Duration retryDelay = std::chrono::milliseconds(200);
    Duration maxRetryDelay = std::chrono::seconds(10);

    bool operator==(const RunSettings&) const = default;
};

}
