#pragma once

#include "azurepaddle/control/types.hpp"

#include <vector>

namespace azurepaddle::control {

/// Acquires or renews the ownership of a run.
struct AcquireRun {
    static constexpr std::uint32_t tag = 50;
    RunName run;
    Holder holder;
    Milliseconds duration = 0;

    bool operator==(const AcquireRun&) const = default;
    MSGPACK_DEFINE(run, holder, duration)
};

struct ReleaseRun {
    static constexpr std::uint32_t tag = 51;
    RunName run;
    Epoch epoch = 0;

    bool operator==(const ReleaseRun&) const = default;
    MSGPACK_DEFINE(run, epoch)
};

/// One prompt for which a trainer wants samples.
struct GroupSpec {
    GroupId group;
    std::uint64_t step = 0; ///< Step whose update consumes the group. Groups of lower steps come first.
    std::string prompt; ///< Request body for the engine.
    std::uint32_t samples = 0;
    std::uint32_t tokenLimit = 0; ///< Longest sample, in tokens.

    bool operator==(const GroupSpec&) const = default;
    MSGPACK_DEFINE(group, step, prompt, samples, tokenLimit)
};

/// Submits groups. All are stored or none; groups that are known already are not stored again.
struct SubmitGroups {
    static constexpr std::uint32_t tag = 52;
    RunName run;
    Epoch epoch = 0; ///< Of the owner.
    std::vector<GroupSpec> groups;

    bool operator==(const SubmitGroups&) const = default;
    MSGPACK_DEFINE(run, epoch, groups)
};

/// Announces the trainer's weight version. A lower one than the one known changes nothing.
struct SetTrainerVersion {
    static constexpr std::uint32_t tag = 53;
    RunName run;
    Epoch epoch = 0; ///< Of the owner.
    WeightVersion version = 0;

    bool operator==(const SetTrainerVersion&) const = default;
    MSGPACK_DEFINE(run, epoch, version)
};

/// Records one hand-off before any byte of it is sent: confirms the cursor, voids whole groups beyond it, and assigns
/// sequence numbers to whole groups, in this order. Nothing is recorded if any part is refused.
struct RecordHandOff {
    static constexpr std::uint32_t tag = 54;
    RunName run;
    Epoch epoch = 0; ///< Of the owner.
    std::uint64_t basedOn = 0; ///< Pull of the last hand-off that the owner knows to be recorded.
    std::uint64_t pull = 0; ///< Number of the trainer's pull, higher than that of any recorded hand-off.
    Sequence cursor = 0; ///< The trainer holds everything up to it and nothing beyond.
    WeightVersion version = 0; ///< The trainer's.
    std::vector<GroupId> voided;
    std::vector<GroupId> assigned;

    bool operator==(const RecordHandOff&) const = default;
    MSGPACK_DEFINE(run, epoch, basedOn, pull, cursor, version, voided, assigned)
};

/// Moves the cursor of a run whose trainer was restored from an older checkpoint. Unconfirmed samples are voided, and
/// groups from the step on may be submitted again.
struct ResetRun {
    static constexpr std::uint32_t tag = 55;
    RunName run;
    Epoch epoch = 0; ///< Of the owner.
    Sequence held = 0; ///< Cursor of the checkpoint. Samples up to it count as confirmed, as in a hand-off.
    Sequence cursor = 0; ///< New cursor, above the highest sequence number ever assigned.
    WeightVersion version = 0;
    std::uint64_t step = 0;

    bool operator==(const ResetRun&) const = default;
    MSGPACK_DEFINE(run, epoch, held, cursor, version, step)
};

/// Forgets a run that has ended, with all its groups and numbers.
struct RemoveRun {
    static constexpr std::uint32_t tag = 56;
    RunName run;

    bool operator==(const RemoveRun&) const = default;
    MSGPACK_DEFINE(run)
};

enum class RunStatus : unsigned char {
    Granted,
    Held, ///< Another instance owns the run; retry after the wait.
    Released,
    Stored,
    Recorded,
    Reset,
    Removed,
    NotOwner, ///< The epoch is not that of the owner in force.
    NoSuchRun,
    GroupConflict, ///< A group id was submitted earlier with other content.
    StepClosed, ///< The step lies before those whose groups are remembered.
    RunFull, ///< The run holds as many groups or bytes as allowed; submit again after confirming some.
    TooManyRuns,
    BasePullOutdated, ///< Another hand-off was recorded since the one that this is based on.
    PullSuperseded, ///< A hand-off for this or a later pull is recorded.
    CursorBehind, ///< Below the confirmed cursor: the trainer was restored from an older checkpoint.
    CursorInvalid, ///< Names no assigned sample.
    GroupNotAssignable, ///< The group is unknown, assigned already, or confirmed.
    GroupNotVoidable, ///< The group has no assigned samples beyond the cursor.
    ResetTooLow, ///< The new cursor is not above the highest assigned sequence number.
};

/// The sequence numbers of all samples of a group, by index.
struct AssignedGroup {
    GroupId group;
    std::vector<Sequence> sequences;

    bool operator==(const AssignedGroup&) const = default;
    MSGPACK_DEFINE(group, sequences)
};

struct RunReply {
    static constexpr std::uint32_t tag = 50;
    RunStatus status = RunStatus::NoSuchRun;
    Epoch epoch = 0; ///< Of the owner in force.
    Holder owner;
    Milliseconds wait = 0;
    Sequence confirmed = 0; ///< Confirmed cursor.
    Sequence highest = 0; ///< Highest sequence number ever assigned.
    std::uint64_t pull = 0; ///< Highest pull with a recorded hand-off.
    WeightVersion version = 0; ///< The trainer's, as known.
    std::vector<AssignedGroup> assigned; ///< By a recorded hand-off, in the order of the command.
    std::vector<GroupId> stored; ///< By a submission: groups that were not known before, in the order of the command.
    GroupId group; ///< First group that was refused.
    std::string detail; ///< How to proceed after a refusal.

    bool operator==(const RunReply&) const = default;
    MSGPACK_DEFINE(status, epoch, owner, wait, confirmed, highest, pull, version, assigned, stored, group, detail)
};

}

MSGPACK_ADD_ENUM(azurepaddle::control::RunStatus)
