#include "azurepaddle/control/command.hpp"

#include "azurepaddle/control/tagged.hpp"

namespace azurepaddle::control {

namespace {

    struct EncodedCommand {
        CommandId id;
        LogTime issued = 0;
        LogTime time = 0;
        internal::TaggedValue action;
        MSGPACK_DEFINE(id, issued, time, action)
    };

    ControlError toControlError(const codec::CodecError& error)
    {
        return { ControlErrorCode::Malformed, error.message() };
    }

}

std::string encodeCommand(const ControlCommand& command)
{
    return codec::encode(EncodedCommand { command.id, command.issued, command.time, internal::toTaggedValue(command.action) });
}

tl::expected<ControlCommand, ControlError> decodeCommand(std::string_view bytes)
{
    auto decoded = codec::decode<EncodedCommand>(bytes);
    if (!decoded)
        return tl::unexpected(toControlError(decoded.error()));
    auto action = internal::TaggedDecoder<ControlAction>::decode(decoded->action);
    if (!action)
        return tl::unexpected(action.error());
    return ControlCommand { std::move(decoded->id), decoded->issued, decoded->time, std::move(*action) };
}

std::string encodeReply(const ControlReply& reply)
{
    return codec::encode(internal::toTaggedValue(reply));
}

tl::expected<ControlReply, ControlError> decodeReply(std::string_view bytes)
{
    auto tagged = codec::decode<internal::TaggedValue>(bytes);
    if (!tagged)
        return tl::unexpected(toControlError(tagged.error()));
    return internal::TaggedDecoder<ControlReply>::decode(*tagged);
}

}
