#pragma once

#include "azurepaddle/consensus/membership.hpp"
#include "azurepaddle/consensus/message.hpp"
#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/error.hpp"
#include "azurepaddle/storage/file_system.hpp"

#include <concepts>
#include <span>
#include <string_view>

namespace azurepaddle::consensus {

enum class RaftRole : std::uint8_t {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

enum class RaftErrorCode : unsigned char {
    NotLeader, ///< Ask the leader named in the error, if one is known. Nothing was appended.
    Busy, ///< Too much is waiting for a quorum, or the leadership is being transferred. Nothing was appended.
    TooLarge, ///< The proposal exceeds the size of a log record.
    ChangePending, ///< An earlier membership change, or the first entry of this leader, is not committed yet.
    InvalidChange, ///< The change does not fit the membership.
    NotCaughtUp, ///< The learner misses too many entries to become a voter.
    AlreadyStarted, ///< The group cannot be founded by an instance that has a log.
    StorageFailed, ///< A write failed. The process must stop.
};

/// Why a call was refused and who leads, as far as known.
struct RaftError {
    RaftErrorCode code = RaftErrorCode::NotLeader;
    std::string message;
    InstanceId leader; ///< Empty if unknown.

    friend bool operator==(const RaftError&, const RaftError&) = default;
};

template <typename T>
using RaftResult = tl::expected<T, RaftError>;

/// Times and bounds of a participant. Equal on all participants of a group.
struct RaftSettings {
    Duration electionTimeout = std::chrono::milliseconds(500); ///< Shortest; the longest is twice that.
    Duration heartbeatInterval = std::chrono::milliseconds(100);
    Duration preVoteRetry = std::chrono::milliseconds(150); ///< Shortest time between two pre-votes; the longest is twice that.
    double clockDrift = 0.1; ///< Largest relative difference in speed between two clocks, for the lease.
    std::size_t appendBytes = 1024U * 1024U; ///< Entries of one message, unless a single one is larger.
    std::uint64_t inFlightEntries = 4096; ///< Sent to a participant but not yet acknowledged.
    std::size_t uncommittedBytes = 64U * 1024U * 1024U; ///< Beyond this, proposals are refused.
    std::size_t pendingReads = 65536; ///< Beyond this, reads are refused.
    std::size_t readyBytes = 16U * 1024U * 1024U; ///< Committed entries of one Ready, unless a single one is larger.
    std::size_t snapshotPartBytes = 256U * 1024U;
    std::uint64_t snapshotBytes = 512U * 1024U * 1024U; ///< Largest snapshot accepted from a leader.
    std::uint64_t trailingEntries = 4096; ///< Kept in memory behind a snapshot for participants that lag a little.
    std::uint64_t maxPromotionLag = 64; ///< Entries that a learner may miss when it becomes a voter.
    std::string scratchFolder; ///< Where older entries are kept instead of in memory; empty keeps all in memory.
};

/// Position of a proposal in the log. It is committed if an entry with this index and term is handed out.
struct EntryPosition {
    std::uint64_t index = 0;
    std::uint64_t term = 0;

    friend auto operator<=>(const EntryPosition&, const EntryPosition&) = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 misreads it
};

/// The answer to a read request. A confirmed read may be served from any state that includes `index`.
struct ReadResult {
    std::uint64_t id = 0;
    bool isConfirmed = false;
    std::uint64_t index = 0;
    InstanceId leader; ///< If refused, who leads, as far as known.

    friend bool operator==(const ReadResult&, const ReadResult&) = default;
};

/// Replaces the state of the application.
struct ApplicationSnapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::string bytes;

    friend bool operator==(const ApplicationSnapshot&, const ApplicationSnapshot&) = default;
};

/// What the driver does next, in the order of the members.
struct Ready {
    std::optional<ApplicationSnapshot> snapshot; ///< Install it before applying entries.
    std::vector<LogEntry> committed; ///< Apply those of kind Command, in order.
    std::vector<ReadResult> reads; ///< Answer them after applying the entries.
    std::vector<RaftMessage> messages; ///< Send them. Everything they promise is durable.

    [[nodiscard]] bool empty() const noexcept { return !snapshot && committed.empty() && reads.empty() && messages.empty(); }
};

/// The state of a participant, for operators and the driver.
struct RaftStatus {
    InstanceId id;
    RaftRole role = RaftRole::Follower;
    std::uint64_t term = 0;
    InstanceId leader; ///< Empty if unknown.
    std::uint64_t commitIndex = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t snapshotIndex = 0;
    TimePoint leaseEnd; ///< Until then no other participant can be elected. In the past unless this is the leader.
    Membership membership; ///< The newest in the log, committed or not.
};

/// Where a participant keeps its state. storage::LogStore meets this.
template <typename T>
concept RaftStore = requires(T& store, std::span<const LogEntry> entries, std::uint64_t number, const storage::Vote& vote, std::string_view bytes)
{
    {
        store.append(entries)
        } -> std::same_as<storage::StorageResult<void>>;
    {
        store.truncateSuffix(number)
        } -> std::same_as<storage::StorageResult<void>>;
    {
        store.sync()
        } -> std::same_as<storage::StorageResult<void>>;
    {
        store.saveVote(vote)
        } -> std::same_as<storage::StorageResult<void>>;
    {
        store.saveSnapshot(number, number, bytes)
        } -> std::same_as<storage::StorageResult<void>>;
    {
        store.installSnapshot(number, number, bytes)
        } -> std::same_as<storage::StorageResult<void>>;
};

}
