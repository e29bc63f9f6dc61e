#pragma once

#include "azurepaddle/cluster/group.hpp"
#include "azurepaddle/registry/permit_table.hpp"
#include "azurepaddle/registry/requests.hpp"
#include "azurepaddle/registry/state_machine.hpp"

namespace azurepaddle::registry {

using ServiceGroup = cluster::Group<StateMachine>;

/// Limits and timeouts of the leader service.
struct LeaderOptions {
    std::size_t voters = 3; ///< Minimum number of participants and spares that remain when an instance is retired.
    std::size_t maxJobBytes = 96U * 1024U * 1024U; ///< Limit of stored bodies and outputs; beyond it new jobs are refused.
    Duration jobLifetime = std::chrono::seconds(120); ///< Minimum time after the submission for which results can be read.
    Duration endpointTimeout = std::chrono::seconds(8); ///< Time without a heartbeat after which an endpoint is removed.
};

/// The names of the participants in the committed membership and in the newest one, which may not be committed yet.
struct MemberNames {
    std::set<std::string> committed;
    std::set<std::string> newest;

    [[nodiscard]] static MemberNames of(const ServiceGroup& group);
    [[nodiscard]] bool anyContains(const std::string& name) const { return committed.contains(name) || newest.contains(name); }
    /// The participants that are neither being added nor being removed.
    [[nodiscard]] std::set<std::string> inBoth() const;

    friend bool operator==(const MemberNames&, const MemberNames&) = default;
};

/// Returns the state of an instance that may be retiring. It is completed only once its removal is committed: its machine
/// is then removed, and a later leader that did not hold the removal would still count its vote.
[[nodiscard]] RetireState retireStateOf(const std::string& instance, const std::set<std::string>& retiring, const MemberNames& members);

/// Sends the reply of one request.
template <typename Reply>
class Responder {
public:
    Responder(transport::PeerResponder respond, std::string leader)
        : m_respond(std::move(respond))
        , m_leader(std::move(leader))
    {
    }

    void ok(const Reply& reply) const { send({ control::GroupStatus::Ok, codec::encode(reply), {} }); }
    /// Replies that the request was not executed, and redirects to an instance that may handle it.
    void notLeader() const { send({ control::GroupStatus::NotLeader, {}, m_leader }); }
    /// Replies with the outcome of a proposal that was not applied.
    void failed(cluster::ProposalStatus status) const
    {
        if (status == cluster::ProposalStatus::NotLeader)
            return notLeader();
        send({ status == cluster::ProposalStatus::Busy ? control::GroupStatus::Busy : control::GroupStatus::OutcomeUnknown, {}, {} });
    }

private:
    void send(const control::GroupReply& reply) const { m_respond(codec::encode(reply)); }

    transport::PeerResponder m_respond;
    std::string m_leader; ///< Peer address to redirect to; empty if unknown.
};

/// Registers a method whose requests are decoded and handled on the event loop of the instance.
template <typename Request, typename Handler>
void handleRequests(transport::PeerServer& server, asio::io_context& io, Handler handler)
{
    server.handleDeferred(std::string(Request::method), [&io, handler](transport::PeerRequest peerRequest, transport::PeerResponder respond) {
        asio::post(io, [handler, body = std::move(peerRequest.body), respond = std::move(respond)] {
            auto request = codec::decode<Request>(body);
            if (!request)
                return respond(tl::unexpected(request.error().message()));
            handler(std::move(*request), respond);
        });
    });
}

/// Handles the requests of other instances to the leader. Reads are answered only while no other leader can exist, and
/// writes once they are committed and applied.
class LeaderService {
public:
    LeaderService(asio::io_context& io, ServiceGroup& group, const StateMachine& machine, Liveness& liveness, LeaderOptions options);

    /// Registers a method for each request type. Must be called before the server starts.
    void registerHandlers(transport::PeerServer& server);
    /// Sets the callback for changes of jobs, published versions, endpoints or the configuration.
    void setOnChange(std::function<void()> onChange) { m_onChange = std::move(onChange); }
    /// Grants or refuses a permit for a request that this instance sends itself; nothing unless it is the leader.
    [[nodiscard]] std::optional<PermitReply> requestPermit(const PermitRequest& request);
    /// Replies to all reads that wait for results of a job.
    void answerPendingReads(const batch::JobId& job);
    /// Replies to reads whose wait has expired, and removes endpoints without heartbeats, expired jobs and old crashes.
    /// Called every few tens of milliseconds.
    void tick();
    /// Resets the state of the leader's term when this instance becomes or ceases to be the leader.
    void onLeadership(bool isLeading);

private:
    struct PendingRead {
        ReadResultsRequest request;
        Responder<ReadResultsReply> responder;
        TimePoint deadline;
    };

    void handle(const HeartbeatReportRequest& request, const Responder<Acknowledgement>& responder);
    void handle(const DrainingReportRequest& request, const Responder<Acknowledgement>& responder);
    void handle(const SuspectsRequest& request, const Responder<Acknowledgement>& responder);
    void handle(const HeartbeatRequest& request, const Responder<Acknowledgement>& responder);
    void handle(RecordStreamsRequest request, const Responder<Acknowledgement>& responder);
    void handle(const FindStreamRequest& request, const Responder<FindStreamReply>& responder);
    void handle(const PermitRequest& request, const Responder<PermitReply>& responder);
    void handle(const DeregisterRequest& request, const Responder<Acknowledgement>& responder);
    void handle(PutConfigurationRequest request, const Responder<PutConfigurationReply>& responder);
    void handle(const ReadConfigurationRequest& request, const Responder<ReadConfigurationReply>& responder);
    void handle(const PublishVersionRequest& request, const Responder<Acknowledgement>& responder);
    void handle(const RetireRequest& request, const Responder<RetireReply>& responder);
    void handle(SubmitJobRequest request, const Responder<SubmitJobReply>& responder);
    void handle(ReadResultsRequest request, const Responder<ReadResultsReply>& responder);
    void handle(const ReadItemRequest& request, const Responder<ReadItemReply>& responder);
    void handle(const EndJobRequest& request, const Responder<EndJobReply>& responder);

    template <typename Request>
    void registerHandler(transport::PeerServer& server);
    template <typename Reply>
    void propose(const Command& command, const Responder<Reply>& responder, std::function<void(const std::string&)> onApplied);
    /// Removes and returns the pending reads that meet a condition.
    template <typename Condition>
    [[nodiscard]] std::vector<PendingRead> takePendingReads(Condition condition);
    [[nodiscard]] const batch::Job* findJob(const batch::JobId& id, const WorkspaceName& caller) const;
    [[nodiscard]] ReadResultsReply readResults(const ReadResultsRequest& request) const;
    void removeExpiredJobs(TimePoint now);
    void removeTimedOutEndpoints(TimePoint now);
    void drainReportedEndpoints();
    void expireOldCrashes();
    void logSuspects(const std::vector<EndpointCrash>& crashes) const;
    [[nodiscard]] std::uint64_t unixMs() const;
    void notifyChange();

    asio::io_context& m_io;
    ServiceGroup& m_group;
    const StateMachine& m_machine;
    Liveness& m_liveness;
    const LeaderOptions m_options;
    const Log m_log { "leader" };
    const SystemClock m_clock {};
    std::function<void()> m_onChange;
    std::vector<PendingRead> m_pendingReads;
    PermitTable m_permits;
    std::map<batch::JobId, TimePoint> m_jobFirstSeen;
    std::set<EndpointId> m_removing; ///< Removal proposed, not yet applied.
    std::set<EndpointId> m_draining; ///< Draining state proposed, not yet applied.
    TimePoint m_nextCleanup {};
};

}
