#pragma once

#include "azurepaddle/codec/codec.hpp"
#include "azurepaddle/core/error.hpp"
#include "azurepaddle/core/ident.hpp"

#include <cstdint>
#include <string>

namespace azurepaddle::control {

/// Log time in milliseconds since the Unix epoch, taken from the wall clocks of the leaders. Never decreases within one
/// log.
using LogTime = std::int64_t;
using Milliseconds = std::int64_t;
/// Sequence number of a sample that a run hands off to its trainer, starting at 1. 0 means that none is assigned.
using Sequence = std::uint64_t;
/// Fencing token of a lease: increases with every change of its holder.
using Epoch = std::uint64_t;

/// Identifies a command; equal in all its retries.
using CommandId = Identifier<struct CommandTag>;
/// Digest that identifies a request on all instances.
using Fingerprint = Identifier<struct RecordedFingerprintTag>;

/// Largest difference between the wall clocks of two instances that leases and retention windows tolerate.
constexpr Milliseconds maxClockDifference = 500;
/// How long the reply to a command is kept for retries. A command that was first sent longer ago is refused.
constexpr Milliseconds replyRetention = 120'000;
/// Longest lease duration that a command may request.
constexpr Milliseconds maxLeaseDuration = 600'000;
/// Longest deadline of an order to an endpoint. After an order lease has ended, its next holder waits this
/// long before it sends orders.
constexpr Milliseconds maxOrderDeadline = 2'000;
/// Longest name of any kind in a command, in bytes.
constexpr std::size_t maxNameSize = 256;

/// The process that holds a lease or claim: its instance and its incarnation, which increases with every start.
struct Holder {
    InstanceId instance;
    std::uint64_t incarnation = 0;

    [[nodiscard]] bool empty() const noexcept { return instance.empty(); }
    bool operator==(const Holder&) const = default;
    MSGPACK_DEFINE(instance, incarnation)
};

enum class ControlErrorCode : unsigned char {
    Malformed, ///< The bytes do not encode a command, reply or snapshot of this version.
    UnknownTag, ///< The kind of command or reply, or the snapshot version, is not supported by this version.
};

using ControlError = LayerError<ControlErrorCode>;

}
