#include "azurepaddle/control/command.hpp"

#include "azurepaddle/control/tagged.hpp"

namespace azurepaddle::control {

namespace {

    struct CommandImage {
        CommandId id;
        LogTime issued = 0;
        LogTime time = 0;
        internal::Tagged action;
        MSGPACK_DEFINE(id, issued, time, action)
    };

    ControlError translate(const codec::CodecError& error)
    {
        return { ControlErrorCode::Malformed, error.message() };
    }

}

std::string encodeCommand(const ControlCommand& command)
{
    return codec::encode(CommandImage { command.id, command.issued, command.time, internal::toTagged(command.action) });
}

tl::expected<ControlCommand, ControlError> decodeCommand(std::string_view bytes)
{
    auto image = codec::decode<CommandImage>(bytes);
    if (!image)
        return tl::unexpected(translate(image.error()));
    auto action = internal::TaggedDecoder<ControlAction>::decode(image->action);
    if (!action)
        return tl::unexpected(action.error());
    return ControlCommand { std::move(image->id), image->issued, image->time, std::move(*action) };
}

std::string encodeReply(const ControlReply& reply)
{
    return codec::encode(internal::toTagged(reply));
}

tl::expected<ControlReply, ControlError> decodeReply(std::string_view bytes)
{
    auto tagged = codec::decode<internal::Tagged>(bytes);
    if (!tagged)
        return tl::unexpected(translate(tagged.error()));
    return internal::TaggedDecoder<ControlReply>::decode(*tagged);
}

}
