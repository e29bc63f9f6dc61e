#pragma once

#include "azurepaddle/consensus/membership.hpp"
#include "azurepaddle/core/address.hpp"
#include "azurepaddle/core/ident.hpp"

#include <optional>
#include <string>
#include <vector>

namespace azurepaddle::cluster {

/// The parts of a participant's identity: the name and peer address of its instance, and a random identifier of its
/// data folder. An instance that lost its disk or restarted at another address therefore has a new identity.
struct MemberIdentity {
    std::string name;
    InstanceAddress address;
    std::string folderId;

    friend bool operator==(const MemberIdentity&, const MemberIdentity&) = default;
};

/// Formats an identity as `name@ip:port#folder`.
[[nodiscard]] InstanceId formatIdentity(const MemberIdentity& identity);

/// Parses an identity. Returns nothing if it does not have the form `name@ip:port#folder`.
[[nodiscard]] std::optional<MemberIdentity> parseIdentity(const InstanceId& id);

/// The participants of a membership, voters first. Malformed identities are left out.
[[nodiscard]] std::vector<MemberIdentity> identitiesOf(const consensus::Membership& membership);

}
