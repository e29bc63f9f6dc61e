#pragma once

#include "azurepaddle/consensus/raft_node.hpp"
#include "azurepaddle/control/control_state.hpp"
#include "azurepaddle/control/group_messages.hpp"
#include "azurepaddle/control/query.hpp"
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
#include <thread>

namespace azurepaddle::control {

/// Settings of a participant of the log group.
struct GroupOptions {
    std::string name; ///< Of this instance.
    std::string dataFolder;
    std::vector<std::string> voters; ///< Names of the instances that found the group; the first one founds it.
    std::map<std::string, InstanceAddress> peers; ///< Addresses by instance name.
    consensus::RaftSettings raft;
    std::uint64_t snapshotInterval = 20'000; ///< Entries between two snapshots.
};

/// The standing of a participant, for operators.
struct ParticipantStatus {
    consensus::RaftStatus raft;
    LogTime now = 0;
    std::uint64_t configuration = 0;
    std::size_t claims = 0;
    std::size_t runs = 0;
    std::size_t suspects = 0;
};

/// A participant of the log group: drives consensus in a thread of its own, keeps the state machine, and answers
/// commands and queries of all instances. A failed write stops the process.
class ControlGroup {
public:
    /// Opens the data folder. Stops the process with a message if it cannot be read or was used by another instance.
    ControlGroup(GroupOptions options, transport::PeerClient& client);
    ~ControlGroup();

    ControlGroup(const ControlGroup&) = delete;
    ControlGroup& operator=(const ControlGroup&) = delete;

    /// Registers the methods raft, submit, read, introduce and join. Before the server starts.
    void registerHandlers(transport::PeerServer& server);

    /// Begins to take part.
    void start();
    /// Hands the leadership over if this instance has it, and stops taking part.
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

    /// A thread that waits for the fate of a command or read.
    struct Pending {
        std::uint64_t term = 0;
        bool isDone = false;
        GroupReply reply;
    };

    void run();
    void step(std::unique_lock<std::mutex>& lock);
    void apply(const consensus::LogEntry& entry);
    void finishRead(const consensus::ReadResult& result);
    void failPendingOfOldTerms();
    void takeSnapshotIfDue();
    void send(const std::vector<consensus::RaftMessage>& messages);
    [[nodiscard]] GroupReply wait(std::unique_lock<std::mutex>& lock, const std::shared_ptr<Pending>& pending, TimePoint deadline);
    [[nodiscard]] GroupReply notLeader(const InstanceId& leader) const;
    [[nodiscard]] bool isFresh() const;

    // group_repair.cpp: founding, joining, replacing lost participants.
    void maintainMembership(std::unique_lock<std::mutex>& lock);
    void introduce();
    void replaceLostVoters();
    [[nodiscard]] IntroduceReply answerIntroduce();
    void admitLearner(const InstanceId& identity);
    void proposeChange(consensus::ChangeKind kind, const InstanceId& node);
    [[nodiscard]] static std::string nameOf(const InstanceId& identity);

    const GroupOptions m_options;
    transport::PeerClient& m_client;
    const Log m_log { "control" };
    const SystemClock m_clock {};
    storage::PosixFileSystem m_files;
    Store m_store { m_files };
    Random m_random;
    InstanceId m_identity;

    std::mutex m_mutex; ///< Guards everything below.
    std::condition_variable m_wake;
    std::condition_variable m_settled;
    std::unique_ptr<Node> m_node;
    ControlState m_state;
    std::uint64_t m_appliedIndex = 0;
    std::uint64_t m_snapshotIndex = 0;
    std::uint64_t m_nextRead = 1;
    std::multimap<std::uint64_t, std::shared_ptr<Pending>> m_commands; ///< By log index.
    std::map<std::uint64_t, std::pair<ControlQuery, std::shared_ptr<Pending>>> m_reads;
    TimePoint m_nextMaintenance {};
    TimePoint m_nextTimeCommand {};
    bool m_hasWork = false;
    bool m_isStopping = false;
    std::thread m_thread;
};

}
