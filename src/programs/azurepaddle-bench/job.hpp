#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"
#include "azurepaddle/core/work.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace azurepaddle::bench {

enum class JobState : unsigned char {
    Open,
    Finished,
    Refused, ///< The caller was told `not-run`.
    Failed, ///< The caller was told `unknown` or `failed`.
};

/// One request of a caller, or one sample of a trainer.
struct Job {
    std::uint64_t id = 0;
    std::size_t tenant = 0; ///< Index of the tenant.
    std::optional<std::size_t> trainer; ///< Index of the trainer that the sample is for.
    std::size_t step = 0;
    std::size_t service = 0;
    std::size_t instance = 0; ///< Index of the instance that the caller reached.
    WorkClass workClass = WorkClass::Short;
    double promptTokens = 0;
    std::uint32_t outputTokens = 1; ///< Known to the engine and the oracle only.
    double maxTokens = 1; ///< As stated by the caller.
    std::vector<std::uint64_t> prefixes;
    double tokensPerPrefix = 0;
    bool isIdempotent = true;
    bool crashesEndpoint = false;
    std::string fingerprint; ///< Only of requests that may be sent again by their caller.
    std::optional<Duration> timeout;
    TimePoint arrival {};

    JobState state = JobState::Open;
    std::optional<TimePoint> firstToken; ///< At the instance.
    TimePoint finished {};
    std::uint32_t starts = 0; ///< Times that an engine began it.
    std::uint32_t answers = 0; ///< Complete answers given to the caller.
};

/// One sending of a job to an engine.
struct Execution {
    std::shared_ptr<Job> job;
    std::size_t engine = 0;
    std::size_t instance = 0;
    std::uint64_t number = 0; ///< Key of the front that sent it.
    std::uint64_t owner = 0; ///< Key of the request at the front that sent it.
    int priority = 0; ///< Lower values leave the engine's queue first.
    double estimate = 0; ///< Of the tokens to generate.
    double prefillLeft = 0;
    std::uint32_t generated = 0; ///< At the engine.
    std::uint32_t received = 0; ///< At the instance.
    bool isRunning = false;
    bool isCancelled = false;
    bool isSilent = false; ///< Its connection delivers nothing.
    bool isComplete = false; ///< The engine has finished it.
    bool isLost = false; ///< The engine died.
    std::vector<WeightVersion> spans; ///< Versions that really generated tokens.
    std::vector<WeightVersion> label; ///< Versions as stated with the tokens that arrived.
};

using JobPointer = std::shared_ptr<Job>;
using ExecutionPointer = std::shared_ptr<Execution>;

}
