#include "azurepaddle/http/operator_routes.hpp"

#include "azurepaddle/core/digest.hpp"
#include "azurepaddle/http/endpoint_routes.hpp"

#include <nlohmann/json.hpp>

namespace azurepaddle::http {

namespace {

    using Json = nlohmann::json;

    constexpr Duration controlDeadline = std::chrono::seconds(10);
    constexpr int serviceUnavailable = 503;
    constexpr int conflict = 409;
    constexpr int unprocessable = 422;

    int statusOf(const std::string& result)
    {
        if (result == "conflict" || result == "stale")
            return conflict;
        return result == "invalid" ? unprocessable : 200;
    }

    void submitConfiguration(const OperatorParts& parts, const httplib::Request& request, httplib::Response& response)
    {
        const auto result = parts.configurations.submit(request.body, SystemClock().now() + controlDeadline);
        if (!result)
            return answerProblem(response, result.error());
        const Json body { { "result", result->result }, { "number", result->number }, { "digest", result->digest }, { "problems", result->problems } };
        answerJson(response, body.dump(-1, ' ', false, Json::error_handler_t::replace));
        response.status = statusOf(result->result);
    }

    Json describeInstance(const pipeline::InstanceView& view)
    {
        const auto& message = view.message;
        return { { "name", message.name.value() }, { "state", view.state }, { "ready", message.isReady }, { "data_centre", message.dataCentre.value() },
            { "roles", message.roles }, { "incarnation", message.incarnation }, { "configuration", message.configuration }, { "http", message.httpAddress } };
    }

    Json describeEndpoint(const membership::EndpointStatus& status)
    {
        const auto& announcement = status.record->announcement;
        const bool isLive = !status.left && status.leaseRemaining > Duration::zero();
        const std::string state = status.left ? "left" : !isLive ? "silent"
            : status.record->draining                            ? "draining"
                                                                 : "live";
        return { { "id", announcement.id.value() }, { "service", announcement.service.value() }, { "address", announcement.address }, { "state", state },
            { "data_centre", announcement.dataCentre.value() }, { "versions", announcement.versions }, { "adapters", announcement.adapters },
            { "slots", announcement.slots }, { "running", announcement.running }, { "queued", announcement.queued },
            { "outstanding_tokens", announcement.outstandingTokens }, { "incarnation", announcement.incarnation } };
    }

    Json listInstances(const OperatorParts& parts)
    {
        Json list = Json::array();
        for (const auto& view : parts.exchange.instances())
            list.push_back(describeInstance(view));
        return { { "instances", list } };
    }

    Json listEndpoints(const OperatorParts& parts)
    {
        Json list = Json::array();
        for (const auto& status : parts.directory.statuses())
            list.push_back(describeEndpoint(status));
        return { { "endpoints", list } };
    }

    Json currentConfiguration(const OperatorParts& parts)
    {
        const std::string text = parts.holder.text();
        return { { "number", parts.holder.number() }, { "digest", text.empty() ? std::string() : sha256Hex(text) }, { "text", text } };
    }

    void addProbes(HttpServer& server, const OperatorParts& parts)
    {
        server.routes().Get("/healthz", [](const httplib::Request&, httplib::Response& response) { answerJson(response, R"({"status":"alive"})"); });
        server.routes().Get("/readyz", [parts](const httplib::Request&, httplib::Response& response) {
            const bool ready = parts.isReady();
            const Json body { { "status", ready ? "ready" : "not ready" }, { "configuration", parts.holder.number() },
                { "reason", ready ? "" : "draining, or the newest configuration is not confirmed" } };
            answerJson(response, body.dump());
            response.status = ready ? 200 : serviceUnavailable;
        });
        server.routes().Get("/metrics", [parts](const httplib::Request&, httplib::Response& response) {
            response.set_content(metrics::prometheusText(parts.metrics.snapshot()), "text/plain; version=0.0.4");
        });
    }

}

void addOperatorRoutes(HttpServer& server, OperatorParts parts, std::string secret)
{
    addProbes(server, parts);
    server.routes().Post("/v1/config", [parts, secret](const httplib::Request& request, httplib::Response& response) {
        if (checkSecret(request, response, secret))
            submitConfiguration(parts, request, response);
    });
    const auto addRead = [&](const char* path, Json (*read)(const OperatorParts&)) {
        server.routes().Get(path, [parts, secret, read](const httplib::Request& request, httplib::Response& response) {
            if (checkSecret(request, response, secret))
                answerJson(response, read(parts).dump(-1, ' ', false, Json::error_handler_t::replace));
        });
    };
    addRead("/v1/config", currentConfiguration);
    addRead("/v1/instances", listInstances);
    addRead("/v1/endpoints", listEndpoints);
}

}
