#pragma once

#include "azurepaddle/control/run_commands.hpp"
#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/rollout/estimates.hpp"
#include "azurepaddle/rollout/sample.hpp"

#include <compare>
#include <optional>
#include <vector>

namespace azurepaddle::rollout {

/// Names one attempt of one scheduler.
using AttemptId = std::uint64_t;

namespace internal {

    enum class SampleState : unsigned char {
        Pending, ///< Waits for an attempt.
        Running,
        Scoring,
        Ready, ///< Its body is in the buffer.
        BodyMissing, ///< Assigned by an earlier owner; its body is not here.
        Confirmed,
    };

    struct SampleSlot {
        SampleState state = SampleState::Pending;
        control::Sequence sequence = 0; ///< 0 if not assigned.
        bool wasAttempted = false;
        std::uint32_t failures = 0;
        TimePoint notBefore {};
        std::vector<AttemptId> attempts; ///< In progress, at most two.
    };

    /// Order in which groups are generated and handed off.
    struct GroupOrder {
        std::uint64_t step = 0;
        std::uint64_t ordinal = 0;

        auto operator<=>(const GroupOrder&) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 misreads it
    };

    struct GroupState {
        control::GroupSpec spec;
        std::vector<SampleSlot> samples;

        /// True if a sample has a number that is not confirmed.
        [[nodiscard]] bool hasUnconfirmedSequence() const noexcept
        {
            for (const SampleSlot& slot : samples) {
                if (slot.sequence != 0 && slot.state != SampleState::Confirmed)
                    return true;
            }
            return false;
        }
    };

    /// Order of pending samples: by step, those tried before first, then by group and index.
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
        std::optional<WeightVersion> version; ///< Of the endpoint when the attempt was sent.
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
