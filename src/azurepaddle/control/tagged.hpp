#pragma once

#include "azurepaddle/control/types.hpp"

#include <fmt/format.h>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <variant>

namespace azurepaddle::control::internal {

/// Wire format of a variant: the tag of the alternative and its encoded value.
struct TaggedValue {
    std::uint32_t tag = 0;
    std::string body;
    MSGPACK_DEFINE(tag, body)
};

template <typename Variant>
[[nodiscard]] TaggedValue toTaggedValue(const Variant& value)
{
    return std::visit(
        [](const auto& alternative) {
            return TaggedValue { std::decay_t<decltype(alternative)>::tag, codec::encode(alternative) };
        },
        value);
}

template <typename Variant, typename Alternative>
[[nodiscard]] tl::expected<Variant, ControlError> decodeAlternative(std::string_view body)
{
    auto alternative = codec::decode<Alternative>(body);
    if (!alternative)
        return makeError(ControlErrorCode::Malformed, fmt::format("tag {}: {}", Alternative::tag, alternative.error().message()));
    return Variant(std::move(*alternative));
}

template <typename Variant>
struct TaggedDecoder;

template <typename... Alternatives>
struct TaggedDecoder<std::variant<Alternatives...>> {
    using Variant = std::variant<Alternatives...>;

    [[nodiscard]] static tl::expected<Variant, ControlError> decode(const TaggedValue& tagged)
    {
        tl::expected<Variant, ControlError> result
            = makeError(ControlErrorCode::UnknownTag, fmt::format("tag {} is not known to this version", tagged.tag));
        static_cast<void>(
            ((tagged.tag == Alternatives::tag && (result = decodeAlternative<Variant, Alternatives>(tagged.body), true)) || ...));
        return result;
    }
};

}
