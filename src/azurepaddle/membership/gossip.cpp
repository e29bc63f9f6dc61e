#include "azurepaddle/membership/gossip.hpp"

#include <algorithm>

namespace azurepaddle::membership {

namespace {

    constexpr codec::Limits gossipLimits { .bytes = 65536, .elements = 1024, .depth = 8 };
    constexpr std::size_t maxNameBytes = 64;
    constexpr std::size_t maxRoles = 8;
    constexpr std::size_t maxRoleBytes = 32;

    bool hasValidLength(const std::string& text) noexcept
    {
        return text.size() <= maxNameBytes;
    }

    bool isValidRole(const std::string& role) noexcept
    {
        return role.size() <= maxRoleBytes;
    }

    bool isValid(const GossipMessage& message) noexcept
    {
        if (message.kindCode >= gossipKindCount || message.from.empty() || message.fromAddress.empty())
            return false;
        if (!hasValidLength(message.from.value()) || !hasValidLength(message.fromAddress) || !hasValidLength(message.to.value()))
            return false;
        if (!hasValidLength(message.target.value()) || !hasValidLength(message.targetAddress) || !hasValidLength(message.cursor))
            return false;
        return std::all_of(message.updates.begin(), message.updates.end(), [](const MemberRecord& record) { return membership::isValid(record); });
    }

}

bool isValid(const MemberRecord& record) noexcept
{
    const MemberMetadata& metadata = record.metadata;
    if (record.id.empty() || record.stateCode > static_cast<std::uint8_t>(MemberState::Leaving))
        return false;
    if (!hasValidLength(record.id.value()) || !hasValidLength(metadata.peerAddress) || !hasValidLength(metadata.httpAddress) || !hasValidLength(metadata.dataCentre.value()))
        return false;
    return metadata.roles.size() <= maxRoles && std::all_of(metadata.roles.begin(), metadata.roles.end(), isValidRole);
}

std::string encodeGossip(const GossipMessage& message)
{
    return codec::encode(message);
}

tl::expected<GossipMessage, MemberError> decodeGossip(std::string_view bytes)
{
    auto message = codec::decode<GossipMessage>(bytes, gossipLimits);
    if (!message)
        return makeError(MemberErrorCode::Malformed, message.error().message());
    if (!isValid(*message))
        return makeError(MemberErrorCode::Malformed, "a field of the gossip message is out of its bounds");
    return std::move(*message);
}

}
