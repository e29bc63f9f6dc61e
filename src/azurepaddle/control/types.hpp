#pragma once

#include "azurepaddle/codec/codec.hpp"
#include "azurepaddle/core/error.hpp"
#include "azurepaddle/core/ident.hpp"

#include <cstdint>
#include <string>

namespace azurepaddle::control {

/// Wall time of the log in milliseconds since the Unix epoch. It never falls within one log.
using LogTime = std::int64_t;
/// A length of time in milliseconds.
using Milliseconds = std::int64_t;
/// Number of a sample in the hand-off of a run, from 1. 0 names no sample.
using Sequence = std::uint64_t;
/// Fencing token: counts the holders of a lease.
using Epoch = std::uint64_t;

/// One command over all its retries.
using CommandId = Identifier<struct CommandTag>;
/// Digest of a request that identifies it over all instances.
using Fingerprint = Identifier<struct RecordedFingerprintTag>;

/// Largest difference between the wall clocks of two instances that leases and windows allow for.
constexpr Milliseconds maxClockDifference = 500;
/// How long the reply to a command is kept for retries. A command first sent earlier is refused.
constexpr Milliseconds replyRetention = 120'000;
/// Longest lease that may be asked for.
constexpr Milliseconds maxLease = 600'000;
/// Longest deadline of an order to an endpoint. A successor waits for it after the old lease has ended.
constexpr Milliseconds maxOrderDeadline = 2'000;
/// Longest name of any kind in a command, in bytes.
constexpr std::size_t maxNameSize = 256;

/// A process: the instance and its incarnation, which rises with every start.
struct Holder {
    InstanceId instance;
    std::uint64_t incarnation = 0;

    [[nodiscard]] bool empty() const noexcept { return instance.empty(); }
    bool operator==(const Holder&) const = default;
    MSGPACK_DEFINE(instance, incarnation)
};

enum class ControlErrorCode : unsigned char {
    Malformed, ///< The bytes are no command, reply or snapshot of this version.
    UnknownTag, ///< A newer version wrote a kind of command or reply that this version does not know.
};

using ControlError = LayerError<ControlErrorCode>;

}
