#pragma once

#include "azurepaddle/control/run_ledger.hpp"

#include <optional>

namespace azurepaddle::control::internal {

/// A reply with the standing of the run.
[[nodiscard]] RunReply replyFor(const RunRecord& run, RunStatus status);

/// The refusal of a change by someone other than the owner in force, or nothing.
[[nodiscard]] std::optional<RunReply> checkOwner(const RunRecord& run, Epoch epoch);

/// The refusal of a submission, or nothing if every group may be stored or is known with the same content.
[[nodiscard]] std::optional<RunReply> checkSubmission(const RunRecord& run, const std::vector<GroupSpec>& groups);

/// The refusal of a hand-off, or nothing.
[[nodiscard]] std::optional<RunReply> checkHandOff(const RunRecord& run, const RecordHandOff& request);

/// True if the trainer may hold everything up to this cursor and nothing beyond: the confirmed one or a live sample.
[[nodiscard]] bool isCursorValid(const RunRecord& run, Sequence cursor);

/// Stores a group that passed the check. Gives false and does nothing for a known group.
bool storeGroup(RunRecord& run, const GroupSpec& spec);

/// Confirms all samples up to the cursor and forgets the bodies of groups confirmed in full.
void confirm(RunRecord& run, Sequence cursor);

/// Voids the live samples of a group. Their numbers are not used again.
void voidGroup(RunRecord& run, const GroupId& group);

/// Gives the next numbers to all samples of a group that are not confirmed.
AssignedGroup assignGroup(RunRecord& run, const GroupId& group);

/// Forgets the confirmed groups of steps far behind the highest one.
void closeSteps(RunRecord& run);

}
