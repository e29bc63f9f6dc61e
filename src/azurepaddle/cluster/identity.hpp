#pragma once

#include "azurepaddle/core/address.hpp"
#include "azurepaddle/core/ident.hpp"

#include <optional>
#include <string>

namespace azurepaddle::cluster {

/// The parts of a participant's identity: the name and peer address of its instance, and a text that is new for each
/// data folder. An instance that lost its disk or came back at another address has a new identity.
struct MemberIdentity {
    std::string name;
    InstanceAddress address;
    std::string folder;

    friend bool operator==(const MemberIdentity&, const MemberIdentity&) = default;
};

/// The form `name@ip:port#folder`.
[[nodiscard]] InstanceId formatIdentity(const MemberIdentity& identity);

/// Nothing if the identity does not have that form.
[[nodiscard]] std::optional<MemberIdentity> parseIdentity(const InstanceId& id);

}
