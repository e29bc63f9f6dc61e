#pragma once

#include "azurepaddle/codec/codec.hpp"
#include "azurepaddle/core/address.hpp"
#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/error.hpp"
#include "azurepaddle/core/ident.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace azurepaddle::membership {

/// Within one incarnation, a state listed later takes precedence over an earlier one.
enum class MemberState : unsigned char {
    Alive,
    Suspect, ///< Did not answer probes; declared dead unless it refutes the suspicion in time.
    Dead, ///< Kept for MemberOptions::deadRetention and probed, so that it can rejoin without a restart.
    Leaving, ///< Announced that it is shutting down.
};

[[nodiscard]] constexpr std::string_view memberStateName(MemberState state) noexcept
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    case MemberState::Leaving:
        return "leaving";
    }
    return "unknown";
}

/// Data that an instance distributes about itself.
struct MemberMetadata {
    std::string peerAddress; ///< `ip:port` of its PeerServer.
    std::string httpAddress; ///< `ip:port` for callers.
    DataCentreName dataCentre;
    std::vector<std::string> roles;
    std::uint64_t configuration = 0; ///< Number of the active configuration.
    bool draining = false;
    MSGPACK_DEFINE(peerAddress, httpAddress, dataCentre, roles, configuration, draining)

    friend bool operator==(const MemberMetadata&, const MemberMetadata&) = default;
};

/// Gossiped record of one instance. A record without a peer address is only a change of state, for receivers that
/// already have the member's metadata.
struct MemberRecord {
    InstanceId id;
    std::uint64_t incarnation = 0; ///< Increased only by the instance itself, at its start and to refute suspicion.
    std::uint8_t stateCode = 0;
    std::uint64_t revision = 0; ///< Of the metadata within the incarnation, from 1.
    MemberMetadata metadata;
    MSGPACK_DEFINE(id, incarnation, stateCode, revision, metadata)

    [[nodiscard]] MemberState state() const noexcept { return static_cast<MemberState>(stateCode); }
    [[nodiscard]] bool isStateOnly() const noexcept { return metadata.peerAddress.empty(); }
    [[nodiscard]] MemberRecord stateOnly() const { return { id, incarnation, stateCode, 0, {} }; }
    void setState(MemberState state) noexcept { stateCode = static_cast<std::uint8_t>(state); }

    friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

/// A change of a member's state.
struct MemberChange {
    InstanceId id;
    MemberState state = MemberState::Alive;

    friend bool operator==(const MemberChange&, const MemberChange&) = default;
};

/// Settings of a MemberTable.
struct MemberOptions {
    InstanceId self;
    MemberMetadata metadata;
    std::vector<std::string> seeds; ///< `ip:port` of peers from the settings; may include the own address.
    Duration probeInterval = std::chrono::seconds(1);
    Duration ackTimeout = std::chrono::milliseconds(300); ///< Time without an Ack after which other members are requested to probe.
    std::size_t indirectProbes = 3;
    Duration minSuspicionTimeout = std::chrono::seconds(4); ///< Lower bound; the timeout increases with the logarithm of the number of members.
    Duration deadRetention = std::chrono::hours(1);
    Duration deadProbeInterval = std::chrono::seconds(2); ///< Interval at which one dead member is probed.
    Duration seedInterval = std::chrono::seconds(2); ///< Interval at which one seed that is not a present member is probed.
    Duration syncInterval = std::chrono::seconds(30); ///< Between comparisons of the complete table with a random member.
    Duration minSyncInterval = std::chrono::seconds(5); ///< Minimum time between comparisons when the tables are expected to differ.
    std::size_t maxMessageBytes = 1200; ///< Chosen so that a message fits into one packet.
    std::size_t maxUpdateBytes = 500; ///< Of the updates in one message; keeps about 4 messages per second below 4 KB/s.
    std::size_t maxMembers = 8192;
    unsigned retransmitFactor = 2; ///< An update is sent this many times the logarithm of the number of members.
};

enum class MemberErrorCode : unsigned char {
    Malformed, ///< The bytes are not a gossip message within the limits.
};

using MemberError = LayerError<MemberErrorCode>;

/// Whether the record has a valid state and no field exceeds its bound.
[[nodiscard]] bool isValid(const MemberRecord& record) noexcept;

}
