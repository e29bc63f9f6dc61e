#include "azurepaddle/registry/commands.hpp"

#include <utility>

namespace azurepaddle::registry {

namespace {

    /// A command as stored in the replicated log: the index of its type in `Command`, and its encoding. New types are
    /// appended to the variant, so that the indices of existing entries stay valid.
    struct TaggedCommand {
        std::uint32_t type = 0;
        std::string body;
        MSGPACK_DEFINE(type, body)
    };

    template <std::size_t index>
    std::optional<Command> decodeBody(const std::string& body)
    {
        auto decoded = codec::decode<std::variant_alternative_t<index, Command>>(body);
        if (!decoded)
            return std::nullopt;
        return Command(std::move(*decoded));
    }

    template <std::size_t... indices>
    std::optional<Command> decodeType(const TaggedCommand& tagged, std::index_sequence<indices...>)
    {
        std::optional<Command> command;
        static_cast<void>(((tagged.type == indices && (command = decodeBody<indices>(tagged.body), true)) || ...));
        return command;
    }

}

std::string encodeCommand(const Command& command)
{
    std::string body = std::visit([](const auto& alternative) { return codec::encode(alternative); }, command);
    return codec::encode(TaggedCommand { static_cast<std::uint32_t>(command.index()), std::move(body) });
}

std::optional<Command> decodeCommand(std::string_view bytes)
{
    const auto tagged = codec::decode<TaggedCommand>(bytes);
    if (!tagged)
        return std::nullopt;
    return decodeType(*tagged, std::make_index_sequence<std::variant_size_v<Command>>());
}

}
