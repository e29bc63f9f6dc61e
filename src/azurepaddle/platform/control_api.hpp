#pragma once

#include "azurepaddle/core/log.hpp"
#include "azurepaddle/http1/server.hpp"
#include "azurepaddle/registry/leader_client.hpp"
#include "azurepaddle/registry/local_service.hpp"
#include "azurepaddle/registry/requests.hpp"

namespace azurepaddle::platform {

/// Handles the calls of endpoints, operators and trainers at a control instance. They are passed to the leader, except
/// heartbeats that change nothing.
class ControlApi {
public:
    /// `controlPort` is the port at which all instances serve these calls.
    ControlApi(registry::LocalService& local, registry::LeaderClient& leader, std::uint16_t controlPort)
        : m_local(local)
        , m_leader(leader)
        , m_controlPort(controlPort)
    {
    }

    void handle(const http1::ExchangePointer& exchange);

private:
    void receiveHeartbeat(const http1::ExchangePointer& exchange, std::string_view id);
    void deregister(const http1::ExchangePointer& exchange, std::string_view id);
    void putConfiguration(const http1::ExchangePointer& exchange);
    void readConfiguration(const http1::ExchangePointer& exchange);
    void publishVersion(const http1::ExchangePointer& exchange);
    void retire(const http1::ExchangePointer& exchange, std::string_view instance, bool isBegin);

    registry::LocalService& m_local;
    registry::LeaderClient& m_leader;
    const std::uint16_t m_controlPort;
    const Log m_log { "control" };
    const SystemClock m_clock {};
};

}
