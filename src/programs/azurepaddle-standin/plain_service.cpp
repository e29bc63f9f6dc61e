#include "plain_service.hpp"

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/digest.hpp"

#include <unistd.h>

namespace azurepaddle::standin {

namespace {

    constexpr int crashExitCode = 70;

    std::int64_t wallMs()
    {
        return SystemClock().wallNow().time_since_epoch().count();
    }

    bool hasMarker(const std::string& body, const std::string& marker)
    {
        return !marker.empty() && body.find(marker) != std::string::npos;
    }

}

PlainService::PlainService(const PlainOptions& options, StandinServer& server, Responder responder)
    : m_options(options)
    , m_server(server)
    , m_responder(std::move(responder))
    , m_ran(options.ranFile)
    , m_slots(static_cast<std::ptrdiff_t>(options.slots))
{
    httplib::Server& routes = server.routes();
    routes.set_pre_routing_handler([this](const httplib::Request& request, httplib::Response&) {
        if (!request.path.starts_with("/standin/"))
            m_gate.passRequest(request.remote_port);
        return httplib::Server::HandlerResponse::Unhandled;
    });
    routes.Get("/standin/ran", [this](const httplib::Request&, httplib::Response& response) { answer(response, 200, m_ran.toJson()); });
    routes.Post("/standin/fault", [this](const httplib::Request& request, httplib::Response& response) {
        const Json fault = Json::parse(request.body);
        answer(response, 200, { { "applied", fault } });
        applyFault(fault);
    });
    routes.Get("/state", [this](const httplib::Request&, httplib::Response& response) { answer(response, 200, announcement()); });
    routes.Get(R"(/requests/([^/]+))", [this](const httplib::Request& request, httplib::Response& response) {
        const std::string id = request.matches[1];
        answer(response, 200, { { "request_id", id }, { "state", m_ran.count("request_ids", id) > 0 ? "finished" : "unknown" } });
    });
    routes.Post("/.*", [this](const httplib::Request& request, httplib::Response& response) { call(request, response); });
}

void PlainService::call(const httplib::Request& request, httplib::Response& response)
{
    ++m_queued;
    m_slots.acquire();
    --m_queued;
    ++m_running;
    std::this_thread::sleep_for(std::chrono::milliseconds(callMs()));
    const std::string id = request.get_header_value("X-Azurepaddle-Request-Id");
    runOnce(request, id);
    --m_running;
    m_slots.release();
    if (m_crashesNext || hasMarker(request.body, m_options.crashMarker))
        _exit(crashExitCode);
    const bool isDropped = m_dropsLeft > 0 && m_dropsLeft-- > 0;
    if (isDropped || hasMarker(request.body, m_options.dropMarker))
        return m_server.dropConnection(request.remote_port);
    const Json body = Json::parse(request.body, nullptr, false);
    Json reply = m_responder(request, body);
    reply["request_id"] = id;
    reply["endpoint"] = m_options.id;
    response.set_header("X-Azurepaddle-Request-Id", id);
    answer(response, 200, reply);
}

void PlainService::runOnce(const httplib::Request& request, const std::string& id)
{
    const std::string key = request.get_header_value("Idempotency-Key");
    const std::string digest = sha256Hex(request.body);
    std::map<std::string, std::string> counters { { "bodies", digest }, { "paths", request.path } };
    if (!key.empty())
        counters.emplace("keys", key);
    if (!id.empty())
        counters.emplace("request_ids", id);
    m_ran.record({ { "request_id", id }, { "key", key }, { "body_digest", digest }, { "path", request.path } }, counters);
}

void PlainService::applyFault(const Json& fault)
{
    if (fault.value("crash", false))
        _exit(crashExitCode);
    if (fault.contains("slow")) {
        m_slowMs = fault["slow"].at("ms").get<std::int64_t>();
        m_slowUntilMs = wallMs() + fault["slow"].at("for_ms").get<std::int64_t>();
    }
    m_crashesNext = fault.value("crash_after_run", m_crashesNext.load());
    m_dropsLeft = fault.value("drop_answers", m_dropsLeft.load());
    if (fault.contains("silent_announcements") && m_announcer)
        m_announcer->setSilent(fault["silent_announcements"].get<bool>());
    m_gate.apply(fault, m_server.remotePorts());
    if (fault.contains("refuse_for_ms"))
        m_server.refuseFor(std::chrono::milliseconds(fault["refuse_for_ms"].get<std::int64_t>()));
}

std::int64_t PlainService::callMs() const
{
    return m_options.callMs + (wallMs() < m_slowUntilMs ? m_slowMs.load() : 0);
}

Json PlainService::announcement() const
{
    return { { "id", m_options.id }, { "address", m_server.address() }, { "kind", "plain" }, { "service", m_options.service },
        { "data_centre", m_options.dataCentre }, { "versions", Json::array() }, { "loaded", Json::array() }, { "adapters", Json::array() },
        { "slots", m_options.slots }, { "running", m_running.load() }, { "queued", m_queued.load() },
        { "outstanding_tokens", m_running + m_queued }, { "report_time_ms", wallMs() }, { "cache_events", Json::array() },
        { "incarnation", m_incarnation }, { "checks_fencing", false } };
}

}
