#pragma once

#include "azurepaddle/registry/leader_service.hpp"

namespace azurepaddle::registry {

/// Receives the counts of entries at the leader. Reports that arrive within a short time are recorded by one entry of the
/// replicated log, and acknowledged once it is committed.
class UsageService {
public:
    UsageService(asio::io_context& io, ServiceGroup& group, const StateMachine& machine);

    /// Must be called before the server starts.
    void registerHandlers(transport::PeerServer& server);
    /// Records the reports received so far, if it is time. Called every few tens of milliseconds.
    void tick();
    void onLeadership();

private:
    struct Received {
        UsageReport report;
        Responder<ReportUsageReply> responder;
    };

    void record();

    asio::io_context& m_io;
    ServiceGroup& m_group;
    const StateMachine& m_machine;
    const SystemClock m_clock {};
    std::vector<Received> m_received;
    TimePoint m_nextRecord {};
};

}
