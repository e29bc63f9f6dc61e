#pragma once

#include "azurepaddle/codec/codec.hpp"
#include "azurepaddle/consensus/membership.hpp"
#include "azurepaddle/consensus/message.hpp"

#include <cstdint>
#include <string>

namespace azurepaddle::control {

/// Messages of consensus from one participant to another.
struct RaftEnvelope {
    InstanceId from;
    std::vector<consensus::RaftMessage> messages;
    MSGPACK_DEFINE(from, messages)
};

enum class GroupStatus : unsigned char {
    Ok,
    NotLeader, ///< Nothing was applied; ask the leader named.
    Busy, ///< Nothing was applied; try again.
    OutcomeUnknown, ///< Leadership changed; a command may have been applied. Repeat it under the same id.
    Malformed,
};

/// The reply to a command or query: an encoded ControlReply or ControlAnswer, or who leads.
struct GroupReply {
    GroupStatus status = GroupStatus::Malformed;
    std::string body;
    std::string leader; ///< Name of the instance that leads, as far as known.
    MSGPACK_DEFINE(status, body, leader)
};

/// What an instance knows of the group that holds the log.
struct KnownGroup {
    consensus::Membership membership; ///< Empty if it knows of no group.
    InstanceId leader; ///< Empty if unknown.
    std::uint64_t commitIndex = 0; ///< Of the participant that said so. Of two views the one with the higher index is newer.

    friend bool operator==(const KnownGroup&, const KnownGroup&) = default;
    MSGPACK_DEFINE(membership, leader, commitIndex)
};

/// Asks an instance for its identity and what it knows of a group, and says what the asker knows.
struct IntroduceRequest {
    InstanceId identity; ///< Of the instance that asks.
    KnownGroup known {};
    MSGPACK_DEFINE(identity, known)
};

struct IntroduceReply {
    InstanceId identity;
    bool isFresh = false; ///< Holds no log and knows of no group.
    consensus::Membership membership; ///< Newest known; empty if fresh.
    InstanceId leader; ///< Empty if unknown.
    std::uint64_t commitIndex = 0; ///< As of a view.
    MSGPACK_DEFINE(identity, isFresh, membership, leader, commitIndex)

    [[nodiscard]] KnownGroup known() const { return { membership, leader, commitIndex }; }
};

/// Asks the leader to take in a participant whose folder is new; the former participant of the same instance name lost
/// its disk and is removed after the new one has caught up.
struct JoinRequest {
    InstanceId identity;
    MSGPACK_DEFINE(identity)
};

}

MSGPACK_ADD_ENUM(azurepaddle::control::GroupStatus)
