#include "azurepaddle/cluster/identity.hpp"

#include <fmt/format.h>

namespace azurepaddle::cluster {

InstanceId formatIdentity(const MemberIdentity& identity)
{
    return InstanceId(fmt::format("{}@{}#{}", identity.name, formatAddress(identity.address), identity.folderId));
}

std::optional<MemberIdentity> parseIdentity(const InstanceId& id)
{
    const std::string& text = id.value();
    const std::size_t at = text.find('@');
    const std::size_t hash = text.rfind('#');
    if (at == std::string::npos || hash == std::string::npos || hash < at)
        return std::nullopt;
    const auto address = parseAddress(std::string_view(text).substr(at + 1, hash - at - 1));
    if (!address)
        return std::nullopt;
    return MemberIdentity { text.substr(0, at), *address, text.substr(hash + 1) };
}

std::vector<MemberIdentity> identitiesOf(const consensus::Membership& membership)
{
    std::vector<MemberIdentity> identities;
    for (const auto* ids : { &membership.voters, &membership.learners }) {
        for (const InstanceId& id : *ids) {
            if (auto parts = parseIdentity(id))
                identities.push_back(std::move(*parts));
        }
    }
    return identities;
}

}
