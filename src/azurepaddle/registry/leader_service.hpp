#pragma once

#include "azurepaddle/cluster/group.hpp"
#include "azurepaddle/registry/requests.hpp"
#include "azurepaddle/registry/state_machine.hpp"

namespace azurepaddle::registry {

using ServiceGroup = cluster::Group<StateMachine>;

/// Bounds of the leader's service.
struct LeaderOptions {
    std::size_t voters = 3; ///< Participants that must be left when an instance is emptied.
    std::size_t maxJobBytes = 96U * 1024U * 1024U; ///< Bodies and outputs held; beyond it jobs are refused.
    Duration jobLifetime = std::chrono::seconds(120); ///< Results can be read for this long after the submission.
    Duration endpointSilence = std::chrono::seconds(8); ///< After it, an endpoint is forgotten.
};

/// Sends the reply of one request.
template <typename Reply>
class Answer {
public:
    Answer(transport::PeerResponder respond, std::string leader)
        : m_respond(std::move(respond))
        , m_leader(std::move(leader))
    {
    }

    void ok(const Reply& reply) const { send({ control::GroupStatus::Ok, codec::encode(reply), {} }); }
    /// Nothing was done; another instance leads, or knows more.
    void notLeader() const { send({ control::GroupStatus::NotLeader, {}, m_leader }); }
    /// The outcome of a proposal that was not applied.
    void failed(cluster::ProposalStatus status) const
    {
        if (status == cluster::ProposalStatus::NotLeader)
            return notLeader();
        send({ status == cluster::ProposalStatus::Busy ? control::GroupStatus::Busy : control::GroupStatus::Lost, {}, {} });
    }

private:
    void send(const control::GroupReply& reply) const { m_respond(codec::encode(reply)); }

    transport::PeerResponder m_respond;
    std::string m_leader; ///< Peer address of the leader, as far as known.
};

/// Registers a method whose requests are decoded and handled on the loop of the instance.
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

/// Answers what other instances ask of the leader. Reads are answered only while no other leader can exist, and writes
/// once they are agreed.
class LeaderService {
public:
    LeaderService(asio::io_context& io, ServiceGroup& group, const StateMachine& machine, Liveness& liveness, LeaderOptions options);

    /// Registers a method for each request. Before the server starts.
    void registerHandlers(transport::PeerServer& server);
    /// Called when jobs, named versions or endpoints changed.
    void setOnChange(std::function<void()> onChange) { m_onChange = std::move(onChange); }
    /// Answers those that wait for results of a job.
    void answerPendingReads(const batch::JobId& job);
    /// Ends waits whose time is up, forgets silent endpoints and old jobs. Called every few 10 ms.
    void tick();
    /// Starts anew as a leader, or stops being one.
    void onLeadership(bool isLeading);

private:
    struct Reader {
        ReadResultsRequest request;
        Answer<ReadResultsReply> answer;
        TimePoint deadline;
    };

    void handle(const HeartbeatReportRequest& request, const Answer<Acknowledgement>& answer);
    void handle(const DrainingReportRequest& request, const Answer<Acknowledgement>& answer);
    void handle(const SuspectsRequest& request, const Answer<Acknowledgement>& answer);
    void handle(const HeartbeatRequest& request, const Answer<Acknowledgement>& answer);
    void handle(const DeregisterRequest& request, const Answer<Acknowledgement>& answer);
    void handle(PutConfigurationRequest request, const Answer<PutConfigurationReply>& answer);
    void handle(const ReadConfigurationRequest& request, const Answer<ReadConfigurationReply>& answer);
    void handle(const PublishVersionRequest& request, const Answer<Acknowledgement>& answer);
    void handle(const RetireRequest& request, const Answer<RetireReply>& answer);
    void handle(SubmitJobRequest request, const Answer<SubmitJobReply>& answer);
    void handle(ReadResultsRequest request, const Answer<ReadResultsReply>& answer);
    void handle(const ReadItemRequest& request, const Answer<ReadItemReply>& answer);
    void handle(const EndJobRequest& request, const Answer<EndJobReply>& answer);

    template <typename Request>
    void registerHandler(transport::PeerServer& server);
    template <typename Reply>
    void propose(const Command& command, const Answer<Reply>& answer, std::function<void(const std::string&)> onApplied);
    /// Takes out the waiting readers that meet a condition.
    template <typename Condition>
    [[nodiscard]] std::vector<Reader> takeReaders(Condition condition);
    [[nodiscard]] ReadResultsReply readResults(const batch::JobId& job, std::uint64_t after) const;
    [[nodiscard]] RetireState retireState(const std::string& instance) const;
    [[nodiscard]] std::set<std::string> memberNames() const;
    void removeOldJobs(TimePoint now);
    void forgetSilentEndpoints(TimePoint now);
    void drainLeavingEndpoints();
    void forgetOldCrashes();
    void logSuspects(const std::vector<EndpointCrash>& crashes) const;
    [[nodiscard]] std::uint64_t unixMs() const;
    void changed();

    asio::io_context& m_io;
    ServiceGroup& m_group;
    const StateMachine& m_machine;
    Liveness& m_liveness;
    const LeaderOptions m_options;
    const Log m_log { "leader" };
    const SystemClock m_clock {};
    std::function<void()> m_onChange;
    std::vector<Reader> m_readers;
    std::map<batch::JobId, TimePoint> m_jobSeen;
    std::set<EndpointId> m_forgetting; ///< Proposed, not yet applied.
    std::set<EndpointId> m_draining; ///< Proposed, not yet applied.
    TimePoint m_nextSweep {};
};

}
