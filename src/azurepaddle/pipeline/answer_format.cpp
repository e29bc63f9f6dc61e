#include "azurepaddle/pipeline/answer_format.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace azurepaddle::pipeline {

namespace {

    using Json = nlohmann::json;

    bool isChat(const WorkItem& item)
    {
        return item.path.ends_with("/chat/completions");
    }

    std::string dump(const Json& value)
    {
        // Engines may split a text within a multi-byte character, so invalid UTF-8 is replaced instead of raising an
        // error.
        return value.dump(-1, ' ', false, Json::error_handler_t::replace);
    }

    Json spansToJson(const Answer& answer)
    {
        Json spans = Json::array();
        std::uint32_t from = 0;
        for (const Span& span : answer.spans) {
            spans.push_back({ { "from", from }, { "tokens", span.tokens }, { "weight_version", span.version } });
            from += span.tokens;
        }
        return spans;
    }

    Json responseEnvelope(const WorkItem& item, const char* object, Json choice)
    {
        return { { "id", item.id.value() }, { "object", object }, { "model", item.service.value() }, { "choices", Json::array({ std::move(choice) }) } };
    }

    std::string toServerSentEvent(const Json& value)
    {
        return "data: " + dump(value) + "\n\n";
    }

    Json chunkChoice(const WorkItem& item, const std::string& text, const Json& finishReason)
    {
        Json choice { { "index", 0 }, { "finish_reason", finishReason } };
        if (isChat(item))
            choice["delta"] = { { "content", text } };
        else
            choice["text"] = text;
        return choice;
    }

}

std::vector<WeightVersion> versionsOf(const Answer& answer)
{
    std::vector<WeightVersion> versions;
    for (const Span& span : answer.spans) {
        if (std::find(versions.begin(), versions.end(), span.version) == versions.end())
            versions.push_back(span.version);
    }
    return versions;
}

std::string completionBody(const WorkItem& item, const Answer& answer)
{
    Json choice { { "index", 0 }, { "finish_reason", answer.finishReason } };
    if (isChat(item))
        choice["message"] = { { "role", "assistant" }, { "content", answer.text } };
    else
        choice["text"] = answer.text;
    Json body = responseEnvelope(item, isChat(item) ? "chat.completion" : "text_completion", std::move(choice));
    body["usage"] = { { "completion_tokens", answer.tokens } };
    body["weight_versions"] = versionsOf(answer);
    body["spans"] = spansToJson(answer);
    return dump(body);
}

std::string chunkEvent(const WorkItem& item, const EngineEvent& event)
{
    Json body = responseEnvelope(item, isChat(item) ? "chat.completion.chunk" : "text_completion", chunkChoice(item, event.text, nullptr));
    body["weight_version"] = event.version ? Json(*event.version) : Json();
    return toServerSentEvent(body);
}

std::string finalEvents(const WorkItem& item, const Answer& answer)
{
    Json body = responseEnvelope(item, isChat(item) ? "chat.completion.chunk" : "text_completion", chunkChoice(item, "", answer.finishReason));
    body["usage"] = { { "completion_tokens", answer.tokens } };
    body["weight_versions"] = versionsOf(answer);
    body["spans"] = spansToJson(answer);
    return toServerSentEvent(body) + "data: [DONE]\n\n";
}

std::string errorEvent(const WorkItem& item, const PipelineError& error)
{
    const Json body = { { "id", item.id.value() }, { "error", { { "message", error.message() }, { "outcome", outcomeName(error.outcome()) } } } };
    return "event: error\n" + toServerSentEvent(body);
}

}
