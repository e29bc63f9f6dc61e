#include "azurepaddle/membership/delta.hpp"

namespace azurepaddle::membership {

namespace {

    // No change is added to a batch once it exceeds about 64 KiB; the last announcement adds at most about 20 KiB.
    constexpr codec::Limits batchLimits { .bytes = 1024U * 1024U, .elements = 65536, .depth = 8 };
    constexpr codec::Limits requestLimits { .bytes = 65536, .elements = 16384, .depth = 4 };

}

std::string encodeRequest(const DeltaRequest& request)
{
    return codec::encode(request);
}

tl::expected<DeltaRequest, codec::CodecError> decodeRequest(std::string_view bytes)
{
    return codec::decode<DeltaRequest>(bytes, requestLimits);
}

std::string encodeBatch(const DeltaBatch& batch)
{
    return codec::encode(batch);
}

tl::expected<DeltaBatch, codec::CodecError> decodeBatch(std::string_view bytes)
{
    return codec::decode<DeltaBatch>(bytes, batchLimits);
}

}
