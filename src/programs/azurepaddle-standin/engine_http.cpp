#include "engine_http.hpp"

#include "azurepaddle/core/digest.hpp"
#include "engine_json.hpp"

#include <unistd.h>

namespace azurepaddle::standin {

namespace {

    // How often a waiting stream checks that its client is still there.
    constexpr Duration readerPoll = std::chrono::milliseconds(200);
    constexpr int crashExitCode = 70;

}

EngineHttp::EngineHttp(const EngineOptions& options, const ReportOptions& report, StandinServer& server, EngineCore& core, EngineOrders& orders, RanLog& ran)
    : m_options(options)
    , m_report(report)
    , m_server(server)
    , m_core(core)
    , m_orders(orders)
    , m_ran(ran)
    , m_random(report.seed)
{
    m_server.routes().set_pre_routing_handler([this](const httplib::Request& request, httplib::Response&) {
        if (!request.path.starts_with("/standin/"))
            m_gate.passRequest(request.remote_port);
        return httplib::Server::HandlerResponse::Unhandled;
    });
    addWorkRoutes();
    addControlRoutes();
    addFaultRoutes();
}

void EngineHttp::addWorkRoutes()
{
    httplib::Server& routes = m_server.routes();
    routes.Post("/v1/completions", [this](const httplib::Request& request, httplib::Response& response) { complete(request, response, false); });
    routes.Post("/v1/chat/completions", [this](const httplib::Request& request, httplib::Response& response) { complete(request, response, true); });
    routes.Get(R"(/requests/([^/]+))", [this](const httplib::Request& request, httplib::Response& response) {
        const auto sequence = m_core.find(request.matches[1]);
        if (!sequence)
            return answer(response, 200, { { "request_id", request.matches[1].str() }, { "state", "unknown" } });
        answer(response, 200, sequenceState(*sequence, m_core.wait(*sequence, 0, Duration::zero())));
    });
    routes.Post(R"(/requests/([^/]+)/cancel)", [this](const httplib::Request& request, httplib::Response& response) {
        answer(response, 200, { { "cancelled", m_core.cancel(request.matches[1]) } });
    });
    routes.Post(R"(/requests/([^/]+)/resume)", [this](const httplib::Request& request, httplib::Response& response) { resume(request, response); });
}

void EngineHttp::addControlRoutes()
{
    httplib::Server& routes = m_server.routes();
    routes.Get("/state", [this](const httplib::Request&, httplib::Response& response) { answer(response, 200, state()); });
    routes.Post("/orders", [this](const httplib::Request& request, httplib::Response& response) {
        const EngineOrders::Reply reply = m_orders.execute(Json::parse(request.body));
        Json body = reply.body;
        body["state"] = state();
        answer(response, reply.status, body);
    });
    routes.Post("/kv/export", [](const httplib::Request& request, httplib::Response& response) {
        const auto prompt = Json::parse(request.body).at("prompt").get<std::string>();
        answer(response, 200, { { "prefixes", prefixHashes(prompt) } });
    });
    routes.Post("/kv/import", [this](const httplib::Request& request, httplib::Response& response) {
        m_core.importPrefixes(Json::parse(request.body).at("prefixes").get<std::vector<std::uint64_t>>());
        answer(response, 200, { { "cached_blocks", m_core.cachedBlocks() } });
    });
}

void EngineHttp::addFaultRoutes()
{
    httplib::Server& routes = m_server.routes();
    routes.Get("/standin/ran", [this](const httplib::Request&, httplib::Response& response) { answer(response, 200, m_ran.toJson()); });
    routes.Post("/standin/fault", [this](const httplib::Request& request, httplib::Response& response) {
        const Json fault = Json::parse(request.body);
        answer(response, 200, { { "applied", fault } });
        applyFault(fault);
    });
}

void EngineHttp::complete(const httplib::Request& request, httplib::Response& response, bool isChat)
{
    const Json body = Json::parse(request.body);
    const EngineRequest work = engineRequest(body, request.get_header_value("X-Azurepaddle-Request-Id"), isChat);
    if (body.value("model", m_options.service) != m_options.service)
        return refuse(response, 404, "no such model here", "not-run");
    const auto sequence = m_core.submit(work);
    if (!sequence) {
        const auto [status, reason] = describe(sequence.error());
        return refuse(response, status, reason, "not-run");
    }
    response.set_header("X-Azurepaddle-Request-Id", work.id);
    if (body.value("stream", false))
        stream(*sequence, 0, request.remote_port, response);
    else
        whole(*sequence, isChat, response);
}

void EngineHttp::stream(const std::shared_ptr<Sequence>& sequence, std::uint64_t from, int remotePort, httplib::Response& response)
{
    m_core.addReader(*sequence);
    response.set_chunked_content_provider(
        "text/event-stream",
        [this, sequence, sent = from, remotePort](std::size_t, httplib::DataSink& sink) mutable { return sendEvents(sequence, sent, remotePort, sink); },
        [this, sequence](bool) { m_core.removeReader(*sequence); });
}

bool EngineHttp::sendEvents(const std::shared_ptr<Sequence>& sequence, std::uint64_t& sent, int remotePort, httplib::DataSink& sink)
{
    const Progress progress = m_core.wait(*sequence, sent, readerPoll);
    m_gate.passStream(remotePort, sequence->request.id, sent);
    if (!sink.is_writable())
        return false;
    std::string events;
    if (progress.produced > sent)
        events = tokenEvents(*sequence, progress, sent);
    sent = std::max(sent, progress.produced);
    const bool hasEnded = progress.state == SequenceState::Finished || progress.state == SequenceState::Cancelled;
    if (hasEnded)
        events += endEvent(*sequence, progress);
    if (!events.empty() && !sink.write(events.data(), events.size()))
        return false;
    if (hasEnded)
        sink.done();
    return true;
}

void EngineHttp::whole(const std::shared_ptr<Sequence>& sequence, bool isChat, httplib::Response& response)
{
    m_core.addReader(*sequence);
    Progress progress;
    do {
        progress = m_core.wait(*sequence, sequence->request.maxTokens, readerPoll);
    } while (progress.state == SequenceState::Queued || progress.state == SequenceState::Running);
    m_core.removeReader(*sequence);
    if (progress.state == SequenceState::Cancelled)
        return refuse(response, 499, "cancelled", "failed");
    answer(response, 200, wholeAnswer(*sequence, progress, m_options.service, isChat));
}

void EngineHttp::resume(const httplib::Request& request, httplib::Response& response)
{
    const auto sequence = m_core.find(request.matches[1]);
    if (!sequence)
        return refuse(response, 404, "no such request here", "not-run");
    const std::string from = request.has_param("from") ? request.get_param_value("from") : "0";
    if (from.empty() || from.size() > 9 || from.find_first_not_of("0123456789") != std::string::npos)
        return refuse(response, 400, "from is not a number of tokens", "not-run");
    response.set_header("X-Azurepaddle-Request-Id", sequence->request.id);
    stream(sequence, std::stoull(from), request.remote_port, response);
}

void EngineHttp::applyFault(const Json& fault)
{
    if (fault.value("crash", false))
        _exit(crashExitCode);
    if (fault.contains("slow"))
        m_core.slowDown(fault["slow"].at("factor").get<double>(), std::chrono::milliseconds(fault["slow"].at("for_ms").get<std::int64_t>()));
    if (fault.contains("swap")) {
        const auto kind = fault["swap"].get<std::string>();
        m_orders.setSwapFault(kind == "fail" ? SwapFault::Fail : kind == "partial" ? SwapFault::Partial
                                                                                   : SwapFault::None,
            fault.value("swap_count", 1U));
    }
    if (fault.contains("silent_announcements") && m_announcer)
        m_announcer->setSilent(fault["silent_announcements"].get<bool>());
    m_gate.apply(fault, m_server.remotePorts());
    if (fault.contains("refuse_for_ms"))
        m_server.refuseFor(std::chrono::milliseconds(fault["refuse_for_ms"].get<std::int64_t>()));
}

Json EngineHttp::state() const
{
    Json state = describeEngine(m_options, m_core.weights(), m_core.load());
    state.update(m_orders.state());
    state["incarnation"] = m_incarnation;
    state["step_ms"] = m_core.stepMs();
    state["cached_blocks"] = m_core.cachedBlocks();
    return state;
}

Json EngineHttp::announcement()
{
    Json announcement = describeEngine(m_options, m_core.weights(), laggedLoad());
    announcement["address"] = m_server.address();
    announcement["kind"] = "engine";
    announcement["incarnation"] = m_incarnation;
    announcement["cache_events"] = cacheEvents();
    return announcement;
}

EngineLoad EngineHttp::laggedLoad()
{
    const std::scoped_lock lock(m_reportMutex);
    m_loads.push_back(m_core.load());
    const std::int64_t until = m_loads.back().timeMs - m_report.loadLag.count();
    while (m_loads.size() > 1 && m_loads[1].timeMs <= until)
        m_loads.pop_front();
    return m_loads.front();
}

Json EngineHttp::cacheEvents()
{
    const std::scoped_lock lock(m_reportMutex);
    Json list = Json::array();
    for (const CacheEvent& event : m_core.takeCacheEvents(m_core.load().timeMs - m_report.cacheLag.count())) {
        if (!m_random.chance(m_report.cacheGap))
            list.push_back({ { "sequence", event.sequence }, { "event", event.isStored ? "stored" : "evicted" }, { "prefix", event.prefix } });
    }
    return list;
}

}
