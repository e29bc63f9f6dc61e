#pragma once

#include "azurepaddle/membership/member.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace azurepaddle::membership {

enum class GossipKind : unsigned char {
    Ping, ///< Requests an Ack with the same sequence number from `to`.
    Ack,
    PingRequest, ///< Requests that `to` probes `target` and forwards its Ack.
    SyncRequest, ///< Requests the members after the cursor, unless the digests of both tables are equal.
    SyncPage, ///< Members in the order of their identifiers; the last page has an empty cursor.
};

constexpr std::uint8_t gossipKindCount = 5;

/// One message between two member tables.
struct GossipMessage {
    std::uint8_t kindCode = 0;
    InstanceId from;
    std::string fromAddress; ///< Listening address of the sender's PeerServer.
    InstanceId to; ///< Empty if only the address is known.
    std::uint64_t sequence = 0;
    std::uint64_t incarnation = 0; ///< Of the sender.
    std::uint64_t revision = 0; ///< Of the sender's metadata.
    std::uint64_t knownIncarnation = 0; ///< Of the receiver, in the sender's table.
    std::uint64_t knownRevision = 0;
    InstanceId target;
    std::string targetAddress;
    std::uint64_t digest = 0; ///< 0 requests a page unconditionally.
    std::string cursor;
    std::vector<MemberRecord> updates;
    MSGPACK_DEFINE(kindCode, from, fromAddress, to, sequence, incarnation, revision, knownIncarnation, knownRevision, target,
        targetAddress, digest, cursor, updates)

    [[nodiscard]] GossipKind kind() const noexcept { return static_cast<GossipKind>(kindCode); }

    friend bool operator==(const GossipMessage&, const GossipMessage&) = default;
};

/// A message to send. Messages may be delivered in any order and have no direct response.
struct OutgoingGossip {
    std::string address; ///< `ip:port`
    std::string bytes;
};

[[nodiscard]] std::string encodeGossip(const GossipMessage& message);

/// Decodes a message of at most 64 KiB. Malformed if the kind, an identifier or a record is invalid.
[[nodiscard]] tl::expected<GossipMessage, MemberError> decodeGossip(std::string_view bytes);

}
