#pragma once

#include "azurepaddle/core/log.hpp"
#include "azurepaddle/http1/server.hpp"
#include "azurepaddle/registry/leader_client.hpp"
#include "azurepaddle/registry/requests.hpp"

namespace azurepaddle::platform {

/// The calls of endpoints, operators and trainers at a control instance. All of them are answered by the leader.
class ControlApi {
public:
    explicit ControlApi(registry::LeaderClient& leader)
        : m_leader(leader)
    {
    }

    void handle(const http1::ExchangePointer& exchange);

private:
    void beat(const http1::ExchangePointer& exchange, std::string_view id);
    void leave(const http1::ExchangePointer& exchange, std::string_view id);
    void putConfiguration(const http1::ExchangePointer& exchange);
    void readConfiguration(const http1::ExchangePointer& exchange);
    void nameVersion(const http1::ExchangePointer& exchange);
    void retire(const http1::ExchangePointer& exchange, std::string_view instance, bool isBegin);

    registry::LeaderClient& m_leader;
    const Log m_log { "control" };
    const SystemClock m_clock {};
};

}
