#pragma once

#include "azurepaddle/gateway/forwarder.hpp"
#include "azurepaddle/platform/endpoint_protocol.hpp"
#include "azurepaddle/registry/leader_client.hpp"
#include "azurepaddle/registry/state_age.hpp"

namespace azurepaddle::platform {

/// Handles the requests of the platform's clients at an entry instance: plain requests go to the forwarder, calls for
/// batch jobs to the leader.
class CallerApi {
public:
    using Forwarder = gateway::Forwarder<EndpointProtocol>;

    /// Requests that match no route are answered as such only while the state's age allows it.
    CallerApi(Forwarder& forwarder, registry::LeaderClient& leader, const registry::StateAge& stateAge);

    /// Replaces the routes. Null until a configuration is received.
    void setRoutes(std::shared_ptr<const gateway::RouteTable> routes) { m_routes = std::move(routes); }
    void handle(const http1::ExchangePointer& exchange);

private:
    void submit(const http1::ExchangePointer& exchange, const gateway::Route& route);
    void readResults(const http1::ExchangePointer& exchange, const batch::JobId& job);
    void readItem(const http1::ExchangePointer& exchange, const batch::JobId& job);
    void endJob(const http1::ExchangePointer& exchange, const batch::JobId& job);
    void refuseUnroutable(const http1::ExchangePointer& exchange, const http1::Response& refusal) const;
    [[nodiscard]] TimePoint deadlineOf(const http1::Exchange& exchange) const;

    Forwarder& m_forwarder;
    registry::LeaderClient& m_leader;
    const registry::StateAge& m_stateAge;
    std::shared_ptr<const gateway::RouteTable> m_routes;
    const Log m_log { "calls" };
    const SystemClock m_clock {};
};

}
