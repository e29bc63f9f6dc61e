#pragma once

#include "azurepaddle/control/run_ledger.hpp"

#include <optional>

namespace azurepaddle::control::internal {

/// A reply with the status and the current owner, cursors and versions of the run.
[[nodiscard]] RunReply replyFor(const RunRecord& run, RunStatus status);

/// Checks that the epoch is that of the current owner. Returns the refusal if not.
[[nodiscard]] std::optional<RunReply> checkOwner(const RunRecord& run, Epoch epoch);

/// Checks that every group can be stored or was submitted before with the same content. Returns the refusal if not.
[[nodiscard]] std::optional<RunReply> checkSubmission(const RunRecord& run, const std::vector<GroupSpec>& groups);

/// Checks that every part of a hand-off can be recorded. Returns the refusal if not.
[[nodiscard]] std::optional<RunReply> checkHandOff(const RunRecord& run, const RecordHandOff& request);

/// True if a trainer may have received exactly the samples up to the cursor: the cursor is the confirmed one or the
/// sequence number of an outstanding sample.
[[nodiscard]] bool isCursorValid(const RunRecord& run, Sequence cursor);

/// Stores a group that passed checkSubmission. Returns false and does nothing if the group was submitted before.
bool storeGroup(RunRecord& run, const GroupSpec& spec);

/// Confirms all samples up to the cursor. Of fully confirmed groups only the digest is retained.
void confirm(RunRecord& run, Sequence cursor);

/// Voids the outstanding samples of a group. Their sequence numbers are not reused.
void voidGroup(RunRecord& run, const GroupId& group);

/// Assigns the next sequence numbers to all unconfirmed samples of a group.
AssignedGroup assignGroup(RunRecord& run, const GroupId& group);

/// Closes steps that are more than retainedSteps below the highest one, or the oldest step if more than
/// maxConfirmedGroups are retained, and removes the confirmed groups of closed steps.
void closeOldSteps(RunRecord& run);

}
