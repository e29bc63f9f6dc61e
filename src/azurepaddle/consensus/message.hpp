#pragma once

#include "azurepaddle/codec/codec.hpp"
#include "azurepaddle/storage/records.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace azurepaddle::consensus {

/// An entry of the replicated log as it is stored.
using LogEntry = storage::LogRecord;

/// The values of LogEntry::kind.
enum class EntryKind : std::uint8_t {
    Command, ///< Bytes of a proposal.
    Membership, ///< An encoded Membership.
    Empty, ///< First entry of a leader.
};

enum class MessageKind : std::uint8_t {
    PreVote, ///< Asks whether the receiver would grant a vote in this term, without changing the receiver's state.
    PreVoteReply,
    Vote,
    VoteReply,
    Append, ///< Entries after `index`; without entries, a heartbeat.
    AppendReply,
    Snapshot, ///< A chunk of a snapshot that covers the log up to `index`.
    SnapshotReply,
    TimeoutNow, ///< Makes the receiver start an election immediately, for a leadership transfer.
};

/// Value of RaftMessage::receiverTime while the leader has no reply of the receiver yet.
constexpr std::int64_t noReceiverTime = -1;

/// A message between participants. A receiver ignores a message whose `to` is not its own identity, so that an instance
/// with a new disk at an old address never replies on behalf of the identity that was lost with the old disk.
struct RaftMessage {
    std::uint8_t kind = 0;
    InstanceId to;
    std::uint64_t term = 0; ///< The sender's term; for PreVote and a reply that grants it, the proposed term.
    std::uint64_t index = 0; ///< Votes: last index. Append: index before the entries. AppendReply: index that matched or was rejected. Snapshots: last index covered.
    std::uint64_t logTerm = 0; ///< Term of the entry at `index`; in a rejection, of the entry at `hint`.
    std::uint64_t hint = 0; ///< Rejected AppendReply: highest index that may match. SnapshotReply: number of bytes received.
    std::uint64_t commit = 0; ///< Append: the leader's commit index.
    bool isGranted = false; ///< Replies: the vote is granted, or the entries are appended.
    bool isTransfer = false; ///< Vote: the leader started this election to transfer its leadership, so contact with a leader is no reason to reject it.
    std::uint64_t readRound = 0; ///< Append and Snapshot: number of the leader's read round, echoed by replies.
    std::int64_t sentAt = 0; ///< Append and Snapshot: send time on the leader's clock in nanoseconds, echoed by replies.
    std::uint64_t offset = 0; ///< Snapshot and SnapshotReply: byte offset of the chunk.
    std::uint64_t totalBytes = 0; ///< Snapshot: size of the complete snapshot in bytes.
    std::string data; ///< Snapshot: content of the chunk.
    std::vector<LogEntry> entries; ///< Append: entries with consecutive indexes, starting after `index`.
    std::int64_t receiverTime = 0; ///< Replies: the sender's clock in nanoseconds. Append: that of the receiver in the last reply that the leader got. 0 from earlier releases.

    [[nodiscard]] MessageKind messageKind() const noexcept { return static_cast<MessageKind>(kind); }

    friend bool operator==(const RaftMessage&, const RaftMessage&) = default;
    MSGPACK_DEFINE(kind, to, term, index, logTerm, hint, commit, isGranted, isTransfer, readRound, sentAt, offset, totalBytes, data, entries, receiverTime)
};

}
