#pragma once

#include "azurepaddle/core/clock.hpp"
#include "text.hpp"

#include <condition_variable>
#include <memory>
#include <string>
#include <vector>

namespace azurepaddle::standin {

/// Shape of an engine. Times are for time scale 1 and are multiplied by it.
struct EngineOptions {
    std::string id;
    std::string service;
    std::string dataCentre = "a";
    std::string role = "mixed";
    std::size_t slots = 16;
    std::size_t maxQueued = 256;
    std::size_t cacheBlocks = 4096;
    std::size_t versionsHeld = 2;
    std::uint64_t version = 1;
    bool checksFencing = true;
    double timeScale = 1;
    double baseMs = 15; ///< Time of a step with an empty batch.
    double perSequenceMs = 0.3; ///< Added for each running sequence.
    double prefillMs = 0.05; ///< Added for each prompt token that is not in the cache.
    double switchMs = 500; ///< Pause while the weights are switched.
    std::size_t crashAfterTokens = 3;
    std::string crashMarker = "crash-engine";
    std::string store;
    double slowEveryMs = 0; ///< Mean time between slow moments; 0 for none.
    double slowForMs = 1000;
    double slowFactor = 8;
    std::uint64_t seed = 1;
    std::size_t adapters = 8; ///< Adapters that fit.
};

/// What a caller asks of an engine.
struct EngineRequest {
    std::string id;
    std::string prompt;
    std::uint64_t index = 0;
    std::uint64_t maxTokens = 16;
    std::int64_t priority = 0; ///< Lower is served first.
    std::string adapter;
    std::uint64_t minVersion = 0; ///< Refused while older weights are active; 0 for any.
};

enum class SequenceState : unsigned char {
    Queued,
    Running,
    Finished,
    Cancelled,
};

/// One request inside an engine. Guarded by the engine's mutex.
struct Sequence {
    EngineRequest request;
    std::string promptDigest;
    std::uint64_t promptTokens = 0;
    std::uint64_t arrival = 0; ///< Order of arrival.
    std::size_t slot = 0;
    SequenceState state = SequenceState::Queued;
    std::uint64_t produced = 0;
    std::vector<Span> spans;
    std::size_t readers = 0;
    TimePoint lastRead {};
    TimePoint endTime {};
    std::condition_variable changed;

    [[nodiscard]] bool hasEnded() const noexcept { return state == SequenceState::Finished || state == SequenceState::Cancelled; }
};

/// What a reader of a sequence sees.
struct Progress {
    std::uint64_t produced = 0;
    SequenceState state = SequenceState::Queued;
    std::vector<Span> spans;
};

/// Load as an engine reports it.
struct EngineLoad {
    std::int64_t timeMs = 0; ///< Wall time at which it was true.
    std::size_t running = 0;
    std::size_t queued = 0;
    std::uint64_t outstandingTokens = 0;
};

enum class SubmitError : unsigned char {
    QueueFull,
    KnownId, ///< The request id is running or has run.
    NoAdapter,
    OldVersion, ///< Only weights older than asked for are active.
};

enum class SwapFault : unsigned char {
    None,
    Fail, ///< The order is answered with an error and nothing changes.
    Partial, ///< Only the even slots get the new weights.
};

}
