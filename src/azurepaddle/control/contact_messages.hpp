#pragma once

// Messages by which the instances of a deployment remember each other and find each other again after a restart.

#include "azurepaddle/codec/codec.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace azurepaddle::control {

/// What an instance of the deployment does.
enum class ContactRole : unsigned char {
    Store, ///< Has a disk and may take part in the group.
    Entry, ///< Polls store instances and has no disk.
};

/// An instance as another one remembers it.
struct ContactRecord {
    std::string address; ///< Peer address.
    ContactRole role = ContactRole::Store;
    std::uint32_t silentSeconds = 0; ///< Time since anyone heard from it.

    friend bool operator==(const ContactRecord&, const ContactRecord&) = default;
    MSGPACK_DEFINE(address, role, silentSeconds)
};

/// Tells the leader whom the sender hears from, and compares what both remember. What differs is exchanged by buckets of
/// addresses, so that one changed contact does not cost a transfer of all.
struct ContactReport {
    static constexpr std::string_view method = "contacts";

    InstanceId identity; ///< Of the sender.
    std::uint64_t digest = 0; ///< Of all contacts that the sender remembers.
    std::vector<ContactRecord> heard; ///< Contacts that the sender itself heard from since its last report.
    std::vector<std::uint8_t> differing; ///< Buckets to exchange. Empty in the first report after a change.
    std::vector<ContactRecord> remembered; ///< The sender's contacts in these buckets.
    MSGPACK_DEFINE(identity, digest, heard, differing, remembered)
};

struct ContactReply {
    std::uint64_t digest = 0; ///< Of all contacts that the replying instance remembers, including the reported ones.
    std::vector<std::uint64_t> bucketDigests; ///< Of its contacts by bucket; empty if the digests are equal.
    std::vector<ContactRecord> remembered; ///< Its contacts in the buckets that the report names.
    MSGPACK_DEFINE(digest, bucketDigests, remembered)
};

/// Tells an entry instance that no store instance hears from where the group is.
struct Announcement {
    static constexpr std::string_view method = "announce";

    std::vector<std::string> members; ///< Peer addresses of the participants.
    MSGPACK_DEFINE(members)
};

struct AnnouncementReply {
    bool isInContact = false; ///< A store instance answers the entry instance.
    MSGPACK_DEFINE(isInContact)
};

}

MSGPACK_ADD_ENUM(azurepaddle::control::ContactRole)
