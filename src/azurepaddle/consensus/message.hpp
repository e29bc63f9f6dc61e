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
    PreVote, ///< Would you vote for me in this term? Changes nothing at the receiver.
    PreVoteReply,
    Vote,
    VoteReply,
    Append, ///< Entries after `index`, or none as a heartbeat.
    AppendReply,
    Snapshot, ///< A part of a snapshot that ends at `index`.
    SnapshotReply,
    TimeoutNow, ///< Start an election at once, for a leadership transfer.
};

/// A message between participants. A receiver ignores one whose `to` is not its own identity, so that an instance
/// with a new disk at an old address never answers for the identity it lost.
struct RaftMessage {
    std::uint8_t kind = 0;
    InstanceId to;
    std::uint64_t term = 0; ///< The sender's term; for PreVote and a granted reply to it, the proposed term.
    std::uint64_t index = 0; ///< Votes: last index. Append: index before the entries. AppendReply: matched or rejected index.
    std::uint64_t logTerm = 0; ///< Term of the entry at `index`; in a rejection, of the entry at `hint`.
    std::uint64_t hint = 0; ///< AppendReply: highest index that may match. SnapshotReply: bytes held.
    std::uint64_t commit = 0; ///< Append: the leader's commit index.
    bool isGranted = false; ///< Replies: vote granted, or entries appended.
    bool isForced = false; ///< Vote: asked for by the leader, so a live leader is no reason to refuse.
    std::uint64_t round = 0; ///< Append and Snapshot: number of the read round, echoed by replies.
    std::int64_t sentAt = 0; ///< Append and Snapshot: the leader's time in nanoseconds, echoed by replies.
    std::uint64_t offset = 0; ///< Snapshot and SnapshotReply: position of the part in bytes.
    std::uint64_t total = 0; ///< Snapshot: size of the whole in bytes.
    std::string data; ///< Snapshot: the part.
    std::vector<LogEntry> entries; ///< Append: contiguous, after `index`.

    [[nodiscard]] MessageKind messageKind() const noexcept { return static_cast<MessageKind>(kind); }

    friend bool operator==(const RaftMessage&, const RaftMessage&) = default;
    MSGPACK_DEFINE(kind, to, term, index, logTerm, hint, commit, isGranted, isForced, round, sentAt, offset, total, data, entries)
};

}
