#pragma once

#include "azurepaddle/consensus/raft_node.hpp"
#include "azurepaddle/storage/log_store.hpp"
#include "azurepaddle/storage/memory_file_system.hpp"

#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <string>

namespace azurepaddle::consensus {

/// Behaviour of the simulated network and application.
struct SimulationSettings {
    RaftSettings raft;
    Duration minDelay = std::chrono::milliseconds(1);
    Duration maxDelay = std::chrono::milliseconds(3);
    double lossChance = 0;
    double duplicateChance = 0;
    double lateChance = 0; ///< Of a message that takes up to maxLateness instead.
    Duration maxLateness = std::chrono::milliseconds(1500);
    double clockDrift = 0; ///< Largest deviation of a host's clock from true speed.
    Duration tickInterval = std::chrono::milliseconds(10);
    std::uint64_t snapshotInterval = 0; ///< Entries between two snapshots; 0 for none.
};

/// Participants on simulated hosts with virtual time, network and disks, all in one thread. Equal seeds give equal
/// runs. It checks the guarantees of the log after every step: one leader a term, no two valid leases, equal
/// committed entries and states, no lost acknowledged entry, no stale read.
class SimulatedCluster {
public:
    using Store = storage::LogStore<storage::MemoryFileSystem>;
    using Node = RaftNode<Store, Random>;

    /// Starts hosts 0 to count - 1, of which the first `voters` found the group.
    SimulatedCluster(std::uint64_t seed, std::size_t count, std::size_t voters, const SimulationSettings& settings);

    /// Lets virtual time pass.
    void run(Duration time);
    /// Lets time pass until the condition holds. False if it does not hold within the limit.
    bool runUntil(const std::function<bool()>& condition, Duration limit);

    /// Proposes a command with a unique payload at a host. False if it was refused.
    bool propose(std::size_t host, std::size_t bytes = 16);
    /// Proposes commands at a host that is awake before it can do anything else.
    void proposeMany(std::size_t host, std::size_t count);
    /// Proposes a membership change at a host. False if it was refused.
    bool change(std::size_t host, const MembershipChange& change);
    /// Asks a host for a linearisable read and checks the answer when it comes.
    void read(std::size_t host);
    bool transfer(std::size_t from, std::size_t to);

    /// Kills a host at once. It loses what is not synced.
    void crash(std::size_t host);
    /// Kills a host during one of its next changing disk operations.
    void crashDuringDiskOperation(std::size_t host, std::uint64_t operations);
    void restart(std::size_t host);
    /// Replaces the disk of a host that is down. It will start with a new identity.
    void wipe(std::size_t host);
    /// Pauses the process of a host. What reaches it meanwhile is handled when it wakes up.
    void sleep(std::size_t host, Duration time);
    /// Drops all messages from one host to another.
    void block(std::size_t from, std::size_t to);
    /// Drops all messages from and to a host.
    void isolate(std::size_t host);
    void healNetwork() { m_blocked.clear(); }
    void setLoss(double chance) { m_settings.lossChance = chance; }

    [[nodiscard]] std::size_t size() const noexcept { return m_hosts.size(); }
    [[nodiscard]] bool isUp(std::size_t host) const { return m_hosts[host].node != nullptr; }
    [[nodiscard]] InstanceId identity(std::size_t host) const { return m_hosts[host].identity; }
    /// The state of a host that is up.
    [[nodiscard]] RaftStatus status(std::size_t host) const { return m_hosts[host].node->status(); }
    [[nodiscard]] std::optional<std::uint64_t> lagAt(std::size_t host, const InstanceId& node) const { return m_hosts[host].node->replicationLag(node); }
    [[nodiscard]] std::uint64_t appliedIndex(std::size_t host) const { return m_hosts[host].appliedIndex; }
    [[nodiscard]] storage::MemoryFileSystem& files(std::size_t host) { return *m_hosts[host].files; }
    /// The host that leads with the highest term, if any is awake.
    [[nodiscard]] std::optional<std::size_t> leader() const;
    [[nodiscard]] TimePoint now() const noexcept { return m_now; }
    [[nodiscard]] std::uint64_t ackedIndex() const noexcept { return m_ackedIndex; }
    [[nodiscard]] std::uint64_t confirmedReads() const noexcept { return m_confirmedReads; }
    [[nodiscard]] std::uint64_t installedSnapshots() const noexcept { return m_installedSnapshots; }
    /// Messages delivered so far.
    [[nodiscard]] std::uint64_t delivered() const noexcept { return m_delivered; }
    /// The first violation of a guarantee, or nothing.
    [[nodiscard]] const std::string& violation() const noexcept { return m_violation; }
    /// Whether all hosts that are up hold every acknowledged entry.
    [[nodiscard]] bool hasConverged() const;

private:
    struct Host {
        std::unique_ptr<storage::MemoryFileSystem> files;
        std::unique_ptr<Random> random;
        std::unique_ptr<Store> store;
        std::unique_ptr<Node> node; ///< Null while the host is down.
        InstanceId identity;
        std::uint64_t generation = 0; ///< Counts the disks of this host.
        double clockSpeed = 1;
        Duration clockOffset {};
        TimePoint awakeAt;
        std::uint64_t appliedIndex = 0;
        std::string state; ///< Digest over all applied entries.
        std::uint64_t snapshotIndex = 0;
        std::set<EntryPosition> proposed; ///< Own proposals that are not committed yet.
    };
    struct Event {
        TimePoint time;
        std::uint64_t sequence = 0;
        InstanceId from;
        std::size_t host = 0;
        RaftMessage message;

        friend bool operator<(const Event& left, const Event& right) { return std::tie(left.time, left.sequence) > std::tie(right.time, right.sequence); }
    };

    bool append(Host& host, std::size_t bytes);
    void start(std::size_t host);
    void stop(std::size_t host);
    void step();
    void deliver(const Event& event);
    void pump(std::size_t host);
    void apply(std::size_t host, const LogEntry& entry);
    void install(std::size_t host, const ApplicationSnapshot& snapshot);
    void answer(std::size_t host, const ReadResult& result);
    void sendMessage(std::size_t from, const RaftMessage& message);
    void takeSnapshot(std::size_t host);
    void checkLeaders(std::size_t host);
    void report(std::string violation);
    [[nodiscard]] TimePoint localNow(const Host& host) const;
    [[nodiscard]] bool isAwake(const Host& host) const { return host.node && host.awakeAt <= m_now; }
    [[nodiscard]] std::optional<std::size_t> hostOf(const InstanceId& identity) const;

    SimulationSettings m_settings;
    Random m_random;
    std::vector<Host> m_hosts;
    std::priority_queue<Event> m_events;
    std::set<std::pair<std::size_t, std::size_t>> m_blocked;
    TimePoint m_now { std::chrono::seconds(1) };
    TimePoint m_nextTick;
    std::uint64_t m_nextSequence = 0;
    std::uint64_t m_nextCommand = 0;

    std::map<std::uint64_t, InstanceId> m_leaders; ///< By term.
    std::map<std::uint64_t, std::string> m_states; ///< Digest over all entries up to an index.
    std::map<std::uint64_t, std::uint64_t> m_reads; ///< By id: acknowledged index when the read was asked for.
    std::uint64_t m_ackedIndex = 0;
    std::uint64_t m_confirmedReads = 0;
    std::uint64_t m_installedSnapshots = 0;
    std::uint64_t m_delivered = 0;
    std::string m_violation;
};

}
