#pragma once

#include "azurepaddle/registry/leader_client.hpp"
#include "azurepaddle/registry/leader_service.hpp"

namespace azurepaddle::registry {

/// Answers what any store instance can answer from its own copy of the agreed state, while that is recent: polls of entry
/// instances, and heartbeats of endpoints that change nothing. The leader hears of changes, and in one message of all
/// endpoints that were heard here, so that its work does not grow with the number of instances and endpoints.
class LocalService {
public:
    LocalService(asio::io_context& io, ServiceGroup& group, const StateMachine& machine, LeaderClient& leader, DataCentreName dataCentre);

    /// Registers the method of polls. Before the server starts.
    void registerHandlers(transport::PeerServer& server);
    /// Names the services whose endpoints entry instances need to know under a version of the configuration.
    void setServices(std::uint64_t configurationVersion, std::set<ServiceName> services)
    {
        m_servicesVersion = configurationVersion;
        m_services = std::move(services);
    }
    /// Settles a heartbeat that changes nothing. False if the leader has to take it.
    [[nodiscard]] bool acceptHeartbeat(const EndpointHeartbeat& beat);
    /// The peer address of an instance that settles heartbeats of the endpoint itself, if this one holds no state.
    [[nodiscard]] std::optional<InstanceAddress> preferredInstanceFor(const EndpointId& id) const;
    /// Answers polls that have news or waited long enough, and reports heartbeats. Called every few 10 ms.
    void tick();

private:
    struct WaitingPoll {
        PollRequest request;
        Answer<PollReply> answer;
        TimePoint deadline;
    };

    void handle(const PollRequest& request, const Answer<PollReply>& answer);
    [[nodiscard]] std::string otherInstance() const;
    [[nodiscard]] bool knowsServices() const { return m_servicesVersion == m_machine.configuration().version; }
    [[nodiscard]] bool answerIfDue(WaitingPoll& poll, TimePoint now) const;
    [[nodiscard]] PollReply replyTo(const PollRequest& request) const;
    void addEndpoints(PollReply& reply, const PollRequest& request) const;
    void addSuspects(PollReply& reply, const PollRequest& request) const;
    void answerPolls(TimePoint now);
    void reportBeats(TimePoint now);

    asio::io_context& m_io;
    ServiceGroup& m_group;
    const StateMachine& m_machine;
    LeaderClient& m_leader;
    const DataCentreName m_dataCentre;
    const SystemClock m_clock {};
    std::uint64_t m_servicesVersion = 0;
    std::set<ServiceName> m_services;
    std::vector<WaitingPoll> m_waiting;
    std::map<EndpointId, HeartbeatStatus> m_heard; ///< Since the last report.
    bool m_isReporting = false;
    TimePoint m_nextReport {};
};

}
