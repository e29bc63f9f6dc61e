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
    Lost, ///< Leadership changed; a command may have been applied. Repeat it under the same id.
    Malformed,
};

/// The reply to a command or query: an encoded ControlReply or ControlAnswer, or who leads.
struct GroupReply {
    GroupStatus status = GroupStatus::Malformed;
    std::string body;
    std::string leader; ///< Name of the instance that leads, as far as known.
    MSGPACK_DEFINE(status, body, leader)
};

/// Asks a participant for its identity and whether it holds a log, before a group is founded.
struct IntroduceRequest {
    InstanceId identity; ///< Of the instance that asks.
    MSGPACK_DEFINE(identity)
};

struct IntroduceReply {
    InstanceId identity;
    bool isFresh = false;
    consensus::Membership membership; ///< Newest known; empty if fresh.
    InstanceId leader; ///< Empty if unknown.
    MSGPACK_DEFINE(identity, isFresh, membership, leader)
};

/// Asks the leader to take in a participant whose folder is new; the former participant of the same instance name lost
/// its disk and is removed after the new one has caught up.
struct JoinRequest {
    InstanceId identity;
    MSGPACK_DEFINE(identity)
};

}

MSGPACK_ADD_ENUM(azurepaddle::control::GroupStatus)
