#include "azurepaddle/registry/usage_service.hpp"

#include <utility>

namespace azurepaddle::registry {

namespace {

    // Bounds the log entries for usage, whatever the number of entry instances.
    constexpr Duration recordInterval = std::chrono::milliseconds(400);

}

UsageService::UsageService(asio::io_context& io, ServiceGroup& group, const StateMachine& machine)
    : m_io(io)
    , m_group(group)
    , m_machine(machine)
{
}

void UsageService::registerHandlers(transport::PeerServer& server)
{
    handleRequests<ReportUsageRequest>(server, m_io, [this](ReportUsageRequest request, const transport::PeerResponder& respond) {
        const auto leader = m_group.leaderAddress();
        const Responder<ReportUsageReply> responder(respond, leader ? formatAddress(*leader) : std::string());
        if (!m_group.hasCurrentState())
            return responder.notLeader();
        m_received.push_back({ std::move(request.report), responder });
    });
}

void UsageService::tick()
{
    const TimePoint now = m_clock.now();
    if (m_received.empty() || now < m_nextRecord)
        return;
    m_nextRecord = now + recordInterval;
    record();
}

void UsageService::record()
{
    RecordUsage command;
    std::vector<Responder<ReportUsageReply>> responders;
    for (Received& received : std::exchange(m_received, {})) {
        command.reports.push_back(std::move(received.report));
        responders.push_back(received.responder);
    }
    m_group.propose(encodeCommand(command), [this, responders](const cluster::ProposalResult& result) {
        const auto newest = m_machine.usage().newestSealed();
        for (const auto& responder : responders) {
            if (result.status == cluster::ProposalStatus::Applied)
                responder.ok({ newest.has_value(), newest.value_or(0) });
            else
                responder.failed(result.status);
        }
    });
}

void UsageService::onLeadership()
{
    for (const Received& received : std::exchange(m_received, {}))
        received.responder.notLeader();
}

}
