#include "azurepaddle/control/control_state.hpp"

#include "azurepaddle/control/validate.hpp"
#include "azurepaddle/core/invariant.hpp"

#include <algorithm>

namespace azurepaddle::control {

namespace {

    /// Decoding limits of a snapshot. Single commands stay within the default limits of the codec.
    constexpr codec::Limits snapshotLimits { .bytes = 4ULL * 1024 * 1024 * 1024 - 1, .elements = 256ULL * 1024 * 1024, .depth = 32 };

    constexpr std::uint32_t snapshotVersion = 1;

}

ControlReply ControlState::apply(const ControlCommand& command)
{
    // The clock of a new leader may be behind that of the previous one.
    m_now = std::max(m_now, command.time);
    m_replies.expire(m_now);
    m_claims.expire(m_now);
    m_suspects.expire(m_now);
    if (const std::string* const cachedReply = m_replies.find(command.id)) {
        auto reply = decodeReply(*cachedReply);
        AZUREPADDLE_INVARIANT(reply.has_value(), "a cached command reply cannot be decoded");
        return *reply;
    }
    ControlReply reply = execute(command);
    if (!std::holds_alternative<Rejected>(reply) && !std::holds_alternative<AdvanceTime>(command.action))
        m_replies.store(command.id, encodeReply(reply), m_now);
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
    if (auto fieldProblem = internal::findInvalidField(command.action))
        return Rejected { RejectionReason::InvalidField, std::move(*fieldProblem) };
    return std::visit([this](const auto& action) { return applyAction(action); }, command.action);
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
    auto decoded = codec::decode<msgpack::type::tuple<std::uint32_t, ControlState>>(bytes, snapshotLimits);
    if (!decoded)
        return makeError(ControlErrorCode::Malformed, fmt::format("snapshot: {}", decoded.error().message()));
    if (decoded->get<0>() != snapshotVersion)
        return makeError(ControlErrorCode::UnknownTag, fmt::format("snapshot version {} is not supported", decoded->get<0>()));
    *this = std::move(decoded->get<1>());
    m_replies.rebuildIndex();
    m_claims.rebuildIndex();
    m_suspects.rebuildIndex();
    return {};
}

}
