#include "azurepaddle/control/query.hpp"

#include "azurepaddle/control/tagged.hpp"

#include <algorithm>

namespace azurepaddle::control {

namespace {

    ControlAnswer answer(const ControlState& state, const ConfigurationQuery& query)
    {
        ConfigurationAnswer result { state.configurations().updateSince(query.since), {} };
        for (const auto& [fingerprint, record] : state.suspects().records())
            result.suspects.push_back(fingerprint);
        return result;
    }

    ControlAnswer answer(const ControlState& state, const HistoryQuery& query)
    {
        const auto& history = state.configurations().history();
        const auto count = static_cast<std::ptrdiff_t>(std::min<std::size_t>(query.limit, history.size()));
        return HistoryAnswer { { history.end() - count, history.end() } };
    }

    ControlAnswer answer(const ControlState& state, const RunQuery& query)
    {
        const RunRecord* record = state.runs().find(query.run);
        return record ? RunAnswer { true, *record } : RunAnswer {};
    }

    ControlAnswer answer(const ControlState& state, const RunsQuery&)
    {
        RunsAnswer result;
        for (const auto& [name, run] : state.runs().runs())
            result.runs.push_back({ name, run.owner, run.epoch, run.version, run.confirmed, run.highest, run.groups.size() });
        return result;
    }

    ControlAnswer answer(const ControlState& state, const SuspectsQuery&)
    {
        return SuspectsAnswer { state.suspects().records() };
    }

    ControlAnswer answer(const ControlState& state, const OrderLeasesQuery&)
    {
        return OrderLeasesAnswer { state.orderLeases().leases() };
    }

    template <typename Variant>
    tl::expected<Variant, ControlError> decodeVariant(std::string_view bytes)
    {
        const auto tagged = codec::decode<internal::TaggedValue>(bytes);
        if (!tagged)
            return makeError(ControlErrorCode::Malformed, tagged.error().message());
        return internal::TaggedDecoder<Variant>::decode(*tagged);
    }

}

ControlAnswer answerQuery(const ControlState& state, const ControlQuery& query)
{
    return std::visit([&](const auto& concreteQuery) { return answer(state, concreteQuery); }, query);
}

std::string encodeQuery(const ControlQuery& query)
{
    return codec::encode(internal::toTaggedValue(query));
}

tl::expected<ControlQuery, ControlError> decodeQuery(std::string_view bytes)
{
    return decodeVariant<ControlQuery>(bytes);
}

std::string encodeAnswer(const ControlAnswer& answer)
{
    return codec::encode(internal::toTaggedValue(answer));
}

tl::expected<ControlAnswer, ControlError> decodeAnswer(std::string_view bytes)
{
    return decodeVariant<ControlAnswer>(bytes);
}

}
