#pragma once

#include "azurepaddle/control/run_commands.hpp"
#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/rollout/sample.hpp"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace azurepaddle::rollout {

using control::Sequence;

/// A trainer asks for samples.
struct PullRequest {
    std::uint64_t pull = 0; ///< Higher than in any earlier pull of the run.
    Sequence cursor = 0; ///< The trainer holds everything up to it and nothing beyond.
    WeightVersion version = 0; ///< The trainer's.
    std::uint32_t maxSamples = 0; ///< Newly assigned groups beyond it wait for the next pull; at least one group is sent.

    bool operator==(const PullRequest&) const = default;
};

/// One sample of a hand-off.
struct HandOffSample {
    Sequence sequence = 0;
    SampleKey key;
    std::uint64_t step = 0;
    VersionRange versions;
    std::optional<double> score;
    std::shared_ptr<const SampleBody> body;
};

enum class PullStatus : unsigned char {
    Samples, ///< Whole groups; the trainer's new cursor is nextCursor.
    Empty, ///< Nothing is ready.
    Retry, ///< Another hand-off is being recorded, or one became stale meanwhile.
    Superseded, ///< A later pull was seen, or this one was answered.
    CursorBehind, ///< The trainer was restored from an older checkpoint; the detail says how to proceed.
    CursorInvalid, ///< The cursor names no assigned sample.
    NotOwner, ///< Another instance owns the run.
};

struct PullReply {
    PullStatus status = PullStatus::Empty;
    std::uint64_t pull = 0; ///< As requested.
    Sequence cursor = 0; ///< As requested.
    Sequence nextCursor = 0; ///< Cursor of a trainer that accepts the reply.
    WeightVersion version = 0; ///< Against which staleness was checked. A trainer with a newer one drops the reply.
    std::vector<HandOffSample> samples; ///< In order of sequence number.
    Duration retryAfter {};
    std::string detail;
};

/// What must be committed before the reply may be sent.
struct HandOffPlan {
    PullRequest request;
    control::RecordHandOff record;
    std::uint64_t generation = 0; ///< Of the scheduler's standing that the plan is based on.
};

using PullDecision = std::variant<HandOffPlan, PullReply>;

}
