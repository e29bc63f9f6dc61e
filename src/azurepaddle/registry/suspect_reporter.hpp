#pragma once

#include "azurepaddle/core/log.hpp"
#include "azurepaddle/registry/leader_client.hpp"
#include "azurepaddle/registry/requests.hpp"

namespace azurepaddle::registry {

/// Reports crashes, and suspected requests that got a complete response, to the leader and retries until it confirms
/// them. One message is in flight at a time.
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
    SuspectsRequest m_pending;
    bool m_isSending = false;
};

}
