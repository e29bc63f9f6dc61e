#include "azurepaddle/http/operator_routes.hpp"

#include "azurepaddle/http/endpoint_routes.hpp"
#include "azurepaddle/http/operator_views.hpp"

namespace azurepaddle::http {

namespace {

    using internal::Json;
    using pipeline::PipelineError;
    using pipeline::PipelineErrorCode;

    constexpr Duration controlDeadline = std::chrono::seconds(10);
    constexpr int serviceUnavailable = 503;
    constexpr int conflict = 409;
    constexpr int unprocessable = 422;

    void answer(httplib::Response& response, const Json& body)
    {
        answerJson(response, body.dump(-1, ' ', false, Json::error_handler_t::replace));
    }

    int statusOf(const std::string& result)
    {
        if (result == "conflict" || result == "stale" || result == "superseded")
            return conflict;
        return result == "invalid" ? unprocessable : 200;
    }

    void submitConfiguration(const OperatorParts& parts, const httplib::Request& request, httplib::Response& response)
    {
        const auto result = parts.configurations.submit(request.body, SystemClock().now() + controlDeadline);
        if (!result)
            return answerProblem(response, result.error());
        Json problems = Json::array();
        for (const auto& problem : result->problems)
            problems.push_back({ { "file", "" }, { "section", problem.section }, { "key", problem.key }, { "reason", problem.reason } });
        answer(response, { { "result", result->result }, { "number", result->number }, { "digest", result->digest }, { "problems", problems } });
        response.status = statusOf(result->result);
    }

    void drainEndpoint(const OperatorParts& parts, const EndpointId& id, httplib::Response& response)
    {
        const auto record = parts.directory.find(id);
        if (!record) {
            answer(response, { { "result", "unknown" } });
            response.status = 404;
            return;
        }
        const bool already = record->draining;
        parts.directory.setDraining(id, true);
        parts.router.remove(id);
        answer(response, { { "result", already ? "already-draining" : "draining" } });
    }

    void drainInstance(const OperatorParts& parts, const std::string& name, httplib::Response& response)
    {
        const std::string result = parts.drainInstance(name);
        answer(response, { { "result", result.empty() ? "unknown" : result } });
        if (result.empty())
            response.status = 404;
    }

    void unblock(const OperatorParts& parts, const std::string& fingerprint, httplib::Response& response)
    {
        const auto reply = parts.control.submit(control::UnblockSuspect { control::Fingerprint(fingerprint) }, SystemClock().now() + controlDeadline);
        if (!reply)
            return answerProblem(response, pipeline::toPipelineError(reply.error()));
        answer(response, { { "result", "unblocked" } });
    }

    void addProbes(HttpServer& server, const OperatorParts& parts)
    {
        server.routes().Get("/healthz", [](const httplib::Request&, httplib::Response& response) { answerJson(response, R"({"status":"alive"})"); });
        server.routes().Get("/readyz", [parts](const httplib::Request&, httplib::Response& response) {
            const bool ready = parts.isReady();
            answer(response, { { "status", ready ? "ready" : "not ready" }, { "configuration", parts.holder.number() }, { "reason", ready ? "" : "draining, or the newest configuration is not confirmed" } });
            response.status = ready ? 200 : serviceUnavailable;
        });
        server.routes().Get("/metrics", [parts](const httplib::Request&, httplib::Response& response) {
            response.set_content(metrics::prometheusText(parts.metrics.snapshot()), "text/plain; version=0.0.4");
        });
    }

    /// Adds routes that need the operators' secret.
    class ProtectedRoutes {
    public:
        ProtectedRoutes(HttpServer& server, const OperatorParts& parts, const std::string& secret)
            : m_server(server)
            , m_parts(parts)
            , m_secret(secret)
        {
        }

        void read(const char* path, Json (*view)(const OperatorParts&))
        {
            m_server.routes().Get(path, guarded([parts = m_parts, view](const httplib::Request&, httplib::Response& response) { answer(response, view(parts)); }));
        }

        void read(const char* path, pipeline::PipelineResult<Json> (*view)(const OperatorParts&))
        {
            m_server.routes().Get(path, guarded([parts = m_parts, view](const httplib::Request&, httplib::Response& response) {
                const auto body = view(parts);
                if (!body)
                    return answerProblem(response, body.error());
                answer(response, *body);
            }));
        }

        template <typename Handler>
        void post(const char* path, Handler handler)
        {
            m_server.routes().Post(path, guarded([parts = m_parts, handler](const httplib::Request& request, httplib::Response& response) { handler(parts, request, response); }));
        }

    private:
        [[nodiscard]] httplib::Server::Handler guarded(httplib::Server::Handler handler) const
        {
            return [secret = m_secret, handler = std::move(handler)](const httplib::Request& request, httplib::Response& response) {
                if (checkSecret(request, response, secret))
                    handler(request, response);
            };
        }

        HttpServer& m_server;
        const OperatorParts& m_parts;
        const std::string& m_secret;
    };

}

void addOperatorRoutes(HttpServer& server, const OperatorParts& parts, const std::string& secret)
{
    addProbes(server, parts);
    ProtectedRoutes routes(server, parts, secret);
    routes.read("/v1/config", internal::configurationView);
    routes.read("/v1/history", internal::historyView);
    routes.read("/v1/status", internal::statusView);
    routes.read("/v1/instances", internal::instancesView);
    routes.read("/v1/endpoints", internal::endpointsView);
    routes.read("/v1/runs", internal::runsView);
    routes.read("/v1/tenants", internal::tenantsView);
    routes.read("/v1/histograms", internal::histogramsView);
    routes.read("/v1/orders", internal::ordersView);
    routes.read("/v1/suspects", internal::suspectsView);
    routes.post("/v1/config", submitConfiguration);
    routes.post(R"(/v1/drain/endpoint/([^/]+))", [](const OperatorParts& with, const httplib::Request& request, httplib::Response& response) { drainEndpoint(with, EndpointId(request.matches[1]), response); });
    routes.post(R"(/v1/drain/instance/([^/]+))", [](const OperatorParts& with, const httplib::Request& request, httplib::Response& response) { drainInstance(with, request.matches[1], response); });
    routes.post(R"(/v1/unblock/([^/]+))", [](const OperatorParts& with, const httplib::Request& request, httplib::Response& response) { unblock(with, request.matches[1], response); });
}

}
