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

/// A trainer's request for samples.
struct PullRequest {
    std::uint64_t pull = 0; ///< Number of the pull; higher than that of any earlier pull of the run.
    Sequence cursor = 0; ///< The trainer holds exactly the samples up to this sequence number.
    WeightVersion version = 0; ///< Current version of the trainer.
    /// Limit for newly assigned groups. Groups beyond it wait for the next pull, but at least one group is sent.
    std::uint32_t maxSamples = 0;

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
    Empty, ///< No samples are ready.
    Retry, ///< Another hand-off is being recorded, or samples became stale while this one was being recorded.
    Superseded, ///< A later pull was received, or this one was already answered.
    CursorBehind, ///< The trainer was restored from an older checkpoint; the detail describes how to recover.
    CursorInvalid, ///< The cursor is not the sequence number of an assigned sample.
    NotOwner, ///< Another instance owns the run.
};

struct PullReply {
    PullStatus status = PullStatus::Empty;
    std::uint64_t pull = 0; ///< As requested.
    Sequence cursor = 0; ///< As requested.
    Sequence nextCursor = 0; ///< Cursor to use after the trainer has accepted the reply.
    WeightVersion version = 0; ///< Version used to check staleness. A trainer with a newer version drops the reply.
    std::vector<HandOffSample> samples; ///< In order of sequence number.
    Duration retryAfter {};
    std::string detail;
};

/// The hand-off record that must be committed before the reply may be sent.
struct HandOffPlan {
    PullRequest request;
    control::RecordHandOff record;
    std::uint64_t generation = 0; ///< Generation of the scheduler state that the plan is based on.
};

using PullDecision = std::variant<HandOffPlan, PullReply>;

}
