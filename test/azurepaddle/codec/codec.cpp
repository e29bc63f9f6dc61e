#include "azurepaddle/codec/codec.hpp"

#include <criterion/criterion.h>
#include <map>
#include <vector>

using namespace azurepaddle;
using namespace azurepaddle::codec;

namespace {

using Message = std::map<std::string, std::vector<std::uint64_t>>;

Message sampleMessage()
{
    return { { "a", { 1, 2, 3 } }, { "b", {} } };
}

}

// Guards against a value that changes between two instances.
Test(Codec, message_encodedAndDecoded_isEqual)
{
    cr_assert(decode<Message>(encode(sampleMessage())).value() == sampleMessage());
    const TenantName tenant("blue");
    cr_assert(decode<TenantName>(encode(tenant)).value() == tenant);
}

// Guards against a crash or a partial value on a message cut at any byte.
Test(Codec, truncatedMessage_decoded_isRefused)
{
    const std::string bytes = encode(sampleMessage());
    for (std::size_t size = 0; size < bytes.size(); ++size)
        cr_assert(decode<Message>(std::string_view(bytes).substr(0, size)).error().code() == CodecErrorCode::Truncated);
}

// Guards against memory exhaustion by a short message that announces a large array.
Test(Codec, hugeArrayHeader_decoded_isTooLarge)
{
    const std::string bytes("\xdd\xff\xff\xff\xff", 5);
    cr_assert(decode<std::vector<int>>(bytes).error().code() == CodecErrorCode::TooLarge);
}

// Guards against bytes that follow a valid message and are ignored, and against a value of another type.
Test(Codec, trailingBytesOrOtherType_decoded_isMalformed)
{
    cr_assert(decode<Message>(encode(sampleMessage()) + "x").error().code() == CodecErrorCode::Malformed);
    cr_assert(decode<Message>(encode(std::string("text"))).error().code() == CodecErrorCode::Malformed);
}

// Guards against accepting a record that was written partially or changed.
Test(Frame, changedOrTornFrame_read_isRefused)
{
    const std::string bytes = frame("payload");
    cr_assert(unframe(bytes)->payload == "payload");
    for (std::size_t size = 0; size < bytes.size(); ++size)
        cr_assert(unframe(std::string_view(bytes).substr(0, size)).error().code() == CodecErrorCode::Truncated);
    for (std::size_t at = codec::frameHeaderSize; at < bytes.size(); ++at) {
        std::string changed = bytes;
        changed[at] = static_cast<char>(changed[at] ^ 1);
        cr_assert(unframe(changed).error().code() == CodecErrorCode::Malformed);
    }
}
