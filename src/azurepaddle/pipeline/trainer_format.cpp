#include "azurepaddle/pipeline/trainer_format.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace azurepaddle::pipeline {

namespace {

    using Json = nlohmann::json;

    constexpr std::uint32_t maxSamplesPerPull = 65536;
    constexpr std::int64_t maxWaitMs = 60'000;
    constexpr Duration busyRetryDelay = std::chrono::milliseconds(100);

    /// Parses the body as a JSON object and reads its fields. A missing field or one of another type is a bad request.
    template <typename Value, typename Read>
    PipelineResult<Value> parseObject(std::string_view body, const Read& readFields)
    {
        const auto object = Json::parse(body, nullptr, false);
        if (!object.is_object())
            return refuse(PipelineErrorCode::BadRequest, "the body is not a JSON object");
        try {
            return readFields(object);
        } catch (const Json::exception& exception) {
            return refuse(PipelineErrorCode::BadRequest, fmt::format("a field of the body is missing or has another type: {}", exception.what()));
        }
    }

    control::GroupSpec readGroup(const Json& entry)
    {
        control::GroupSpec spec;
        spec.group = GroupId(entry.at("id").get<std::string>());
        spec.step = entry.at("step").get<std::uint64_t>();
        spec.prompt = entry.at("prompt").get<std::string>();
        spec.samples = entry.at("samples").get<std::uint32_t>();
        spec.tokenLimit = entry.at("max_tokens").get<std::uint32_t>();
        return spec;
    }

    Json formatSpans(const rollout::SampleBody& body)
    {
        Json spans = Json::array();
        for (const auto& span : body.spans)
            spans.push_back({ { "from", span.firstToken }, { "tokens", span.tokens }, { "weight_version", span.version.value_or(0) } });
        return spans;
    }

    Json formatSample(const rollout::HandOffSample& sample)
    {
        Json entry { { "sequence", sample.sequence }, { "group", sample.key.group.value() }, { "index", sample.key.index }, { "step", sample.step },
            { "text", sample.body->text }, { "tokens", sample.body->tokens }, { "finish_reason", sample.body->finishReason }, { "spans", formatSpans(*sample.body) } };
        if (sample.score)
            entry["score"] = *sample.score;
        return entry;
    }

}

PipelineResult<std::vector<control::GroupSpec>> parseGroups(std::string_view body)
{
    return parseObject<std::vector<control::GroupSpec>>(body, [](const Json& object) {
        std::vector<control::GroupSpec> groups;
        for (const Json& entry : object.at("groups"))
            groups.push_back(readGroup(entry));
        return groups;
    });
}

PipelineResult<TrainerPull> parsePull(std::string_view body)
{
    return parseObject<TrainerPull>(body, [](const Json& object) {
        TrainerPull pull;
        pull.request.cursor = object.at("cursor").get<control::Sequence>();
        pull.request.pull = object.at("pull").get<std::uint64_t>();
        pull.request.version = object.at("version").get<WeightVersion>();
        pull.request.maxSamples = std::clamp(object.value("max_samples", 256U), 1U, maxSamplesPerPull);
        pull.maxWait = std::chrono::milliseconds(std::clamp<std::int64_t>(object.value("wait_ms", std::int64_t { 0 }), 0, maxWaitMs));
        return pull;
    });
}

PipelineResult<TrainerVersion> parseVersion(std::string_view body)
{
    return parseObject<TrainerVersion>(body, [](const Json& object) { return TrainerVersion { object.at("version").get<WeightVersion>() }; });
}

PipelineResult<TrainerReset> parseReset(std::string_view body)
{
    return parseObject<TrainerReset>(body, [](const Json& object) {
        return TrainerReset { object.at("cursor").get<control::Sequence>(), object.at("version").get<WeightVersion>(), object.at("step").get<std::uint64_t>() };
    });
}

PipelineResult<std::string> formatPullReply(const rollout::PullReply& reply)
{
    switch (reply.status) {
    case rollout::PullStatus::Samples:
    case rollout::PullStatus::Empty:
        break;
    case rollout::PullStatus::Retry:
        return refuse(PipelineErrorCode::Overloaded, "another hand-off of the run is being recorded; pull again", busyRetryDelay);
    case rollout::PullStatus::Superseded:
        return refuse(PipelineErrorCode::Superseded, reply.detail);
    case rollout::PullStatus::CursorBehind:
        return refuse(PipelineErrorCode::CursorBehind, reply.detail.empty() ? "reset the run with POST /v1/runs/{run}/reset" : reply.detail);
    case rollout::PullStatus::CursorInvalid:
        return refuse(PipelineErrorCode::Conflict, "the cursor names no assigned sample");
    case rollout::PullStatus::NotOwner:
        return refuse(PipelineErrorCode::ControlUnavailable, "the run has another owner", busyRetryDelay);
    }
    Json samples = Json::array();
    for (const auto& sample : reply.samples)
        samples.push_back(formatSample(sample));
    const Json body { { "pull", reply.pull }, { "cursor", reply.cursor }, { "next_cursor", std::max(reply.cursor, reply.nextCursor) }, { "version", reply.version }, { "samples", std::move(samples) } };
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}
