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

/// Parameters of the simulated network, clocks and application.
struct SimulationSettings {
    RaftSettings raft;
    Duration minDelay = std::chrono::milliseconds(1);
    Duration maxDelay = std::chrono::milliseconds(3);
    double lossChance = 0;
    double duplicateChance = 0;
    double longDelayChance = 0; ///< Probability that a message takes up to maxLongDelay instead of up to maxDelay.
    Duration maxLongDelay = std::chrono::milliseconds(1500);
    double clockDrift = 0; ///< Largest relative deviation of a host's clock rate from real time.
    Duration tickInterval = std::chrono::milliseconds(10);
    std::uint64_t snapshotInterval = 0; ///< Number of entries between two snapshots; 0 disables snapshots.
    bool checksFreshness = false; ///< Checks what participants conclude from the times of messages. Requires that clocks do not drift.
};

/// Runs participants on simulated hosts with virtual time, network and disks in a single thread. Runs with the same
/// seed are identical. After every step it checks the guarantees of the log: one leader per term, no two valid leases,
/// equal committed entries and states, no acknowledged entry lost, no stale read, and optionally no state that counts as
/// more recent than it is.
class SimulatedCluster {
public:
    using Store = storage::LogStore<storage::MemoryFileSystem>;
    using Node = RaftNode<Store, Random>;

    /// Starts hosts 0 to count - 1 and bootstraps a group with the first `voters` of them.
    SimulatedCluster(std::uint64_t seed, std::size_t count, std::size_t voters, const SimulationSettings& settings);

    /// Advances the virtual time.
    void run(Duration time);
    /// Advances the virtual time until the condition holds. Returns false if it does not hold within the limit.
    bool runUntil(const std::function<bool()>& condition, Duration limit);

    /// Proposes a command with a unique payload at a host. Returns false if it was rejected.
    bool propose(std::size_t host, std::size_t bytes = 16);
    /// Proposes several commands at a running host before it processes anything else.
    void proposeMany(std::size_t host, std::size_t count);
    /// Proposes a membership change at a host. Returns false if it was rejected.
    bool proposeChange(std::size_t host, const MembershipChange& change);
    /// Requests a linearisable read at a host and checks the result when it arrives.
    void requestRead(std::size_t host);
    bool transferLeadership(std::size_t from, std::size_t to);

    /// Crashes a host immediately. Unsynced data is lost.
    void crash(std::size_t host);
    /// Crashes a host during one of its next modifying disk operations.
    void crashDuringDiskOperation(std::size_t host, std::uint64_t operations);
    void restart(std::size_t host);
    /// Replaces the disk of a host that is down by an empty one. The host will start with a new identity.
    void replaceDisk(std::size_t host);
    /// Pauses the process of a host. Messages that arrive meanwhile are handled when it resumes.
    void pause(std::size_t host, Duration time);
    /// Drops all messages from one host to another.
    void block(std::size_t from, std::size_t to);
    /// Drops all messages from and to a host.
    void isolate(std::size_t host);
    void healNetwork() { m_blocked.clear(); }
    void setLossChance(double chance) { m_settings.lossChance = chance; }

    [[nodiscard]] std::size_t size() const noexcept { return m_hosts.size(); }
    [[nodiscard]] bool isUp(std::size_t host) const { return m_hosts[host].node != nullptr; }
    [[nodiscard]] InstanceId identity(std::size_t host) const { return m_hosts[host].identity; }
    /// Returns the status of a host that is up.
    [[nodiscard]] RaftStatus status(std::size_t host) const { return m_hosts[host].node->status(); }
    [[nodiscard]] std::optional<std::uint64_t> replicationLag(std::size_t host, const InstanceId& node) const { return m_hosts[host].node->replicationLag(node); }
    /// The participant on a host that is up.
    [[nodiscard]] const Node& node(std::size_t host) const { return *m_hosts[host].node; }
    /// The time of a host's own clock.
    [[nodiscard]] TimePoint localTime(std::size_t host) const { return localNow(m_hosts[host]); }
    /// The host that started under an identity, or nothing if there is none.
    [[nodiscard]] std::optional<std::size_t> hostOf(const InstanceId& identity) const;
    [[nodiscard]] std::uint64_t appliedIndex(std::size_t host) const { return m_hosts[host].appliedIndex; }
    [[nodiscard]] storage::MemoryFileSystem& files(std::size_t host) { return *m_hosts[host].files; }
    /// Returns the running leader with the highest term, if there is one.
    [[nodiscard]] std::optional<std::size_t> leader() const;
    [[nodiscard]] TimePoint now() const noexcept { return m_now; }
    [[nodiscard]] std::uint64_t ackedIndex() const noexcept { return m_ackedIndex; }
    [[nodiscard]] std::uint64_t confirmedReads() const noexcept { return m_confirmedReads; }
    [[nodiscard]] std::uint64_t installedSnapshots() const noexcept { return m_installedSnapshots; }
    [[nodiscard]] std::uint64_t deliveredMessages() const noexcept { return m_deliveredMessages; }
    /// The first violation of a guarantee; empty if there is none.
    [[nodiscard]] const std::string& violation() const noexcept { return m_violation; }
    /// Whether every participant that is up has applied all acknowledged and committed entries.
    [[nodiscard]] bool hasConverged() const;

private:
    struct Host {
        std::unique_ptr<storage::MemoryFileSystem> files;
        std::unique_ptr<Random> random;
        std::unique_ptr<Store> store;
        std::unique_ptr<Node> node; ///< Null while the host is down.
        InstanceId identity;
        std::uint64_t startCount = 0; ///< Number of starts; makes the identity on a new disk unique.
        double clockSpeed = 1;
        Duration clockOffset {};
        TimePoint pausedUntil;
        std::uint64_t appliedIndex = 0;
        std::uint64_t appliedTerm = 0;
        std::string digest; ///< Digest over all applied entries.
        std::uint64_t snapshotIndex = 0;
        std::set<EntryPosition> proposed; ///< Proposals made at this host that are not committed yet.
    };
    struct Event {
        TimePoint time;
        std::uint64_t sequence = 0;
        InstanceId from;
        std::size_t host = 0;
        RaftMessage message;

        friend bool operator<(const Event& left, const Event& right) { return std::tie(left.time, left.sequence) > std::tie(right.time, right.sequence); }
    };

    bool proposeCommand(Host& host, std::size_t bytes);
    void start(std::size_t host);
    void stop(std::size_t host);
    void step();
    void deliver(const Event& event);
    void processReady(std::size_t host);
    void apply(std::size_t host, const LogEntry& entry);
    void install(std::size_t host, const ApplicationSnapshot& snapshot);
    void checkReadResult(std::size_t host, const ReadResult& result);
    void sendMessage(std::size_t from, const RaftMessage& message);
    void takeSnapshot(std::size_t host);
    void checkLeaders(std::size_t host);
    void checkFreshness(std::size_t host);
    void recordAcknowledgement(std::uint64_t index);
    [[nodiscard]] std::uint64_t ackedIndexAt(TimePoint time) const;
    void recordViolation(std::string violation);
    [[nodiscard]] TimePoint localNow(const Host& host) const;
    /// The virtual time at which a host's own clock shows the given time.
    [[nodiscard]] static TimePoint virtualTime(const Host& host, TimePoint local) { return TimePoint((local - host.clockOffset).time_since_epoch()); }
    [[nodiscard]] bool isRunning(const Host& host) const { return host.node && host.pausedUntil <= m_now; }

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
    std::map<std::uint64_t, std::string> m_digests; ///< Digest of all entries up to an index, by index.
    std::map<std::uint64_t, std::uint64_t> m_reads; ///< Acknowledged index at the time of the request, by read id.
    std::uint64_t m_ackedIndex = 0;
    std::map<TimePoint, std::uint64_t> m_acknowledgements; ///< Acknowledged index since a time, by that time.
    std::uint64_t m_confirmedReads = 0;
    std::uint64_t m_installedSnapshots = 0;
    std::uint64_t m_deliveredMessages = 0;
    std::string m_violation;
};

}
