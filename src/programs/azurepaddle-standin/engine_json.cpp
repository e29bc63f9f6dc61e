#include "engine_json.hpp"

#include "azurepaddle/core/digest.hpp"

#include <algorithm>

namespace azurepaddle::standin {

namespace {

    constexpr std::size_t randomIdBytes = 16;

    std::string chatPrompt(const Json& messages)
    {
        std::string prompt;
        for (const Json& message : messages)
            prompt += message.at("role").get<std::string>() + ": " + message.at("content").get<std::string>() + "\n";
        return prompt;
    }

    std::string textBetween(const Sequence& sequence, const Progress& progress, std::uint64_t from, std::uint64_t to)
    {
        return spanText(sequence.promptDigest, sequence.request.index, progress.spans, from, to);
    }

    std::string toEvent(const Json& value)
    {
        return "data: " + value.dump() + "\n\n";
    }

    const char* stateName(SequenceState state)
    {
        switch (state) {
        case SequenceState::Queued:
        case SequenceState::Running:
            return "running";
        case SequenceState::Finished:
            return "finished";
        case SequenceState::Cancelled:
            return "cancelled";
        }
        return "unknown";
    }

}

EngineRequest engineRequest(const Json& body, const std::string& headerId, bool isChat)
{
    EngineRequest request;
    request.id = headerId.empty() ? body.value("request_id", std::string()) : headerId;
    if (request.id.empty())
        request.id = randomHex(randomIdBytes);
    request.prompt = isChat ? chatPrompt(body.at("messages")) : body.at("prompt").get<std::string>();
    request.index = body.value("index", request.index);
    request.maxTokens = std::max<std::uint64_t>(1, body.value("max_tokens", request.maxTokens));
    request.priority = body.value("priority", request.priority);
    request.adapter = body.value("adapter", std::string());
    request.minVersion = body.value("min_weight_version", request.minVersion);
    return request;
}

std::pair<int, std::string> describe(SubmitError error)
{
    switch (error) {
    case SubmitError::QueueFull:
        return { 429, "the queue is full" };
    case SubmitError::KnownId:
        return { 409, "the request id is known" };
    case SubmitError::NoAdapter:
        return { 404, "the adapter is not loaded" };
    case SubmitError::OldVersion:
        return { 409, "the active weights are older than asked for" };
    }
    return { 500, "unknown error" };
}

std::string tokenEvents(const Sequence& sequence, const Progress& progress, std::uint64_t sent)
{
    std::string events;
    for (const Span& span : progress.spans) {
        const std::uint64_t from = std::max(sent, span.from);
        const std::uint64_t to = span.from + span.tokens;
        if (from >= to)
            continue;
        events += toEvent({ { "request_id", sequence.request.id }, { "index", sequence.request.index }, { "position", from },
            { "text", textBetween(sequence, progress, from, to) }, { "tokens", to - from }, { "weight_version", span.version } });
    }
    return events;
}

std::string endEvent(const Sequence& sequence, const Progress& progress)
{
    const bool isFinished = progress.state == SequenceState::Finished;
    const std::uint64_t version = progress.spans.empty() ? 0 : progress.spans.back().version;
    return toEvent({ { "request_id", sequence.request.id }, { "index", sequence.request.index }, { "position", progress.produced },
               { "text", "" }, { "tokens", 0 }, { "weight_version", version }, { "finish_reason", isFinished ? "length" : "cancelled" },
               { "spans", toJson(progress.spans) } })
        + "data: [DONE]\n\n";
}

Json wholeAnswer(const Sequence& sequence, const Progress& progress, const std::string& service, bool isChat)
{
    const std::string text = textBetween(sequence, progress, 0, progress.produced);
    Json choice { { "index", sequence.request.index }, { "finish_reason", "length" } };
    if (isChat)
        choice["message"] = { { "role", "assistant" }, { "content", text } };
    else
        choice["text"] = text;
    const Json usage { { "prompt_tokens", sequence.promptTokens }, { "completion_tokens", progress.produced },
        { "total_tokens", sequence.promptTokens + progress.produced } };
    return { { "id", sequence.request.id }, { "request_id", sequence.request.id }, { "object", isChat ? "chat.completion" : "text_completion" },
        { "model", service }, { "choices", Json::array({ choice }) }, { "usage", usage }, { "spans", toJson(progress.spans) } };
}

Json sequenceState(const Sequence& sequence, const Progress& progress)
{
    return { { "request_id", sequence.request.id }, { "state", stateName(progress.state) }, { "index", sequence.request.index },
        { "tokens", progress.produced }, { "max_tokens", sequence.request.maxTokens }, { "spans", toJson(progress.spans) } };
}

Json describeEngine(const EngineOptions& options, const EngineWeights& weights, const EngineLoad& load)
{
    return { { "id", options.id }, { "service", options.service }, { "data_centre", options.dataCentre }, { "role", weights.role },
        { "versions", weights.active }, { "loaded", weights.loaded }, { "adapters", weights.adapters }, { "slots", options.slots },
        { "running", load.running }, { "queued", load.queued }, { "outstanding_tokens", load.outstandingTokens },
        { "report_time_ms", load.timeMs }, { "checks_fencing", options.checksFencing } };
}

}
