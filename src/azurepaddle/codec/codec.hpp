#pragma once

#include "azurepaddle/core/error.hpp"
#include "azurepaddle/core/ident.hpp"

#include <cstddef>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace azurepaddle::codec {

enum class CodecErrorCode : unsigned char {
    TooLarge, ///< The message exceeds a limit.
    Truncated, ///< The message ends early.
    Malformed, ///< The bytes are not of the expected type, are followed by further bytes, or do not match the checksum.
};

using CodecError = LayerError<CodecErrorCode>;

/// Upper bounds of a message to decode.
struct Limits {
    std::size_t bytes = 16U * 1024U * 1024U;
    std::size_t elements = 1024U * 1024U; ///< Entries of one array or map.
    std::size_t depth = 32;
};

namespace internal {

    [[nodiscard]] tl::expected<msgpack::object_handle, CodecError> unpack(std::string_view bytes, const Limits& limits);

}

/// Encodes a value that msgpack can pack. The encoding of a value never changes between instances of one version.
template <typename T>
[[nodiscard]] std::string encode(const T& value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return { buffer.data(), buffer.size() };
}

/// Decodes exactly one value and refuses trailing bytes.
template <typename T>
[[nodiscard]] tl::expected<T, CodecError> decode(std::string_view bytes, const Limits& limits = {})
{
    auto handle = internal::unpack(bytes, limits);
    if (!handle)
        return tl::unexpected(handle.error());
    try {
        return handle->get().as<T>();
    } catch (const msgpack::type_error&) {
        return makeError(CodecErrorCode::Malformed, "the message does not have the expected type");
    }
}

/// Size in bytes of the length and checksum that precede a framed payload.
constexpr std::size_t frameHeaderSize = 16;

/// The length and checksum of a payload, so that a large payload can be written after them without copying it.
[[nodiscard]] std::string frameHeader(std::string_view payload);

/// Prepends length and checksum to a payload, for files whose last write may be incomplete.
[[nodiscard]] std::string frame(std::string_view payload);

/// One payload and the number of bytes that its frame takes.
struct Framed {
    std::string_view payload;
    std::size_t size = 0;
};

/// Decodes the frame at the start of the bytes. Truncated if more bytes are needed, malformed if the checksum differs.
[[nodiscard]] tl::expected<Framed, CodecError> unframe(std::string_view bytes, std::size_t maxPayload = Limits {}.bytes);

}

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

        template <typename Tag>
        struct convert<azurepaddle::Identifier<Tag>> {
            const msgpack::object& operator()(const msgpack::object& object, azurepaddle::Identifier<Tag>& identifier) const
            {
                identifier = azurepaddle::Identifier<Tag>(object.as<std::string>());
                return object;
            }
        };

        template <typename Tag>
        struct pack<azurepaddle::Identifier<Tag>> {
            template <typename Stream>
            msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& packer, const azurepaddle::Identifier<Tag>& identifier) const
            {
                return packer.pack(identifier.value());
            }
        };

    }
}
}
