#include "azurepaddle/pipeline/event.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace azurepaddle::pipeline {

namespace {

    constexpr std::string_view endMarker = "[DONE]";
    constexpr std::string_view dataPrefix = "data:";

    EngineEvent readEvent(const nlohmann::json& object)
    {
        EngineEvent event;
        event.request = RequestId(object.value("request_id", std::string()));
        event.index = object.value("index", 0U);
        event.text = object.value("text", std::string());
        event.tokens = object.value("tokens", 0U);
        if (const auto found = object.find("weight_version"); found != object.end() && found->is_number_unsigned())
            event.version = found->get<WeightVersion>();
        if (const auto found = object.find("finish_reason"); found != object.end() && found->is_string())
            event.finishReason = found->get<std::string>();
        return event;
    }

}

PipelineResult<EngineEvent> parseEngineEvent(std::string_view payload)
{
    if (payload == endMarker) {
        EngineEvent event;
        event.isLast = true;
        return event;
    }
    const auto object = nlohmann::json::parse(payload, nullptr, false);
    if (!object.is_object())
        return fail(PipelineErrorCode::EndpointFailed, Outcome::Unknown, "the endpoint sent an event that is not a JSON object");
    try {
        return readEvent(object);
    } catch (const nlohmann::json::exception& exception) {
        return fail(PipelineErrorCode::EndpointFailed, Outcome::Unknown,
            fmt::format("the endpoint sent an event with a field of another type: {}", exception.what()));
    }
}

bool ServerSentEventReader::feed(std::string_view bytes, const std::function<bool(std::string_view)>& onPayload)
{
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        m_line.append(bytes.substr(0, end));
        if (m_line.size() + m_payload.size() > m_maxEventBytes)
            return false;
        if (end == std::string_view::npos)
            return true;
        bytes.remove_prefix(end + 1);
        if (!m_line.empty() && m_line.back() == '\r')
            m_line.pop_back();
        if (!processLine(m_line, onPayload))
            return false;
        m_line.clear();
    }
    return true;
}

bool ServerSentEventReader::processLine(std::string_view line, const std::function<bool(std::string_view)>& onPayload)
{
    if (line.empty()) {
        if (m_payload.empty())
            return true;
        const std::string payload = std::exchange(m_payload, {});
        return onPayload(payload);
    }
    if (!line.starts_with(dataPrefix))
        return true;
    line.remove_prefix(dataPrefix.size());
    if (line.starts_with(' '))
        line.remove_prefix(1);
    if (!m_payload.empty())
        m_payload.push_back('\n');
    m_payload.append(line);
    return true;
}

void Answer::add(const EngineEvent& event)
{
    text += event.text;
    tokens += event.tokens;
    if (!event.finishReason.empty())
        finishReason = event.finishReason;
    if (event.tokens == 0)
        return;
    if (!event.version) {
        hasUnversionedTokens = true;
        return;
    }
    if (spans.empty() || spans.back().version != *event.version)
        spans.push_back({ *event.version, 0 });
    spans.back().tokens += event.tokens;
}

}
