#include "azurepaddle/pipeline/identify.hpp"

#include "azurepaddle/config/configuration.hpp"
#include "azurepaddle/core/digest.hpp"

#include <array>
#include <nlohmann/json.hpp>

namespace azurepaddle::pipeline {

namespace {

    constexpr std::size_t maxIdempotencyKeyBytes = 256;
    constexpr std::array fieldsSetByPipeline { "request_id", "priority", "stream", "index", "min_weight_version" };

    nlohmann::json parseObject(std::string_view body)
    {
        auto object = nlohmann::json::parse(body, nullptr, false);
        return object.is_object() ? object : nlohmann::json();
    }

    std::string promptText(const nlohmann::json& object)
    {
        std::string prompt;
        if (const auto found = object.find("prompt"); found != object.end() && found->is_string())
            return found->get<std::string>();
        const auto messages = object.find("messages");
        if (messages == object.end() || !messages->is_array())
            return prompt;
        for (const auto& message : *messages)
            prompt += message.is_object() ? message.value("content", std::string()) : std::string();
        return prompt;
    }

    PipelineResult<Generation> readGeneration(nlohmann::json object)
    {
        if (!object.contains("prompt") && !object.contains("messages"))
            return refuse(PipelineErrorCode::BadRequest, "the body has neither prompt nor messages");
        if (object.value("n", 1) != 1)
            return refuse(PipelineErrorCode::BadRequest, "only one choice per request is supported (n = 1)");
        Generation generation;
        generation.prompt = promptText(object);
        if (generation.prompt.empty())
            return refuse(PipelineErrorCode::BadRequest, "the prompt is empty or not a text");
        if (object.contains("max_tokens"))
            generation.maxTokens = object["max_tokens"].get<double>();
        if (generation.maxTokens && *generation.maxTokens < 1)
            return refuse(PipelineErrorCode::BadRequest, "max_tokens is below 1");
        generation.adapter = object.value("adapter", std::string());
        generation.isStreamed = object.value("stream", false);
        for (const auto* field : fieldsSetByPipeline)
            object.erase(field);
        generation.fields = object.dump();
        return generation;
    }

    Duration defaultTimeout(const config::ServiceConfiguration& service, const WorkItem& item, const config::DefaultsConfiguration& defaults)
    {
        if (item.workClass)
            return *item.workClass == WorkClass::Short ? service.deadlineShort : service.deadlineLong;
        const bool isLong = item.generation.maxTokens.value_or(0) > static_cast<double>(defaults.shortTokens);
        return isLong ? service.deadlineLong : service.deadlineShort;
    }

}

PipelineResult<Generation> parseGeneration(std::string_view body)
{
    auto object = parseObject(body);
    if (object.is_null())
        return refuse(PipelineErrorCode::BadRequest, "the body is not a JSON object");
    try {
        return readGeneration(std::move(object));
    } catch (const nlohmann::json::exception& exception) {
        return refuse(PipelineErrorCode::BadRequest, fmt::format("a field of the body has another type or is not UTF-8: {}", exception.what()));
    }
}

PipelineResult<ServiceName> parseModelName(std::string_view body)
{
    const auto object = parseObject(body);
    const auto model = object.find("model");
    if (object.is_null() || model == object.end() || !model->is_string())
        return refuse(PipelineErrorCode::BadRequest, "the body is not a JSON object with a model");
    return ServiceName(model->get<std::string>());
}

PipelineResult<WorkItem> RequestValidator::operator()(CallerRequest request, std::shared_ptr<const config::Configuration> configuration) const
{
    const TenantName* tenant = configuration->tenantByTokenDigest(sha256Hex(request.token));
    if (!tenant)
        return refuse(PipelineErrorCode::Unauthenticated, "the bearer token is missing or unknown");
    WorkItem item;
    item.id = std::move(request.id);
    item.tenant = *tenant;
    item.isEngine = request.isEngine;
    item.service = std::move(request.service);
    if (request.isEngine) {
        auto model = parseModelName(request.body);
        if (!model)
            return tl::unexpected(model.error());
        item.service = *model;
    }
    const auto* service = configuration->service(item.service);
    if (!service || service->isEngine() != request.isEngine)
        return refuse(PipelineErrorCode::NotFound, fmt::format("{} \"{}\" is not configured", request.isEngine ? "model" : "plain service", item.service));
    if (request.idempotencyKey.size() > maxIdempotencyKeyBytes)
        return refuse(PipelineErrorCode::BadRequest, fmt::format("the Idempotency-Key exceeds {} bytes", maxIdempotencyKeyBytes));
    if (request.isEngine) {
        auto generation = parseGeneration(request.body);
        if (!generation)
            return tl::unexpected(generation.error());
        item.generation = std::move(*generation);
    }
    item.path = std::move(request.path);
    item.contentType = std::move(request.contentType);
    item.body = std::move(request.body);
    item.isIdempotent = request.nonIdempotent ? !*request.nonIdempotent : service->idempotent;
    item.idempotencyKey = std::move(request.idempotencyKey);
    item.keyFirstSeenMs = request.keyFirstSeenMs;
    item.workClass = request.workClass;
    item.arrived = m_clock.now();
    item.deadline = item.arrived + request.timeout.value_or(defaultTimeout(*service, item, configuration->defaults()));
    item.configuration = std::move(configuration);
    return item;
}

}
