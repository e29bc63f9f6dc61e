#pragma once

#include "azurepaddle/control/claims.hpp"
#include "azurepaddle/control/configurations.hpp"
#include "azurepaddle/control/instances.hpp"
#include "azurepaddle/control/order_leases.hpp"
#include "azurepaddle/control/run_commands.hpp"
#include "azurepaddle/control/suspects.hpp"

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>

namespace azurepaddle::control {

/// Only advances the log time, so that leases and retention windows expire when no other commands arrive.
struct AdvanceTime {
    static constexpr std::uint32_t tag = 2;

    bool operator==(const AdvanceTime&) const = default;
    MSGPACK_DEFINE()
};

/// Operation of a command, with its arguments.
using ControlAction = std::variant<AdvanceTime, SubmitConfiguration, IssueInstance, StartInstance, ReportDead, MarkInstanceLost,
    AcquireOrderLease, ReleaseOrderLease, Claim, CompleteClaim, ReleaseClaim, ReportSuspect, AcquireTrial, FinishTrial, UnblockSuspect,
    AcquireRun, ReleaseRun, SubmitGroups, SetTrainerVersion, RecordHandOff, ResetRun, RemoveRun>;

/// One entry of the log.
struct ControlCommand {
    CommandId id; ///< Equal in all retries.
    LogTime issued = 0; ///< Wall time of the client when it first sent the command; equal in all retries.
    LogTime time = 0; ///< Wall time of the leader when it proposed the command.
    ControlAction action;

    bool operator==(const ControlCommand&) const = default;
};

/// Reply to a valid command that has no other effect than advancing the log time.
struct Acknowledged {
    static constexpr std::uint32_t tag = 2;

    bool operator==(const Acknowledged&) const = default;
    MSGPACK_DEFINE()
};

enum class RejectionReason : unsigned char {
    InvalidField, ///< A field exceeds its limit or is missing.
    TooLate, ///< First sent longer ago than replies are kept; it may have been applied already.
    ClockAhead, ///< The first send time is ahead of the log time by more than maxClockDifference.
};

/// The command was not applied.
struct Rejected {
    static constexpr std::uint32_t tag = 3;
    RejectionReason reason = RejectionReason::InvalidField;
    std::string detail;

    bool operator==(const Rejected&) const = default;
    MSGPACK_DEFINE(reason, detail)
};

using ControlReply
    = std::variant<Acknowledged, Rejected, ConfigurationReply, InstanceReply, OrderLeaseReply, ClaimReply, SuspectReply, RunReply>;

[[nodiscard]] std::string encodeCommand(const ControlCommand& command);
[[nodiscard]] tl::expected<ControlCommand, ControlError> decodeCommand(std::string_view bytes);
[[nodiscard]] std::string encodeReply(const ControlReply& reply);
[[nodiscard]] tl::expected<ControlReply, ControlError> decodeReply(std::string_view bytes);

}

MSGPACK_ADD_ENUM(azurepaddle::control::RejectionReason)
