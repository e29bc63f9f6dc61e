#pragma once

#include "azurepaddle/gateway/forwarder.hpp"

#include "../http1/fixture.hpp"

namespace fixture {

using namespace azurepaddle::gateway;

/// A protocol with simple header fields for tests.
struct TestProtocol {
    static std::string requestId(const Request& request) { return std::string(request.fields.find("X-Id")); }
    static std::optional<Duration> clientTimeout(const Request&) { return std::nullopt; }
    static Request forEndpoint(const Request& request, const EndpointId& id, Duration)
    {
        Request forwarded = request;
        forwarded.fields.set("X-Endpoint", id.value());
        return forwarded;
    }
    static AnswerClass classify(const Response& response, std::string_view id)
    {
        if (response.fields.contains("X-Id") && response.fields.find("X-Id") != id)
            return AnswerClass::OtherRequest;
        return response.fields.contains("X-Not-Run") ? AnswerClass::NotRun : AnswerClass::Answer;
    }
    static std::optional<LoadReport> loadOf(const Response&) { return std::nullopt; }
    static bool isLeaving(const Response& response) { return response.fields.contains("X-Leaving"); }
    static std::optional<std::uint64_t> eventNumber(const StreamEvent& event) { return std::stoull(event.id); }
    static Request continueAfter(const Request& request, std::uint64_t lastEvent)
    {
        Request continuing = request;
        continuing.fields.set("X-After", std::to_string(lastEvent));
        return continuing;
    }
    static std::optional<double> limitOf(const Response& response) { return response.fields.contains("X-Limit") ? std::optional(std::stod(std::string(response.fields.find("X-Limit")))) : std::nullopt; }
};

inline std::string answer(unsigned status, const std::string& body, const std::string& fields = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// One route of this kind to the service `s`, whose requests may be sent to two endpoints.
inline std::shared_ptr<const RouteTable> makeTable(RouteKind kind, Duration timeout)
{
    Route route;
    route.name = "r";
    route.host = "h";
    route.pathPrefix = "/";
    route.kind = kind;
    route.services = { { ServiceName("s"), 1 } };
    route.timeout = timeout;
    route.targetLatency = std::chrono::milliseconds(400);
    route.maxAttempts = 2;
    Service service;
    service.name = ServiceName("s");
    return std::make_shared<const RouteTable>(1, std::vector<Route> { route }, std::vector<Service> { service }, ServerLimits {});
}

}
