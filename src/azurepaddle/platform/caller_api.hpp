#pragma once

#include "azurepaddle/gateway/drain_policy.hpp"
#include "azurepaddle/gateway/relay_forwarder.hpp"
#include "azurepaddle/gateway/stream_forwarder.hpp"
#include "azurepaddle/platform/endpoint_protocol.hpp"
#include "azurepaddle/registry/leader_client.hpp"
#include "azurepaddle/registry/state_age.hpp"

namespace azurepaddle::platform {

/// Handles the requests of the platform's clients at an entry instance: plain requests and those for streams go to their
/// forwarders, calls for batch jobs to the leader.
class CallerApi {
public:
    using Forwarder = gateway::RelayForwarder<EndpointProtocol>;
    using StreamForwarder = gateway::StreamForwarder<EndpointProtocol, Forwarder>;

    /// Requests that the configuration does not allow are refused for good only while the state's age allows it.
    CallerApi(Forwarder& forwarder, StreamForwarder& streams, registry::LeaderClient& leader, const registry::StateAge& stateAge, metrics::Registry& metrics);

    /// Replaces the routes. Null until a configuration is received.
    void setRoutes(std::shared_ptr<const gateway::RouteTable> routes) { m_routes = std::move(routes); }
    void handle(const http1::ExchangePointer& exchange);
    /// Refuses requests from now on that cannot be answered within the window.
    void beginDrain(const gateway::DrainWindow& window) { m_drain = window; }

private:
    [[nodiscard]] bool refuseDuringDrain(const http1::ExchangePointer& exchange, Duration timeout) const;
    [[nodiscard]] std::optional<WorkspaceName> admit(const http1::ExchangePointer& exchange, bool isKeyRequired) const;
    void handleJobCall(const http1::ExchangePointer& exchange, std::string_view path);
    void submit(const http1::ExchangePointer& exchange, const gateway::Route& route, const WorkspaceName& workspace);
    void submitDecoded(const http1::ExchangePointer& exchange, const batch::JobId& id, tl::expected<batch::JobSpec, std::string> spec);
    void readResults(const http1::ExchangePointer& exchange, const batch::JobId& job, const WorkspaceName& workspace);
    void readItem(const http1::ExchangePointer& exchange, const batch::JobId& job, const WorkspaceName& workspace);
    void endJob(const http1::ExchangePointer& exchange, const batch::JobId& job, const WorkspaceName& workspace);
    void refuseByConfiguration(const http1::ExchangePointer& exchange, const http1::Response& refusal) const;
    [[nodiscard]] TimePoint deadlineOf(const http1::Exchange& exchange) const;

    Forwarder& m_forwarder;
    StreamForwarder& m_streams;
    registry::LeaderClient& m_leader;
    const registry::StateAge& m_stateAge;
    metrics::Registry& m_metrics;
    std::shared_ptr<const gateway::RouteTable> m_routes;
    std::optional<gateway::DrainWindow> m_drain;
    const Log m_log { "calls" };
    const SystemClock m_clock {};
};

}
