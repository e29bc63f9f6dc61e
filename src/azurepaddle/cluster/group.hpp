#pragma once

#include "azurepaddle/cluster/discovery.hpp"
#include "azurepaddle/cluster/identity.hpp"
#include "azurepaddle/cluster/membership_plan.hpp"
#include "azurepaddle/cluster/snapshot_schedule.hpp"
#include "azurepaddle/consensus/raft_node.hpp"
#include "azurepaddle/control/group_messages.hpp"
#include "azurepaddle/core/log.hpp"
#include "azurepaddle/storage/log_store.hpp"
#include "azurepaddle/storage/posix_file_system.hpp"
#include "azurepaddle/transport/peer_client.hpp"
#include "azurepaddle/transport/peer_server.hpp"

#include <asio.hpp>
#include <functional>
#include <map>
#include <set>

namespace azurepaddle::cluster {

/// A deterministic state machine that is replicated through the log.
template <typename T>
concept StateMachine = requires(T& machine, const T& constMachine, const std::string& bytes)
{
    {
        machine.apply(bytes)
        } -> std::same_as<std::string>; ///< Applies a command and returns its reply.
    {
        machine.restore(bytes)
        } -> std::same_as<bool>;
    {
        constMachine.snapshot()
        } -> std::same_as<std::string>;
    {
        constMachine.snapshotSize()
        } -> std::same_as<std::size_t>; ///< Approximate size of a snapshot in bytes.
};

/// Raft settings for commands of a few KiB on small machines: few entries are sent ahead to a participant that catches
/// up, and few are kept before a snapshot, so that memory use is bounded by the size of the state. Few are applied at a
/// time, so that messages are handled in between.
[[nodiscard]] inline consensus::RaftSettings groupRaftSettings()
{
    consensus::RaftSettings settings;
    settings.maxAppendBytes = 256U * 1024U;
    settings.maxInFlightEntries = 64;
    settings.trailingEntries = 512;
    settings.maxReadyEntries = 64;
    return settings;
}

/// Options of a participant.
struct GroupOptions {
    std::string name; ///< Name of this instance.
    InstanceAddress address; ///< Peer address of this instance.
    std::string dataFolder;
    std::vector<InstanceAddress> seeds; ///< Peer addresses used to discover the group. The seeds are the voters of a new group.
    bool mayBootstrap = false; ///< Set on the first start of the whole deployment only; permits to bootstrap a group.
    MembershipPolicy policy;
    consensus::RaftSettings raft = groupRaftSettings();
    std::size_t snapshotIntervalBytes = 80U * 1024U * 1024U; ///< Largest size of the commands applied between two snapshots.
    std::size_t maxSnapshotBytes = 512U * 1024U * 1024U; ///< While the state is larger, no snapshot is taken, because it would not fit into memory.
};

enum class ProposalStatus : unsigned char {
    Applied,
    NotLeader, ///< Nothing was or will be applied.
    Busy, ///< Nothing was or will be applied.
    Unknown, ///< Leadership changed; the command may still be applied.
};

struct ProposalResult {
    ProposalStatus status = ProposalStatus::NotLeader;
    std::string reply; ///< Reply of the state machine if the command was applied.

    friend bool operator==(const ProposalResult&, const ProposalResult&) = default;
};

using ProposalCallback = std::function<void(ProposalResult)>;

/// A participant of a replicated state machine that discovers the other participants through seeds. Everything runs on
/// one event loop. Commands proposed in the same iteration of the loop share one fsync. A failed write stops the
/// process.
template <typename Machine>
class Group {
public:
    /// Opens the data folder. Stops the process with an error message if the folder cannot be read.
    Group(asio::io_context& io, GroupOptions options, Machine& machine, transport::PeerClient& client);
    Group(const Group&) = delete;
    Group& operator=(const Group&) = delete;

    /// Registers the methods raft, introduce, contacts and join. Must be called before the server starts.
    void registerHandlers(transport::PeerServer& server);
    /// Starts to take part in the group or to discover it.
    void start();
    /// Transfers the leadership to the live voter with the smallest lag that is not retiring, if this instance is the
    /// leader.
    void relinquishLeadership();

    /// Appends a command to the log. Only the leader accepts it.
    void propose(std::string command, ProposalCallback callback);
    /// Whether the state machine includes every command acknowledged so far: this instance is the leader, its lease is
    /// valid, and its log is applied.
    [[nodiscard]] bool hasCurrentState() const;
    /// Whether the state machine includes every command acknowledged until `maxStaleness` ago: this instance has the
    /// current state, or has applied the commit index from a recent message of the leader.
    [[nodiscard]] bool hasRecentState() const;
    /// The state machine includes every command acknowledged until this time.
    [[nodiscard]] TimePoint stateTime() const { return hasCurrentState() ? m_clock.now() : m_stateTime; }
    [[nodiscard]] bool isLeader() const { return m_node->role() == consensus::RaftRole::Leader; }
    [[nodiscard]] consensus::RaftStatus status() const { return m_node->status(); }
    [[nodiscard]] std::uint64_t term() const noexcept { return m_node->term(); }
    /// Index of the last entry that the state machine includes.
    [[nodiscard]] std::uint64_t appliedIndex() const noexcept { return m_appliedIndex; }
    [[nodiscard]] const InstanceId& identity() const noexcept { return m_identity; }
    /// Replaces the addresses that are used to discover the group and to which the leader announces it.
    void setSeeds(std::vector<InstanceAddress> seeds) { m_discovery->setSeeds(std::move(seeds)); }
    /// Peer address of the leader, if known. On an instance that is not a participant, the leader that another instance
    /// reported last.
    [[nodiscard]] std::optional<InstanceAddress> leaderAddress() const { return m_discovery->leaderAddress(); }
    /// The participants of the group. On an instance that is not a participant, those that another instance reported
    /// last.
    [[nodiscard]] std::vector<MemberIdentity> members() const { return m_discovery->members(); }
    /// The participants of the newest committed membership. What others rely on must follow from it: another leader may
    /// replace a change that is not committed. On the leader, it includes every change acknowledged so far.
    [[nodiscard]] std::vector<MemberIdentity> committedMembers() const { return identitiesOf(m_node->committedMembership()); }
    [[nodiscard]] bool isParticipant() const { return m_node->membership().contains(m_identity); }
    /// Whether a snapshot is overdue because the state is too large for it. Callers should not propose large commands
    /// then.
    [[nodiscard]] bool isSnapshotOverdue() const noexcept { return m_snapshots.isOverdue(); }
    /// Records that an entry instance polled this one, so that it is found again after a restart.
    void recordEntry(const InstanceAddress& address) { m_discovery->recordHeard({ address, control::ContactRole::Entry }, m_clock.now()); }
    /// Number of instances of a role that this one remembers.
    [[nodiscard]] std::size_t contactCount(control::ContactRole role) const { return m_discovery->contactCount(role); }
    /// Names of instances that recently requested to join and were declined because there are enough participants. They
    /// hold no log.
    [[nodiscard]] std::set<std::string> declinedInstances() const;
    /// Sets the names of the instances that an operator retires: their participants are replaced and removed.
    void setRetiring(std::set<std::string> names) { m_retiring = std::move(names); }
    /// Sets a callback that is invoked when this instance has become the leader and applied its log, or has ceased to
    /// be the leader.
    void setOnLeadershipChange(std::function<void(bool)> callback) { m_onLeadershipChange = std::move(callback); }

private:
    using Store = storage::LogStore<storage::PosixFileSystem>;
    using Node = consensus::RaftNode<Store, Random>;

    struct PendingProposal {
        std::uint64_t term = 0;
        ProposalCallback callback;
    };

    /// Queue of messages to one participant. Only one request is in flight at a time: if requests overtook each other,
    /// the participant would detect missing entries, and the leader would fall back to one message per heartbeat.
    struct SendQueue {
        std::vector<consensus::RaftMessage> messages;
        std::size_t queuedBytes = 0; ///< Total size of the queued entries and snapshot chunks.
        bool isRequestInFlight = false;
    };

    void tick();
    void scheduleStep();
    void step();
    [[nodiscard]] bool processReady();
    void apply(const consensus::LogEntry& entry);
    void send(std::vector<consensus::RaftMessage> messages);
    void sendQueued(const InstanceId& to);
    void failStaleProposals();
    [[nodiscard]] SnapshotStep nextSnapshotStep() const;
    void takeSnapshotIfDue();
    void takeSnapshot();
    void notifyLeadershipChange();

    // group_membership.hpp: joining, replacement of failed participants.
    void runMaintenance();
    void planChange();
    [[nodiscard]] std::vector<MemberView> memberViews() const;
    void handleJoin(const InstanceId& identity);
    void proposeChange(const consensus::MembershipChange& change);

    asio::io_context& m_io;
    const GroupOptions m_options;
    Machine& m_machine;
    transport::PeerClient& m_client;
    const Log m_log { "cluster" };
    const SystemClock m_clock {};
    storage::PosixFileSystem m_files;
    Store m_store { m_files };
    ContactFile<storage::PosixFileSystem> m_contactFile;
    Random m_random;
    InstanceId m_identity;
    std::unique_ptr<Node> m_node;
    std::unique_ptr<Discovery<Node, storage::PosixFileSystem>> m_discovery;
    asio::steady_timer m_tickTimer;
    bool m_isStepScheduled = false;
    bool m_wasLeading = false;
    std::uint64_t m_appliedIndex = 0;
    std::uint64_t m_appliedTerm = 0;
    TimePoint m_stateTime {}; ///< Send time of the last message of a leader whose commit index is applied.
    SnapshotSchedule m_snapshots;
    std::multimap<std::uint64_t, PendingProposal> m_pendingProposals; ///< By log index.
    std::map<InstanceId, SendQueue> m_sendQueues;
    std::set<std::string> m_retiring;
    std::map<std::string, TimePoint> m_declinedInstances; ///< Time of the last declined join request, by instance name.
    std::function<void(bool)> m_onLeadershipChange;
    TimePoint m_nextMaintenance {};
    TimePoint m_lastLeaderSeen {}; ///< Last time at which a leader was known.
};

}

#include "azurepaddle/cluster/group_drive.hpp" // IWYU pragma: export
#include "azurepaddle/cluster/group_membership.hpp" // IWYU pragma: export
