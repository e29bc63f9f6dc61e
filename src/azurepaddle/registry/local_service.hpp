#pragma once

#include "azurepaddle/registry/entry_list.hpp"
#include "azurepaddle/registry/leader_client.hpp"
#include "azurepaddle/registry/leader_service.hpp"

namespace azurepaddle::registry {

/// Handles the requests that any store instance can answer from its replica while that is recent: polls of entry
/// instances, and heartbeats that change nothing. Heartbeats with changes are sent to the leader, all others are
/// reported to it in one message at intervals, so that its load does not grow with the number of instances and
/// endpoints.
class LocalService {
public:
    LocalService(asio::io_context& io, ServiceGroup& group, const StateMachine& machine, LeaderClient& leader, DataCentreName dataCentre);

    /// Registers the methods of entry instances. Must be called before the server starts.
    void registerHandlers(transport::PeerServer& server);
    /// Sets the services whose endpoints entry instances need under a version of the configuration.
    void setServices(std::uint64_t configurationVersion, std::set<ServiceName> services)
    {
        m_servicesVersion = configurationVersion;
        m_services = std::move(services);
    }
    /// Accepts a heartbeat that changes nothing. False if it must be sent to the leader.
    [[nodiscard]] bool acceptHeartbeat(const EndpointHeartbeat& heartbeat);
    /// If this instance holds no replica: the peer address of an instance that can accept heartbeats of the endpoint.
    [[nodiscard]] std::optional<InstanceAddress> preferredInstanceFor(const EndpointId& id) const;
    /// Replies to polls that have changes or whose wait has expired, and reports heartbeats. Called every few tens of
    /// milliseconds.
    void tick();

private:
    struct WaitingPoll {
        PollRequest request;
        Responder<PollReply> responder;
        TimePoint receivedAt;
    };

    void handle(const PollRequest& request, const Responder<PollReply>& responder);
    void handle(const FindEntriesRequest& request, const Responder<FindEntriesReply>& responder);
    [[nodiscard]] std::string redirectTarget() const;
    [[nodiscard]] bool areServicesCurrent() const { return m_servicesVersion == m_machine.configuration().version; }
    [[nodiscard]] bool replyIfDue(WaitingPoll& poll, TimePoint now) const;
    [[nodiscard]] PollReply replyTo(const WaitingPoll& poll, TimePoint now) const;
    void addEndpoints(PollReply& reply, const PollRequest& request) const;
    void addSuspects(PollReply& reply, const PollRequest& request) const;
    void logFreshness(TimePoint now);
    void replyToPolls(TimePoint now);
    void reportHeartbeats(TimePoint now);

    asio::io_context& m_io;
    ServiceGroup& m_group;
    const StateMachine& m_machine;
    LeaderClient& m_leader;
    const DataCentreName m_dataCentre;
    const Log m_log { "local" };
    const SystemClock m_clock {};
    std::uint64_t m_servicesVersion = 0;
    std::set<ServiceName> m_services;
    std::vector<WaitingPoll> m_waitingPolls;
    EntryList m_entries;
    std::map<EndpointId, HeartbeatStatus> m_unreported; ///< Heartbeats accepted since the last report to the leader.
    bool m_isReporting = false;
    TimePoint m_nextReport {};
    bool m_wasRecent = false; ///< Whether the state was recent in the last log line about it.
    TimePoint m_nextFreshnessLog {};
};

}
