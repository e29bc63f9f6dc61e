#pragma once

#include "azurepaddle/consensus/raft_node.hpp"
#include "azurepaddle/control/control_state.hpp"
#include "azurepaddle/control/group_messages.hpp"
#include "azurepaddle/control/query.hpp"
#include "azurepaddle/control/voter_repair.hpp"
#include "azurepaddle/core/log.hpp"
#include "azurepaddle/core/random.hpp"
#include "azurepaddle/storage/log_store.hpp"
#include "azurepaddle/storage/posix_file_system.hpp"
#include "azurepaddle/transport/peer_client.hpp"
#include "azurepaddle/transport/peer_server.hpp"

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

namespace azurepaddle::control {

/// Settings of a participant of the log group.
struct GroupOptions {
    std::string name; ///< Of this instance.
    std::string dataFolder;
    /// Names of the instances that form the initial group; the first one bootstraps it.
    std::vector<std::string> voters;
    std::map<std::string, InstanceAddress> peers; ///< Addresses by instance name.
    consensus::RaftSettings raft;
    std::uint64_t snapshotInterval = 20'000; ///< Entries between two snapshots.
};

/// Status of a participant, for operators.
struct ParticipantStatus {
    consensus::RaftStatus raft;
    consensus::Membership committedMembership; ///< Unlike the membership in `raft`, no later leader replaces it.
    LogTime now = 0;
    std::uint64_t configuration = 0;
    std::size_t claims = 0;
    std::size_t runs = 0;
    std::size_t suspects = 0;
};

/// A participant of the log group. Runs consensus in its own thread, applies committed commands to the state machine,
/// and serves the commands and queries of all instances. A failed write stops the process.
class ControlGroup {
public:
    /// Opens the data folder. Stops the process with a message if it cannot be read or was used by another instance.
    ControlGroup(GroupOptions options, transport::PeerClient& client);
    ~ControlGroup();

    ControlGroup(const ControlGroup&) = delete;
    ControlGroup& operator=(const ControlGroup&) = delete;

    /// Registers the methods raft, submit, read, introduce and join. Must be called before the server starts.
    void registerHandlers(transport::PeerServer& server);

    /// Starts the consensus thread.
    void start();
    /// Transfers the leadership to another voter if this instance is the leader, then stops the consensus thread.
    void stop();

    /// Applies a command if this instance leads; waits at most until the deadline.
    [[nodiscard]] GroupReply submit(const std::string& encodedCommand, TimePoint deadline);
    /// Answers a query with a linearisable read if this instance leads.
    [[nodiscard]] GroupReply read(const std::string& encodedQuery, TimePoint deadline);

    [[nodiscard]] ParticipantStatus status();
    [[nodiscard]] const InstanceId& identity() const noexcept { return m_identity; }

private:
    using Store = storage::LogStore<storage::PosixFileSystem>;
    using Node = consensus::RaftNode<Store, Random>;

    /// A command or read whose caller waits for the reply.
    struct PendingRequest {
        std::uint64_t term = 0;
        bool isDone = false;
        GroupReply reply;
    };

    void run();
    void step(std::unique_lock<std::mutex>& lock);
    void apply(const consensus::LogEntry& entry);
    void completeRead(const consensus::ReadResult& result);
    void failCommandsOfOldTerms();
    void takeSnapshotIfDue();
    void send(const std::vector<consensus::RaftMessage>& messages);
    [[nodiscard]] GroupReply waitForReply(std::unique_lock<std::mutex>& lock, const std::shared_ptr<PendingRequest>& pending, TimePoint deadline);
    [[nodiscard]] GroupReply notLeaderReply(const InstanceId& leader) const;
    [[nodiscard]] bool hasEmptyLog() const;

    // Defined in group_repair.cpp: bootstrapping the group, joining it, and replacing lost participants.
    void maintainMembership(std::unique_lock<std::mutex>& lock);
    void discoverGroup();
    void replaceLostVoters();
    [[nodiscard]] std::vector<ParticipantContact> contactsOf(const std::set<InstanceId>& identities) const;
    [[nodiscard]] IntroduceReply handleIntroduce();
    void addLearner(const InstanceId& identity);
    void proposeChange(consensus::ChangeKind kind, const InstanceId& node);
    [[nodiscard]] static std::string instanceNameOf(const InstanceId& identity);

    const GroupOptions m_options;
    transport::PeerClient& m_client;
    const Log m_log { "control" };
    const SystemClock m_clock {};
    storage::PosixFileSystem m_files;
    Store m_store { m_files };
    Random m_random;
    InstanceId m_identity;

    std::mutex m_mutex; ///< Guards everything below.
    std::condition_variable m_workAvailable;
    std::condition_variable m_stepDone;
    std::unique_ptr<Node> m_node;
    ControlState m_state;
    std::uint64_t m_appliedIndex = 0;
    std::uint64_t m_snapshotIndex = 0;
    std::uint64_t m_nextReadId = 1;
    std::multimap<std::uint64_t, std::shared_ptr<PendingRequest>> m_pendingCommands; ///< By log index.
    std::map<std::uint64_t, std::pair<ControlQuery, std::shared_ptr<PendingRequest>>> m_pendingReads;
    TimePoint m_nextMaintenance {};
    TimePoint m_nextTimeCommand {};
    bool m_hasWork = false;
    bool m_isStopping = false;
    std::thread m_thread;
};

}
