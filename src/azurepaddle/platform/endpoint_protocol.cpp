#include "azurepaddle/platform/endpoint_protocol.hpp"

#include "azurepaddle/platform/json.hpp"
#include "azurepaddle/platform/leading_count.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace azurepaddle::platform {

namespace {

    constexpr std::string_view requestIdField = "X-Attempt-Id";
    constexpr std::string_view deadlineField = "X-Deadline-Ms";
    constexpr std::string_view expectedEndpointField = "X-Expect-Replica";
    constexpr std::string_view notRunField = "X-Not-Executed";
    constexpr std::string_view loadField = "X-Replica-Load";
    constexpr std::string_view versionField = "X-Weight-Versions";
    constexpr std::string_view eventVersionField = "x-weight-versions";
    constexpr std::string_view lastEventField = "Last-Event-Id";
    constexpr std::string_view resumedRequestField = "Resumes"; // The X-Attempt-Id of the request that brought the stream's first event.
    constexpr std::string_view leavingField = "Server-Leaving"; // "1" in all responses of an endpoint that is draining.
    constexpr std::string_view limitField = "Server-Limit"; // Requests per second that the endpoint takes from all machines together.
    constexpr std::string_view signatureField = "X-Server-Stamp"; // Signature by which an endpoint proves that it ran the request.
    constexpr std::string_view keyField = "Authorization";
    constexpr std::string_view keyScheme = "Bearer ";
    constexpr std::string_view workspaceField = "X-Tenant";
    constexpr std::string_view priorityField = "X-Request-Priority";
    constexpr std::uint32_t leastUrgent = 9; // Highest value of the priority field.
    constexpr unsigned misdirected = 421;

    /// Returns the number at the start of a text, after optional blanks; empty if there is none.
    std::optional<std::uint64_t> parseCount(std::string_view text)
    {
        while (!text.empty() && text.front() == ' ')
            text.remove_prefix(1);
        return internal::leadingCount(text);
    }

}

std::string EndpointProtocol::requestId(const http1::Request& request)
{
    return std::string(request.fields.find(requestIdField));
}

std::optional<Duration> EndpointProtocol::clientTimeout(const http1::Request& request)
{
    // No client waits longer, and a greater number could not be added to a point in time.
    constexpr std::uint64_t maxMs = 24ULL * 3600 * 1000;
    const auto ms = parseCount(request.fields.find(deadlineField));
    return ms ? std::optional<Duration>(std::chrono::milliseconds(std::min(*ms, maxMs))) : std::nullopt;
}

std::string_view EndpointProtocol::keyOf(const http1::Request& request)
{
    const std::string_view value = request.fields.find(keyField);
    if (value.size() < keyScheme.size() || !http1::equalNames(value.substr(0, keyScheme.size()), keyScheme))
        return {};
    return value.substr(keyScheme.size());
}

bool EndpointProtocol::namesCaller(std::string_view fieldName)
{
    return http1::equalNames(fieldName, keyField) || http1::equalNames(fieldName, workspaceField);
}

void EndpointProtocol::setCaller(http1::Request& request, const gateway::Caller& caller)
{
    request.fields.eraseHopByHop(); // Otherwise its Connection field could remove the fields that are set here.
    request.fields.erase(keyField);
    request.fields.erase(workspaceField);
    if (!caller.workspace.empty())
        request.fields.add(std::string(workspaceField), caller.workspace.value());
    if (caller.priority)
        request.fields.set(std::string(priorityField), std::to_string(std::min(*caller.priority, leastUrgent)));
}

http1::Request EndpointProtocol::forEndpoint(const http1::Request& request, const EndpointId& endpoint, Duration left)
{
    http1::Request forwarded = request;
    forwarded.fields.eraseHopByHop();
    forwarded.fields.set(std::string(deadlineField), std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(left).count()));
    forwarded.fields.set(std::string(expectedEndpointField), endpoint.value());
    return forwarded;
}

gateway::AnswerClass EndpointProtocol::classify(const http1::Response& head, std::string_view requestId)
{
    const std::string_view echoed = head.fields.find(requestIdField);
    if (!echoed.empty() && echoed != requestId)
        return gateway::AnswerClass::OtherRequest;
    if (head.status == misdirected)
        return gateway::AnswerClass::WrongEndpoint;
    return head.fields.contains(notRunField) ? gateway::AnswerClass::NotRun : gateway::AnswerClass::Answer;
}

std::optional<gateway::LoadReport> EndpointProtocol::loadOf(const http1::Response& head)
{
    constexpr double usualPercent = 100;
    std::string_view text = head.fields.find(loadField);
    std::array<std::optional<std::uint64_t>, 4> values;
    for (auto& value : values) {
        const std::size_t comma = text.find(',');
        value = parseCount(text.substr(0, comma));
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    const auto& [running, waiting, slots, percent] = values;
    if (!running || !waiting || !slots)
        return std::nullopt;
    return gateway::LoadReport { static_cast<std::uint32_t>(*running), static_cast<std::uint32_t>(*waiting), static_cast<std::uint32_t>(*slots), percent ? static_cast<double>(*percent) / usualPercent : 1 };
}

bool EndpointProtocol::isLeaving(const http1::Response& head)
{
    return head.fields.find(leavingField) == "1";
}

std::optional<double> EndpointProtocol::limitOf(const http1::Response& head)
{
    const std::string_view text = head.fields.find(limitField);
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isRead = error == std::errc() && end == text.data() + text.size() && std::isfinite(value) && value >= 0;
    return isRead ? std::optional(value) : std::nullopt;
}

tl::expected<gateway::TakeUp, std::string> EndpointProtocol::takeUpOf(const http1::Request& request)
{
    const std::string_view text = request.fields.find(lastEventField);
    std::uint64_t lastEvent = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), lastEvent);
    const bool isRead = text.empty() || (error == std::errc() && end == text.data() + text.size());
    if (!isRead)
        return tl::unexpected(std::string(lastEventField) + " is not a whole number");
    return gateway::TakeUp { registry::StreamId(std::string(request.fields.find(resumedRequestField))), lastEvent };
}

http1::Request EndpointProtocol::rewardRequest(const batch::RewardCall& reward)
{
    return { "POST", reward.path, { { "Host", reward.host }, { std::string(requestIdField), reward.id } }, reward.body };
}

std::string EndpointProtocol::scoreOf(const http1::Response& head)
{
    return std::string(head.fields.find(signatureField));
}

http1::Request EndpointProtocol::itemRequest(const batch::ItemSpec& item, const std::string& host, const EndpointId& endpoint, std::uint64_t eventsHeld)
{
    http1::Request request { "POST", item.path, { { "Host", host }, { std::string(requestIdField), item.id.value() }, { std::string(expectedEndpointField), endpoint.value() } }, item.body };
    for (const batch::ItemField& field : item.fields)
        request.fields.add(field.name, field.value);
    if (eventsHeld > 0)
        request.fields.add(std::string(lastEventField), std::to_string(eventsHeld));
    return request;
}

std::optional<WeightVersion> EndpointProtocol::versionOf(const http1::Response& head)
{
    return parseCount(head.fields.find(versionField));
}

std::optional<WeightVersion> EndpointProtocol::versionOf(const http1::StreamEvent& event)
{
    return parseCount(event.extra.find(eventVersionField));
}

std::optional<std::uint64_t> EndpointProtocol::eventNumber(const http1::StreamEvent& event)
{
    return parseCount(event.id);
}

http1::Request EndpointProtocol::continueAfter(const http1::Request& request, std::uint64_t lastEvent)
{
    http1::Request continuing = request;
    continuing.fields.set(std::string(lastEventField), std::to_string(lastEvent));
    return continuing;
}

http1::Request EndpointProtocol::loadRequest(const execution::LoadOrder& order)
{
    // "retain" continues running items under the new version, because a text may contain several versions within the
    // bounds of its job.
    internal::Json body { { "operation", "version" }, { "model", order.model.value() }, { "version", order.version }, { "mode", "retain" }, { "holder", order.holder }, { "fence", order.fence } };
    if (order.expectedOrders)
        body["expect"] = *order.expectedOrders;
    return { "POST", "/-/order", { { "Host", "endpoint" }, { "Content-Type", "application/json" }, { std::string(expectedEndpointField), order.endpoint.value() } }, body.dump() };
}

http1::Request EndpointProtocol::statusRequest(const EndpointId& endpoint)
{
    return { "GET", "/-/report", { { "Host", "endpoint" }, { std::string(expectedEndpointField), endpoint.value() } }, {} };
}

std::optional<execution::EndpointStatus> EndpointProtocol::parseStatus(const std::string& body)
{
    const auto json = internal::parseJson(body);
    if (!json)
        return std::nullopt;
    const auto isBusy = internal::flagOf(*json, "busy");
    const auto sequence = internal::countOf(*json, "sequence");
    const internal::Json* models = internal::listOf(*json, "models");
    if (!isBusy || !sequence || !models)
        return std::nullopt;
    execution::EndpointStatus status { {}, *isBusy, *sequence };
    for (const internal::Json& model : *models) {
        const auto name = internal::textOf(model, "name");
        const auto version = internal::countOf(model, "version");
        if (name && version)
            status.versions[*name] = *version;
    }
    return status;
}

}
