#pragma once

#include "azurepaddle/control/client.hpp"
#include "azurepaddle/pipeline/run_worker.hpp"
#include "azurepaddle/transport/peer_client.hpp"
#include "azurepaddle/transport/peer_server.hpp"

#include <map>
#include <mutex>

namespace azurepaddle::pipeline {

enum class TrainerCallKind : unsigned char {
    Groups,
    Pull,
    Version,
    Reset,
};

/// A call of a trainer, in the form that instances forward to each other.
struct TrainerCall {
    TrainerCallKind kind = TrainerCallKind::Pull;
    RunName run;
    std::string body; ///< JSON.
    MSGPACK_DEFINE(kind, run, body)
};

/// Serves trainers on any instance: handles calls for the runs that this instance owns and forwards other calls to the
/// owner. An instance that receives a call for a run without an owner acquires that run. Thread-safe.
class RunService {
public:
    RunService(RunDependencies dependencies, std::string self, std::map<std::string, InstanceAddress> peers, transport::PeerClient& client);

    void registerHandlers(transport::PeerServer& server);

    /// Checks that the token's tenant owns the run.
    [[nodiscard]] PipelineResult<void> authorize(const std::string& token, const RunName& run) const;

    /// Handles the call here or on the owner's instance. Returns the reply's JSON text.
    [[nodiscard]] PipelineResult<std::string> handle(const TrainerCall& call, TimePoint deadline);

    /// Advances all runs that this instance owns. To be called several times a second.
    void tick();

    /// Releases the leases of all runs, so that other instances can acquire them without waiting for their expiry.
    void releaseRuns();

    [[nodiscard]] std::vector<RunView> views() const;
    /// Number of trainers' pulls in progress on this instance.
    [[nodiscard]] std::size_t inProgress() const;

private:
    struct Owner {
        std::shared_ptr<RunWorker> worker; ///< Null unless this instance owns the run.
        std::string instance; ///< Name of the last known owner; empty if unknown.
    };

    [[nodiscard]] std::shared_ptr<RunWorker> localWorker(const RunName& run);
    [[nodiscard]] PipelineResult<std::string> acquire(const RunName& run, TimePoint deadline);
    [[nodiscard]] PipelineResult<std::string> forward(const std::string& owner, const TrainerCall& call, TimePoint deadline);
    [[nodiscard]] PipelineResult<std::string> serve(RunWorker& worker, const TrainerCall& call, TimePoint deadline) const;
    void setOwner(const RunName& run, const std::string& instance);
    [[nodiscard]] std::string ownerOf(const RunName& run);

    const RunDependencies m_dependencies;
    const std::string m_self;
    const std::map<std::string, InstanceAddress> m_peers;
    transport::PeerClient& m_client;
    mutable std::mutex m_mutex;
    std::map<RunName, Owner> m_owners;
    std::map<RunName, std::shared_ptr<std::mutex>> m_acquireMutexes; ///< One per run; serializes its acquisition.
    bool m_hasReleasedRuns = false;
};

}

MSGPACK_ADD_ENUM(azurepaddle::pipeline::TrainerCallKind)
