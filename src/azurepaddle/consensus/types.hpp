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
    NotLeader, ///< The caller should retry at the leader named in the error, if one is known. Nothing was appended.
    Busy, ///< Too many uncommitted bytes, or a leadership transfer is in progress. Nothing was appended.
    TooLarge, ///< The proposal exceeds the size of a log record.
    ChangePending, ///< An earlier membership change, or the first entry of this leader, is not committed yet.
    InvalidChange, ///< The change does not apply to the current membership.
    NotCaughtUp, ///< The learner lags too many entries behind to become a voter, or has not answered lately.
    AlreadyStarted, ///< The instance already has a log and cannot bootstrap a group.
    StorageFailed, ///< A write failed. The process must stop.
};

/// Reason why a call was rejected, and the leader if it is known.
struct RaftError {
    RaftErrorCode code = RaftErrorCode::NotLeader;
    std::string message;
    InstanceId leader; ///< Empty if unknown.

    friend bool operator==(const RaftError&, const RaftError&) = default;
};

template <typename T>
using RaftResult = tl::expected<T, RaftError>;

/// Timeouts and limits of a participant. They must be equal on all participants of a group.
struct RaftSettings {
    Duration electionTimeout = std::chrono::milliseconds(500); ///< Minimum; the maximum is twice that.
    Duration heartbeatInterval = std::chrono::milliseconds(100);
    Duration preVoteRetryInterval = std::chrono::milliseconds(150); ///< Minimum time between two pre-votes; the maximum is twice that.
    double clockDrift = 0.1; ///< Largest relative difference in rate between two clocks, which shortens the lease.
    std::size_t maxAppendBytes = 1024U * 1024U; ///< Maximum size of the entries in one message, unless a single entry is larger.
    std::uint64_t maxInFlightEntries = 4096; ///< Maximum number of entries sent to a participant but not yet acknowledged.
    std::size_t maxUncommittedBytes = 64U * 1024U * 1024U; ///< Proposals beyond this size are rejected.
    std::size_t maxPendingReads = 65536; ///< Reads beyond this number are rejected.
    std::size_t maxReadyBytes = 16U * 1024U * 1024U; ///< Maximum size of the committed entries in one Ready, unless a single entry is larger.
    std::uint64_t maxReadyEntries = 65536; ///< Maximum number of committed entries in one Ready.
    std::size_t snapshotChunkBytes = 256U * 1024U;
    std::uint64_t maxSnapshotBytes = 512U * 1024U * 1024U; ///< Largest snapshot accepted from a leader.
    std::uint64_t trailingEntries = 4096; ///< Entries kept before the snapshot index, so that participants that lag slightly need no snapshot.
    std::uint64_t maxPromotionLag = 64; ///< Maximum number of entries that a learner may lack to be promoted.
    std::string scratchFolder; ///< Folder for the data of older entries; if empty, all data stays in memory.
};

/// Position of a proposal in the log. The proposal is committed if an entry with this index and term is returned for
/// applying.
struct EntryPosition {
    std::uint64_t index = 0;
    std::uint64_t term = 0;

    friend auto operator<=>(const EntryPosition&, const EntryPosition&) = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 misreads it
};

/// Result of a read request. A confirmed read may be served from any state that includes the entry at `index`.
struct ReadResult {
    std::uint64_t id = 0;
    bool isConfirmed = false;
    std::uint64_t index = 0;
    InstanceId leader; ///< For a rejected read: the leader, if it is known.

    friend bool operator==(const ReadResult&, const ReadResult&) = default;
};

/// A snapshot that replaces the state of the application.
struct ApplicationSnapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::string bytes;

    friend bool operator==(const ApplicationSnapshot&, const ApplicationSnapshot&) = default;
};

/// Work for the driver, to be done in the order of the members.
struct Ready {
    std::optional<ApplicationSnapshot> snapshot; ///< To be installed before the entries are applied.
    std::vector<LogEntry> committed; ///< Entries of kind Command are applied in order; the others carry nothing for the application.
    std::vector<ReadResult> reads; ///< To be answered after the entries are applied.
    std::vector<RaftMessage> messages; ///< To be sent. All state that they refer to is durable.

    [[nodiscard]] bool empty() const noexcept { return !snapshot && committed.empty() && reads.empty() && messages.empty(); }
};

/// Status of a participant, for operators and the driver.
struct RaftStatus {
    InstanceId id;
    RaftRole role = RaftRole::Follower;
    std::uint64_t term = 0;
    InstanceId leader; ///< Empty if unknown.
    std::uint64_t commitIndex = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t snapshotIndex = 0;
    TimePoint leaseEnd; ///< No other participant can be elected before this time. In the past unless this instance is the leader.
    Membership membership; ///< Newest membership in the log, committed or not.
};

/// Requirements on the persistent store of a participant. storage::LogStore satisfies them.
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
