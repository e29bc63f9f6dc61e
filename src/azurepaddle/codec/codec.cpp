#include "azurepaddle/codec/codec.hpp"

#include <array>
#include <cstdint>
#include <cstring>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace azurepaddle::codec {

namespace internal {

    tl::expected<msgpack::object_handle, CodecError> unpack(std::string_view bytes, const Limits& limits)
    {
        if (bytes.size() > limits.bytes)
            return makeError(CodecErrorCode::TooLarge, fmt::format("message of {} bytes exceeds {}", bytes.size(), limits.bytes));
        const msgpack::unpack_limit unpackLimit(limits.elements, limits.elements, limits.bytes, limits.bytes, limits.bytes, limits.depth);
        std::size_t offset = 0;
        try {
            auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, unpackLimit);
            if (offset != bytes.size())
                return makeError(CodecErrorCode::Malformed, "bytes follow the message");
            return handle;
        } catch (const msgpack::insufficient_bytes&) {
            return makeError(CodecErrorCode::Truncated, "the message ends early");
        } catch (const msgpack::size_overflow&) {
            return makeError(CodecErrorCode::TooLarge, "an element of the message exceeds its limit");
        } catch (const msgpack::unpack_error&) {
            return makeError(CodecErrorCode::Malformed, "the message is not valid msgpack");
        }
    }

}

namespace {

    void putWord(char* target, std::uint64_t word) noexcept
    {
        for (unsigned i = 0; i < sizeof(word); ++i)
            target[i] = static_cast<char>(word >> (8U * i));
    }

    std::uint64_t getWord(const char* source) noexcept
    {
        std::uint64_t word = 0;
        for (unsigned i = 0; i < sizeof(word); ++i)
            word |= static_cast<std::uint64_t>(static_cast<unsigned char>(source[i])) << (8U * i);
        return word;
    }

    std::uint64_t checksum(std::string_view payload) noexcept
    {
        return XXH3_64bits_withSeed(payload.data(), payload.size(), payload.size());
    }

}

std::string frameHeader(std::string_view payload)
{
    std::string bytes(frameHeaderSize, '\0');
    putWord(bytes.data(), payload.size());
    putWord(bytes.data() + sizeof(std::uint64_t), checksum(payload));
    return bytes;
}

std::string frame(std::string_view payload)
{
    std::string bytes;
    bytes.reserve(frameHeaderSize + payload.size());
    bytes.append(frameHeader(payload)).append(payload);
    return bytes;
}

tl::expected<Framed, CodecError> unframe(std::string_view bytes, std::size_t maxPayload)
{
    if (bytes.size() < frameHeaderSize)
        return makeError(CodecErrorCode::Truncated, "the frame header is incomplete");
    const std::uint64_t length = getWord(bytes.data());
    if (length > maxPayload)
        return makeError(CodecErrorCode::TooLarge, fmt::format("frame of {} bytes exceeds {}", length, maxPayload));
    if (bytes.size() - frameHeaderSize < length)
        return makeError(CodecErrorCode::Truncated, "the frame is incomplete");
    const std::string_view payload = bytes.substr(frameHeaderSize, length);
    if (checksum(payload) != getWord(bytes.data() + sizeof(std::uint64_t)))
        return makeError(CodecErrorCode::Malformed, "the checksum of the frame differs");
    return Framed { payload, frameHeaderSize + static_cast<std::size_t>(length) };
}

}
