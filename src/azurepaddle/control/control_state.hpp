#pragma once

#include "azurepaddle/control/command.hpp"
#include "azurepaddle/control/reply_memory.hpp"
#include "azurepaddle/control/run_ledger.hpp"

#include <string>
#include <string_view>

namespace azurepaddle::control {

/// Replicated state machine of one log group. Equal sequences of commands give equal states, replies and snapshots.
/// Performs no I/O and reads no clock. Not thread-safe.
class ControlState {
public:
    /// Applies the next command of the log. A command whose reply is still cached under its id is not applied again;
    /// the cached reply is returned.
    [[nodiscard]] ControlReply apply(const ControlCommand& command);

    [[nodiscard]] std::string snapshot() const;
    /// Replaces the state with that of a snapshot. The state is unchanged on an error.
    [[nodiscard]] tl::expected<void, ControlError> restore(std::string_view bytes);

    /// Highest time of any command applied.
    [[nodiscard]] LogTime now() const noexcept { return m_now; }
    [[nodiscard]] const Configurations& configurations() const noexcept { return m_configurations; }
    [[nodiscard]] const Instances& instances() const noexcept { return m_instances; }
    [[nodiscard]] const OrderLeases& orderLeases() const noexcept { return m_orderLeases; }
    [[nodiscard]] const Claims& claims() const noexcept { return m_claims; }
    [[nodiscard]] const Suspects& suspects() const noexcept { return m_suspects; }
    [[nodiscard]] const RunLedger& runs() const noexcept { return m_runs; }
    /// Number of replies kept for retries.
    [[nodiscard]] std::size_t cachedReplies() const noexcept { return m_replies.size(); }

    bool operator==(const ControlState&) const = default;
    MSGPACK_DEFINE(m_now, m_replies, m_configurations, m_instances, m_orderLeases, m_claims, m_suspects, m_runs)

private:
    [[nodiscard]] ControlReply execute(const ControlCommand& command);
    [[nodiscard]] ControlReply applyAction(const AdvanceTime&) { return Acknowledged {}; }
    [[nodiscard]] ControlReply applyAction(const SubmitConfiguration& action) { return m_configurations.submit(action); }
    [[nodiscard]] ControlReply applyAction(const IssueInstance& action) { return m_instances.issue(action); }
    [[nodiscard]] ControlReply applyAction(const StartInstance& action) { return m_instances.start(action); }
    [[nodiscard]] ControlReply applyAction(const ReportDead& action) { return m_instances.reportDead(action); }
    [[nodiscard]] ControlReply applyAction(const MarkInstanceLost& action) { return m_instances.markLost(action); }
    [[nodiscard]] ControlReply applyAction(const AcquireOrderLease& action) { return m_orderLeases.acquire(action, m_now); }
    [[nodiscard]] ControlReply applyAction(const ReleaseOrderLease& action) { return m_orderLeases.release(action, m_now); }
    [[nodiscard]] ControlReply applyAction(const Claim& action) { return m_claims.claim(action, m_instances, m_now); }
    [[nodiscard]] ControlReply applyAction(const CompleteClaim& action) { return m_claims.complete(action); }
    [[nodiscard]] ControlReply applyAction(const ReleaseClaim& action) { return m_claims.release(action); }
    [[nodiscard]] ControlReply applyAction(const ReportSuspect& action) { return m_suspects.report(action, m_now); }
    [[nodiscard]] ControlReply applyAction(const AcquireTrial& action) { return m_suspects.acquireTrial(action, m_now); }
    [[nodiscard]] ControlReply applyAction(const FinishTrial& action) { return m_suspects.finishTrial(action, m_now); }
    [[nodiscard]] ControlReply applyAction(const UnblockSuspect& action) { return m_suspects.unblock(action); }
    [[nodiscard]] ControlReply applyAction(const AcquireRun& action) { return m_runs.acquire(action, m_now); }
    [[nodiscard]] ControlReply applyAction(const ReleaseRun& action) { return m_runs.release(action, m_now); }
    [[nodiscard]] ControlReply applyAction(const SubmitGroups& action) { return m_runs.submit(action); }
    [[nodiscard]] ControlReply applyAction(const SetTrainerVersion& action) { return m_runs.setVersion(action); }
    [[nodiscard]] ControlReply applyAction(const RecordHandOff& action) { return m_runs.recordHandOff(action); }
    [[nodiscard]] ControlReply applyAction(const ResetRun& action) { return m_runs.reset(action); }
    [[nodiscard]] ControlReply applyAction(const RemoveRun& action) { return m_runs.remove(action); }

    LogTime m_now = 0;
    ReplyCache m_replies;
    Configurations m_configurations;
    Instances m_instances;
    OrderLeases m_orderLeases;
    Claims m_claims;
    Suspects m_suspects;
    RunLedger m_runs;
};

}
