#pragma once

#include "azurepaddle/gateway/forwarder.hpp"
#include "azurepaddle/gateway/relay.hpp"
#include "azurepaddle/registry/directory_progress.hpp"
#include "azurepaddle/registry/leader_service.hpp"

#include <map>

namespace azurepaddle::gateway {

/// Forwards the requests of other entry instances that are cut off from the endpoints.
template <typename Protocol>
class RelayServer {
public:
    /// Requests are declined while `mayTake` returns false, and those that continue a stream also while the endpoints of
    /// this instance are older than those of the sender.
    RelayServer(asio::io_context& io, Forwarder<Protocol>& forwarder, const registry::DirectoryProgress& directory, std::function<bool()> mayTake, metrics::Registry& metrics)
        : m_io(io)
        , m_forwarder(forwarder)
        , m_directory(directory)
        , m_mayTake(std::move(mayTake))
        , m_metrics(metrics)
    {
    }

    /// Must be called before the server starts.
    void registerHandlers(transport::PeerServer& server);
    /// Replaces the routes. Null until a configuration is received.
    void setRoutes(std::shared_ptr<const RouteTable> routes) { m_routes = std::move(routes); }
    [[nodiscard]] std::size_t inProgress() const noexcept { return m_calls.size(); }

private:
    void handle(RelayRequest request, const transport::PeerResponder& respond);
    void cancel(const RelayCancelRequest& request, const transport::PeerResponder& respond);

    asio::io_context& m_io;
    Forwarder<Protocol>& m_forwarder;
    const registry::DirectoryProgress& m_directory;
    std::function<bool()> m_mayTake;
    metrics::Registry& m_metrics;
    const Log m_log { "relay" };
    const SystemClock m_clock {};
    std::shared_ptr<const RouteTable> m_routes;
    std::map<std::string, std::shared_ptr<ForwardCall>> m_calls; ///< In progress, by identifier. Null until the forwarder has returned.
};

template <typename Protocol>
void RelayServer<Protocol>::registerHandlers(transport::PeerServer& server)
{
    registry::handleRequests<RelayRequest>(server, m_io, [this](RelayRequest request, const transport::PeerResponder& respond) { handle(std::move(request), respond); });
    registry::handleRequests<RelayCancelRequest>(server, m_io, [this](const RelayCancelRequest& request, const transport::PeerResponder& respond) { cancel(request, respond); });
}

template <typename Protocol>
void RelayServer<Protocol>::handle(RelayRequest message, const transport::PeerResponder& respond)
{
    const auto request = std::make_shared<http1::Request>(http1::Request { std::move(message.httpMethod), std::move(message.target), fromRelayFields(message.fields), std::move(message.body) });
    const Route* route = m_routes ? m_routes->find(hostWithoutPort(request->fields.find("Host")), http1::pathOf(request->target)) : nullptr;
    const bool isForwarded = route && route->kind != RouteKind::Batch && !m_calls.contains(message.id) && m_mayTake() && m_directory.revision() >= message.directoryRevision;
    m_log.info("id={} relay={} runs={} remaining-ms={} outcome={}", Protocol::requestId(*request), message.id, message.runs, message.remainingMs, isForwarded ? "accepted" : "declined");
    if (!isForwarded)
        return respond(codec::encode(RelayReply {}));
    m_metrics.counter("gateway_relays_accepted_total").add();
    const TimePoint now = m_clock.now();
    ForwardRequest task { request, now, m_routes, { m_routes, route } };
    task.deadline = now + std::chrono::milliseconds(message.remainingMs);
    task.earlier = { message.runs, message.refusals };
    task.workspace = message.workspace;
    if (message.isContinuation)
        task.origin = message.origin;
    m_calls[message.id];
    const auto call = m_forwarder.send(task, [this, respond, id = message.id](const ForwardResult& result) {
        m_calls.erase(id);
        const http1::Response& response = result.response;
        respond(codec::encode(RelayReply { true, response.status, response.reason, toRelayFields(response.fields), response.body, result.endpoint, result.origin }));
    });
    if (const auto active = m_calls.find(message.id); active != m_calls.end())
        active->second = call;
}

template <typename Protocol>
void RelayServer<Protocol>::cancel(const RelayCancelRequest& request, const transport::PeerResponder& respond)
{
    const auto found = m_calls.find(request.id);
    const bool isKnown = found != m_calls.end();
    if (isKnown) {
        const auto call = found->second;
        m_calls.erase(found);
        call->cancel();
    }
    respond(codec::encode(RelayCancelReply { isKnown }));
}

}
