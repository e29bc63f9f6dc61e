#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/storage/records.hpp"

#include <cstdint>
#include <memory>

namespace azurepaddle::consensus {

enum class ProgressState : std::uint8_t {
    Probe, ///< The matching index is being sought with one message at a time.
    Replicate, ///< Entries are sent ahead of their acknowledgement.
    Snapshot, ///< Parts of a snapshot are sent.
};

/// What a leader knows of another participant.
struct Progress {
    ProgressState state = ProgressState::Probe;
    std::uint64_t match = 0; ///< Highest index known to be durable there.
    std::uint64_t next = 1; ///< Index of the next entry to send.
    bool isPaused = false; ///< A probe is in progress. The next heartbeat ends the pause.
    std::uint64_t ackedRound = 0; ///< Highest read round acknowledged.
    TimePoint ackedSentAt; ///< Time at which the newest acknowledged message was sent.
    TimePoint since; ///< Time at which this instance began to send to the participant.
    std::shared_ptr<const storage::Snapshot> snapshot; ///< The snapshot being sent.
    std::uint64_t snapshotOffset = 0; ///< Position of the part in progress.
    TimePoint snapshotSentAt; ///< Time at which that part was sent.
};

}
