#include "azurepaddle/control/control_state.hpp"

#include "azurepaddle/control/validate.hpp"
#include "azurepaddle/core/invariant.hpp"

#include <algorithm>

namespace azurepaddle::control {

namespace {

    /// Limits of a snapshot. One command stays within the default limits of the codec.
    constexpr codec::Limits snapshotLimits { .bytes = 4ULL * 1024 * 1024 * 1024 - 1, .elements = 256ULL * 1024 * 1024, .depth = 32 };

    constexpr std::uint32_t snapshotVersion = 1;

}

ControlReply ControlState::apply(const ControlCommand& command)
{
    // A new leader's clock may be behind that of the old one.
    m_now = std::max(m_now, command.time);
    m_replies.expire(m_now);
    m_claims.expire(m_now);
    m_suspects.expire(m_now);
    if (const std::string* const first = m_replies.find(command.id)) {
        auto reply = decodeReply(*first);
        AZUREPADDLE_INVARIANT(reply.has_value(), "a remembered reply is damaged");
        return *reply;
    }
    ControlReply reply = execute(command);
    if (!std::holds_alternative<Rejected>(reply) && !std::holds_alternative<AdvanceTime>(command.action))
        m_replies.remember(command.id, encodeReply(reply), m_now);
    return reply;
}

ControlReply ControlState::execute(const ControlCommand& command)
{
    if (command.id.empty() || command.id.value().size() > maxNameSize)
        return Rejected { RejectionReason::InvalidField, "the command id is missing or too long" };
    if (command.issued + replyRetention <= m_now)
        return Rejected { RejectionReason::TooLate, fmt::format("first sent {} ms ago; replies are kept for {} ms", m_now - command.issued, replyRetention) };
    if (command.issued > m_now + maxClockDifference)
        return Rejected { RejectionReason::ClockAhead, fmt::format("the client's clock is {} ms ahead", command.issued - m_now) };
    if (auto problem = internal::findInvalidField(command.action))
        return Rejected { RejectionReason::InvalidField, std::move(*problem) };
    return std::visit([this](const auto& action) { return run(action); }, command.action);
}

std::string ControlState::snapshot() const
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(2);
    packer.pack(snapshotVersion);
    packer.pack(*this);
    return { buffer.data(), buffer.size() };
}

tl::expected<void, ControlError> ControlState::restore(std::string_view bytes)
{
    auto image = codec::decode<msgpack::type::tuple<std::uint32_t, ControlState>>(bytes, snapshotLimits);
    if (!image)
        return makeError(ControlErrorCode::Malformed, fmt::format("snapshot: {}", image.error().message()));
    if (image->get<0>() != snapshotVersion)
        return makeError(ControlErrorCode::UnknownTag, fmt::format("snapshot version {} is not known", image->get<0>()));
    *this = std::move(image->get<1>());
    m_replies.rebuildIndex();
    m_claims.rebuildIndex();
    m_suspects.rebuildIndex();
    return {};
}

}
