#pragma once

#include "azurepaddle/consensus/message.hpp"
#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/storage/records.hpp"

#include <cstdint>
#include <memory>

namespace azurepaddle::consensus {

enum class ProgressState : std::uint8_t {
    Probe, ///< The leader searches for the last matching index with one message in flight at a time.
    Replicate, ///< Entries are sent without waiting for earlier ones to be acknowledged.
    Snapshot, ///< The chunks of a snapshot are sent.
};

/// Replication state that a leader keeps for each other participant.
struct Progress {
    ProgressState state = ProgressState::Probe;
    std::uint64_t match = 0; ///< Highest index known to be durable at the participant.
    std::uint64_t next = 1; ///< Index of the next entry to send.
    bool isPaused = false; ///< A probe is in flight. Nothing more is sent until its reply or the next heartbeat.
    std::uint64_t ackedReadRound = 0; ///< Highest read round that the participant acknowledged.
    TimePoint ackedSentAt; ///< Send time of the newest acknowledged message.
    std::int64_t receiverTime = noReceiverTime; ///< The participant's clock in its last reply, in nanoseconds.
    TimePoint trackedSince; ///< Time at which the leader started to send to the participant.
    std::shared_ptr<const storage::Snapshot> snapshot; ///< The snapshot being sent.
    std::uint64_t snapshotOffset = 0; ///< Byte offset of the chunk in flight.
    TimePoint snapshotSentAt; ///< Time at which the chunk in flight was sent.
};

}
