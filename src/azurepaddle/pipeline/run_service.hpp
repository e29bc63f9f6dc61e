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

/// A trainer's call as any instance takes it.
struct TrainerCall {
    TrainerCallKind kind = TrainerCallKind::Pull;
    RunName run;
    std::string body; ///< JSON.
    MSGPACK_DEFINE(kind, run, body)
};

/// Serves trainers on any instance: owns runs or passes calls on to their owners. A run that nobody owns is taken over
/// by the instance that gets a call for it. Thread-safe.
class RunService {
public:
    RunService(RunDependencies parts, std::string self, std::map<std::string, InstanceAddress> peers, transport::PeerClient& client);

    void registerHandlers(transport::PeerServer& server);

    /// Checks that the token's tenant owns the run.
    [[nodiscard]] PipelineResult<void> authorize(const std::string& token, const RunName& run) const;

    /// The answer's JSON text.
    [[nodiscard]] PipelineResult<std::string> handle(const TrainerCall& call, TimePoint deadline);

    /// Keeps the runs owned here going. To be called several times a second.
    void tick();

    /// Gives all runs back, so that others can take them over at once.
    void releaseRuns();

    [[nodiscard]] std::vector<RunView> views() const;
    /// Trainers' calls in progress here.
    [[nodiscard]] std::size_t inProgress() const;

private:
    struct Owner {
        std::shared_ptr<RunWorker> worker; ///< Null unless owned here.
        std::string instance; ///< Of the owner, as last heard; empty if unknown.
    };

    [[nodiscard]] std::shared_ptr<RunWorker> localWorker(const RunName& run);
    [[nodiscard]] PipelineResult<std::string> acquire(const RunName& run, TimePoint deadline);
    [[nodiscard]] PipelineResult<std::string> forward(const std::string& owner, const TrainerCall& call, TimePoint deadline);
    [[nodiscard]] PipelineResult<std::string> serve(RunWorker& worker, const TrainerCall& call, TimePoint deadline) const;
    void noteOwner(const RunName& run, const std::string& instance);
    [[nodiscard]] std::string ownerOf(const RunName& run);

    const RunDependencies m_parts;
    const std::string m_self;
    const std::map<std::string, InstanceAddress> m_peers;
    transport::PeerClient& m_client;
    mutable std::mutex m_mutex;
    std::map<RunName, Owner> m_owners;
    std::map<RunName, std::shared_ptr<std::mutex>> m_acquiring; ///< One takeover of a run at a time.
    bool m_isReleased = false;
};

}

MSGPACK_ADD_ENUM(azurepaddle::pipeline::TrainerCallKind)
