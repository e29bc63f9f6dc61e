#include "azurepaddle/rollout/sample.hpp"

namespace azurepaddle::rollout {

std::size_t SampleBody::bytes() const noexcept
{
    return sizeof(SampleBody) + text.size() + finishReason.size() + spans.size() * sizeof(Span);
}

std::optional<VersionRange> checkLabels(const SampleBody& body, WeightVersion newestAnnounced)
{
    if (body.spans.empty() || body.tokens == 0)
        return std::nullopt;
    std::uint64_t covered = 0;
    WeightVersion last = 0;
    for (const Span& span : body.spans) {
        if (span.firstToken != covered || span.tokens == 0 || !span.version)
            return std::nullopt;
        if (*span.version < last || *span.version > newestAnnounced)
            return std::nullopt;
        last = *span.version;
        covered += span.tokens;
    }
    if (covered != body.tokens)
        return std::nullopt;
    return VersionRange { *body.spans.front().version, last };
}

}
