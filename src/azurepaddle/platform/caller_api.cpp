#include "azurepaddle/platform/caller_api.hpp"

#include "azurepaddle/platform/batch_format.hpp"
#include "azurepaddle/platform/json.hpp"
#include "azurepaddle/platform/leading_count.hpp"
#include "azurepaddle/platform/replies.hpp"

#include <algorithm>
#include <utility>

namespace azurepaddle::platform {

namespace {

    constexpr std::string_view jobPath = "/-/lots/";
    constexpr std::string_view itemPath = "/-/items/";
    constexpr std::string_view waitField = "X-Wait-Ms";
    // Longest wait of a read for results.
    constexpr std::uint64_t maxWaitMs = 1000;
    // Timeout of calls for batch jobs that state no deadline.
    constexpr Duration defaultTimeout = std::chrono::milliseconds(2500);
    // The response must arrive before the deadline of the client.
    constexpr Duration responseMargin = std::chrono::milliseconds(100);

}

CallerApi::CallerApi(Forwarder& forwarder, StreamForwarder& streams, registry::LeaderClient& leader, const registry::StateAge& stateAge, metrics::Registry& metrics)
    : m_forwarder(forwarder)
    , m_streams(streams)
    , m_leader(leader)
    , m_stateAge(stateAge)
    , m_metrics(metrics)
{
}

void CallerApi::handle(const http1::ExchangePointer& exchange)
{
    const http1::Request& request = exchange->request();
    const std::string_view path = http1::pathOf(request.target);
    if (!m_routes)
        return exchange->respond(unavailable("no configuration has been received yet"));
    if (path.starts_with(jobPath) || path.starts_with(itemPath))
        return handleJobCall(exchange, path);
    const gateway::Route* route = m_routes->find(gateway::hostWithoutPort(request.fields.find("Host")), path);
    if (!route)
        return refuseByConfiguration(exchange, plain(404, "no route matches the host and path"));
    if (refuseDuringDrain(exchange, route->kind == gateway::RouteKind::Batch ? defaultTimeout : route->timeout))
        return;
    const auto workspace = admit(exchange, !route->isPublic);
    if (!workspace)
        return;
    if (route->kind == gateway::RouteKind::Batch)
        return submit(exchange, *route, *workspace);
    const gateway::ForwardRequest task = gateway::requestOf(exchange, m_routes, *route, *workspace);
    if (route->kind == gateway::RouteKind::Streaming)
        return m_streams.forward(exchange, task);
    static_cast<void>(gateway::forwardExchange(m_forwarder, exchange, task, [exchange](gateway::ForwardResult result) { gateway::respond(exchange, std::move(result.response)); }));
}

/// Handles a call for a batch job that was submitted before. Its path matches no route, so the host tells whether callers
/// without a key may have submitted it.
void CallerApi::handleJobCall(const http1::ExchangePointer& exchange, std::string_view path)
{
    if (refuseDuringDrain(exchange, defaultTimeout))
        return;
    const http1::Request& request = exchange->request();
    const auto workspace = admit(exchange, !gateway::hasPublicBatchRoute(*m_routes, gateway::hostWithoutPort(request.fields.find("Host"))));
    if (!workspace)
        return;
    const bool isItemCall = path.starts_with(itemPath);
    const batch::JobId job { std::string(path.substr((isItemCall ? itemPath : jobPath).size())) };
    if (request.method == "GET")
        return isItemCall ? readItem(exchange, job, *workspace) : readResults(exchange, job, *workspace);
    if (request.method == "DELETE" && !isItemCall)
        return endJob(exchange, job, *workspace);
    exchange->respond(plain(405, isItemCall ? "only GET is supported" : "only GET and DELETE are supported"));
}

/// Returns the workspace of the caller and replaces its key in the request by the name of the workspace, so that no other
/// process receives the key. The name is empty if the caller belongs to none. Responds and returns nothing if the request
/// lacks a required key or has one that no workspace has.
std::optional<WorkspaceName> CallerApi::admit(const http1::ExchangePointer& exchange, bool isKeyRequired) const
{
    const gateway::WorkspaceTable* workspaces = m_routes->workspaces();
    if (!workspaces)
        return WorkspaceName();
    http1::Request& request = exchange->request();
    const auto caller = workspaces->findCaller(EndpointProtocol::keyOf(request));
    if (!caller && isKeyRequired) {
        m_metrics.counter("gateway_unknown_keys_total").add();
        http1::Response refusal = plain(401, "the request needs a key of a workspace");
        refusal.fields.add("WWW-Authenticate", "Bearer");
        refuseByConfiguration(exchange, refusal);
        return std::nullopt;
    }
    EndpointProtocol::setCaller(request, caller.value_or(gateway::Caller {}));
    return caller ? caller->workspace : WorkspaceName();
}

/// Responds that the configuration does not allow a request: it matches no route, or has no valid key. This is final.
/// While a newer configuration may allow it, responds that the request may be retried instead.
void CallerApi::refuseByConfiguration(const http1::ExchangePointer& exchange, const http1::Response& refusal) const
{
    const TimePoint now = m_clock.now();
    const http1::Request& request = exchange->request();
    const http1::Response response = m_stateAge.isCurrent(now) ? refusal : unavailable("the newest configuration is not known at present");
    m_log.info("id={} target={} configuration={} age-ms={} status={}", EndpointProtocol::requestId(request), request.target, m_routes->version(), m_stateAge.age(now) / std::chrono::milliseconds(1), response.status);
    exchange->respond(response);
}

/// Refuses a request that might be cut off by the end of the process after it has run.
bool CallerApi::refuseDuringDrain(const http1::ExchangePointer& exchange, Duration timeout) const
{
    const http1::Request& request = exchange->request();
    const Duration timeLimit = std::min(EndpointProtocol::clientTimeout(request).value_or(timeout), timeout);
    if (!m_drain || gateway::isTakenDuringDrain(*m_drain, m_clock.now(), timeLimit))
        return false;
    m_log.info("id={} target={} outcome=refused cause=draining", EndpointProtocol::requestId(request), request.target);
    http1::Response response = plain(503, "this instance is about to stop");
    response.fields.add("Retry-After", "0");
    exchange->respond(response);
    return true;
}

TimePoint CallerApi::deadlineOf(const http1::Exchange& exchange) const
{
    return exchange.receivedAt() + EndpointProtocol::clientTimeout(exchange.request()).value_or(defaultTimeout) - responseMargin;
}

void CallerApi::submit(const http1::ExchangePointer& exchange, const gateway::Route& route, const WorkspaceName& workspace)
{
    const batch::JobId id(EndpointProtocol::requestId(exchange->request()));
    // The bodies of items are base64, so decoded they take three quarters of the text. The text is freed right after
    // decoding, because the encoded job exists twice on its way to the leader.
    std::string text = std::exchange(exchange->request().body, {});
    if (!exchange->mayDecode(internal::parsedBytes(text) + text.size() / 4 * 3)) {
        m_log.info("job id={} status=503 bytes={} cause=\"no memory to decode it\"", id, text.size());
        return exchange->respond(unavailable("too many request bodies are in progress"));
    }
    auto spec = decodeJob(id, route, workspace, text);
    text = std::string();
    // A key in an item's own fields must not reach the leader and its log either.
    if (spec && m_routes->workspaces()) {
        for (batch::ItemSpec& item : spec->items)
            std::erase_if(item.fields, [](const batch::ItemField& field) { return EndpointProtocol::namesCaller(field.name); });
    }
    submitDecoded(exchange, id, std::move(spec));
}

void CallerApi::submitDecoded(const http1::ExchangePointer& exchange, const batch::JobId& id, tl::expected<batch::JobSpec, std::string> spec)
{
    if (exchange->request().method != "POST" || id.empty() || !spec) {
        const std::string reason = spec ? "a batch job must be submitted with POST and an identifier" : spec.error();
        m_log.info("job id={} status=400 cause=\"{}\"", id, reason);
        return exchange->respond(plain(400, reason));
    }
    if (const auto unroutable = gateway::findUnroutableItem(*m_routes, *spec)) {
        m_log.info("job id={} item={} cause=\"no plain route for its reward call\"", id, *unroutable);
        return refuseByConfiguration(exchange, plain(400, "the reward call of an item matches no plain route"));
    }
    const TimePoint deadline = std::min(deadlineOf(*exchange), exchange->receivedAt() + defaultTimeout);
    m_leader.send(registry::SubmitJobRequest { std::move(*spec) }, deadline, [this, exchange, id](registry::LeaderResult<registry::SubmitJobReply> reply) {
        const http1::Response response = !reply ? noReply(reply.error()) : reply->isAccepted ? plain(202, "accepted")
                                                                                             : unavailable("the batch job cannot be accepted now");
        m_log.info("job id={} status={} leader={}", id, response.status, m_leader.leader() ? formatAddress(*m_leader.leader()) : std::string());
        exchange->respond(response);
    });
}

void CallerApi::readResults(const http1::ExchangePointer& exchange, const batch::JobId& job, const WorkspaceName& workspace)
{
    const std::uint64_t after = internal::leadingCount(http1::queryParameter(exchange->request().target, "after").value_or("0")).value_or(0);
    const std::uint64_t wait = std::min(internal::leadingCount(exchange->request().fields.find(waitField)).value_or(0), maxWaitMs);
    const TimePoint deadline = m_clock.now() + std::chrono::milliseconds(wait) + std::chrono::milliseconds(1000);
    m_leader.send(registry::ReadResultsRequest { job, after, wait, workspace }, deadline, [this, exchange, job, after](const registry::LeaderResult<registry::ReadResultsReply>& reply) {
        if (!reply) {
            m_log.info("job id={} after={} status=503", job, after);
            return exchange->respond(unavailable("the leader did not respond"));
        }
        exchange->respond(reply->isKnown ? json(200, encodeResults(*reply, after)) : plain(404, "no such batch job"));
    });
}

void CallerApi::readItem(const http1::ExchangePointer& exchange, const batch::JobId& job, const WorkspaceName& workspace)
{
    const batch::ItemId item(http1::queryParameter(exchange->request().target, "id").value_or(std::string()));
    const TimePoint deadline = m_clock.now() + std::chrono::milliseconds(1000);
    m_leader.send(registry::ReadItemRequest { job, item, workspace }, deadline, [exchange](const registry::LeaderResult<registry::ReadItemReply>& reply) {
        if (!reply)
            return exchange->respond(unavailable("the leader did not respond"));
        exchange->respond(reply->isKnown ? bytes(200, reply->body) : plain(404, "no such item"));
    });
}

void CallerApi::endJob(const http1::ExchangePointer& exchange, const batch::JobId& job, const WorkspaceName& workspace)
{
    const TimePoint deadline = m_clock.now() + std::chrono::milliseconds(1500);
    m_leader.send(registry::EndJobRequest { job, workspace }, deadline, [exchange](const registry::LeaderResult<registry::EndJobReply>& reply) {
        if (!reply)
            return exchange->respond(noReply(reply.error()));
        exchange->respond(reply->isKnown ? plain(200, "ended") : plain(404, "no such batch job"));
    });
}

}
