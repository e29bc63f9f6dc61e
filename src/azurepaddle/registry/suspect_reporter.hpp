#pragma once

#include "azurepaddle/core/log.hpp"
#include "azurepaddle/registry/leader_client.hpp"
#include "azurepaddle/registry/requests.hpp"

namespace azurepaddle::registry {

/// Tells the leader of crashes and of requests that were answered whole, until it has taken them. One message is on its way
/// at a time.
class SuspectReporter {
public:
    SuspectReporter(asio::io_context& io, LeaderClient& leader)
        : m_io(io)
        , m_leader(leader)
    {
    }

    void add(const SuspectsRequest& report);

private:
    void send();

    asio::io_context& m_io;
    LeaderClient& m_leader;
    const Log m_log { "crash" };
    const SystemClock m_clock {};
    SuspectsRequest m_waiting;
    bool m_isSending = false;
};

}
