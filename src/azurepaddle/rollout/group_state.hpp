#pragma once

#include "azurepaddle/control/run_commands.hpp"
#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/rollout/estimates.hpp"
#include "azurepaddle/rollout/sample.hpp"

#include <compare>
#include <optional>
#include <vector>

namespace azurepaddle::rollout {

/// Identifies an attempt within its scheduler.
using AttemptId = std::uint64_t;

namespace internal {

    enum class SampleState : unsigned char {
        Pending, ///< No attempt is in progress.
        Running,
        Scoring,
        Ready, ///< The body is in the buffer and can be handed off.
        BodyMissing, ///< Assigned by a previous owner; this instance does not have the body.
        Confirmed,
    };

    struct SampleSlot {
        SampleState state = SampleState::Pending;
        control::Sequence sequence = 0; ///< 0 if not assigned.
        bool wasAttempted = false;
        std::uint32_t failures = 0;
        TimePoint notBefore {};
        std::vector<AttemptId> attempts; ///< Attempts in progress, at most two.
    };

    /// Sort key of groups: they are generated, and handed off to the trainer, by step and then in the order
    /// of submission.
    struct GroupOrder {
        std::uint64_t step = 0;
        std::uint64_t ordinal = 0;

        auto operator<=>(const GroupOrder&) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 misreads it
    };

    struct GroupState {
        control::GroupSpec spec;
        std::vector<SampleSlot> samples;

        /// True if a sample has a sequence number that the trainer has not confirmed.
        [[nodiscard]] bool hasUnconfirmedSequence() const noexcept
        {
            for (const SampleSlot& slot : samples) {
                if (slot.sequence != 0 && slot.state != SampleState::Confirmed)
                    return true;
            }
            return false;
        }
    };

    /// Sort key of pending samples: by step, then samples with earlier attempts first, then by group and index.
    struct PendingKey {
        std::uint64_t step = 0;
        bool isFirstAttempt = true;
        std::uint64_t ordinal = 0;
        std::uint32_t index = 0;

        auto operator<=>(const PendingKey&) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 misreads it
    };

    struct RunningAttempt {
        GroupOrder order;
        std::uint32_t index = 0;
        TimePoint started {};
        std::optional<EndpointId> endpoint;
        std::optional<WeightVersion> version; ///< Version that the endpoint served when the attempt was sent.
        bool isDuplicate = false;
    };

    /// Progress of the samples of one step.
    struct StepProgress {
        std::uint64_t samples = 0;
        std::uint64_t complete = 0;
        RecentDurations durations { 256 };
    };

}
}
