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

/// A prompt for which a trainer requests samples.
struct GroupSpec {
    GroupId group;
    std::uint64_t step = 0; ///< Training step whose update consumes the group. Groups of lower steps take precedence.
    std::string prompt; ///< Request body for the engine.
    std::uint32_t samples = 0;
    std::uint32_t tokenLimit = 0; ///< Largest number of tokens of a sample.

    bool operator==(const GroupSpec&) const = default;
    MSGPACK_DEFINE(group, step, prompt, samples, tokenLimit)
};

/// Submits groups. Either all are accepted or none; groups that were submitted before are not stored again.
struct SubmitGroups {
    static constexpr std::uint32_t tag = 52;
    RunName run;
    Epoch epoch = 0; ///< Of the owner.
    std::vector<GroupSpec> groups;

    bool operator==(const SubmitGroups&) const = default;
    MSGPACK_DEFINE(run, epoch, groups)
};

/// Reports the trainer's weight version. A version lower than the recorded one changes nothing.
struct SetTrainerVersion {
    static constexpr std::uint32_t tag = 53;
    RunName run;
    Epoch epoch = 0; ///< Of the owner.
    WeightVersion version = 0;

    bool operator==(const SetTrainerVersion&) const = default;
    MSGPACK_DEFINE(run, epoch, version)
};

/// Records one hand-off of samples to the trainer before any byte of it is sent: confirms the cursor, voids whole
/// groups beyond it, and assigns sequence numbers to whole groups, in this order. Nothing is recorded if any part is
/// refused.
struct RecordHandOff {
    static constexpr std::uint32_t tag = 54;
    RunName run;
    Epoch epoch = 0; ///< Of the owner.
    /// Pull of the recorded hand-off that this one is based on; it must be the last one recorded.
    std::uint64_t basePull = 0;
    std::uint64_t pull = 0; ///< Number of the trainer's pull, higher than that of any recorded hand-off.
    Sequence cursor = 0; ///< The trainer has received all samples up to it and none beyond.
    WeightVersion version = 0; ///< Weight version of the trainer.
    std::vector<GroupId> voided;
    std::vector<GroupId> assigned;

    bool operator==(const RecordHandOff&) const = default;
    MSGPACK_DEFINE(run, epoch, basePull, pull, cursor, version, voided, assigned)
};

/// Moves the cursor of a run whose trainer was restored from an older checkpoint. Unconfirmed samples are voided, and
/// groups from the given step on may be submitted again.
struct ResetRun {
    static constexpr std::uint32_t tag = 55;
    RunName run;
    Epoch epoch = 0; ///< Of the owner.
    Sequence checkpointCursor = 0; ///< Cursor of the checkpoint. Samples up to it count as confirmed, as in a hand-off.
    Sequence cursor = 0; ///< New cursor, above the highest sequence number ever assigned.
    WeightVersion version = 0;
    std::uint64_t step = 0;

    bool operator==(const ResetRun&) const = default;
    MSGPACK_DEFINE(run, epoch, checkpointCursor, cursor, version, step)
};

/// Removes a run that has ended, with all its groups and sequence numbers.
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
    NotOwner, ///< The epoch is not that of the current owner.
    NoSuchRun,
    GroupConflict, ///< A group id was submitted earlier with other content.
    StepClosed, ///< The step is older than those whose confirmed groups are retained.
    RunFull, ///< The run holds as many groups or bytes as allowed; submit again after confirming some.
    TooManyRuns,
    BasePullOutdated, ///< Another hand-off was recorded after the one that this one is based on.
    PullSuperseded, ///< A hand-off for this or a later pull is recorded.
    CursorBehind, ///< The cursor is below the confirmed one: the trainer was restored from an older checkpoint.
    CursorInvalid, ///< Neither the confirmed cursor nor the sequence number of an outstanding sample.
    GroupNotAssignable, ///< The group is unknown, assigned already, or confirmed.
    GroupNotVoidable, ///< The group has no assigned samples beyond the cursor.
    ResetCursorTooLow, ///< The new cursor is not above the highest assigned sequence number.
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
    Epoch epoch = 0; ///< Of the current owner.
    Holder owner;
    Milliseconds wait = 0;
    Sequence confirmed = 0; ///< Confirmed cursor.
    Sequence highest = 0; ///< Highest sequence number ever assigned.
    std::uint64_t pull = 0; ///< Highest pull with a recorded hand-off.
    WeightVersion version = 0; ///< Last recorded weight version of the trainer.
    std::vector<AssignedGroup> assigned; ///< Groups assigned by a recorded hand-off, in the order of the command.
    std::vector<GroupId> stored; ///< Groups newly stored by a submission, in the order of the command.
    GroupId group; ///< First group that was refused.
    std::string detail; ///< How to proceed after a refusal.

    bool operator==(const RunReply&) const = default;
    MSGPACK_DEFINE(status, epoch, owner, wait, confirmed, highest, pull, version, assigned, stored, group, detail)
};

}

MSGPACK_ADD_ENUM(azurepaddle::control::RunStatus)
