#pragma once

#include "azurepaddle/codec/codec.hpp"
#include "azurepaddle/consensus/membership.hpp"
#include "azurepaddle/consensus/message.hpp"

#include <cstdint>
#include <string>

namespace azurepaddle::control {

/// Consensus messages from one participant to another.
struct RaftEnvelope {
    InstanceId from;
    std::vector<consensus::RaftMessage> messages;
    MSGPACK_DEFINE(from, messages)
};

enum class GroupStatus : unsigned char {
    Ok,
    NotLeader, ///< Nothing was applied; retry at the leader named in the reply.
    Busy, ///< Nothing was applied; retry.
    /// Leadership changed or the deadline passed; a command may have been applied. Retry it with the same id.
    OutcomeUnknown,
    Malformed,
};

/// Reply to a command or query: an encoded ControlReply or ControlAnswer, or the name of the leader.
struct GroupReply {
    GroupStatus status = GroupStatus::Malformed;
    std::string body;
    std::string leader; ///< Name of the leading instance; empty if unknown.
    MSGPACK_DEFINE(status, body, leader)
};

/// An instance's view of the group that holds the log.
struct KnownGroup {
    consensus::Membership membership; ///< Empty if no group is known.
    InstanceId leader; ///< Empty if unknown.
    /// Of the participant that reported the view. Of two views, the one with the higher index is newer.
    std::uint64_t commitIndex = 0;

    friend bool operator==(const KnownGroup&, const KnownGroup&) = default;
    MSGPACK_DEFINE(membership, leader, commitIndex)
};

/// Asks an instance for its identity and its view of the group, and carries the sender's view.
struct IntroduceRequest {
    InstanceId identity; ///< Of the sender.
    KnownGroup known {};
    MSGPACK_DEFINE(identity, known)
};

struct IntroduceReply {
    InstanceId identity;
    bool isFresh = false; ///< The log is empty and no group is known.
    consensus::Membership membership; ///< Newest known membership; empty if isFresh.
    InstanceId leader; ///< Empty if unknown.
    std::uint64_t commitIndex = 0; ///< As in KnownGroup.
    MSGPACK_DEFINE(identity, isFresh, membership, leader, commitIndex)

    [[nodiscard]] KnownGroup known() const { return { membership, leader, commitIndex }; }
};

/// Asks the leader to add a participant whose data folder is new. The earlier participant with the same instance name
/// has lost its disk and is removed after the new one has caught up.
struct JoinRequest {
    InstanceId identity;
    MSGPACK_DEFINE(identity)
};

}

MSGPACK_ADD_ENUM(azurepaddle::control::GroupStatus)
