#pragma once

#include "azurepaddle/cluster/identity.hpp"
#include "azurepaddle/cluster/membership_plan.hpp"
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

/// A deterministic state machine on the log.
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
        } -> std::same_as<std::size_t>; ///< About as many bytes as a snapshot has.
};

/// Settings of consensus for commands of some KiB on small machines: little is sent ahead to a participant that catches
/// up, and little is kept behind a snapshot, so that memory stays bounded by the state.
[[nodiscard]] inline consensus::RaftSettings groupRaftSettings()
{
    consensus::RaftSettings settings;
    settings.appendBytes = 256U * 1024U;
    settings.inFlightEntries = 64;
    settings.trailingEntries = 512;
    return settings;
}

/// Settings of a participant.
struct GroupOptions {
    std::string name; ///< Of this instance.
    InstanceAddress address; ///< Where peers reach this instance.
    std::string dataFolder;
    std::vector<InstanceAddress> seeds; ///< Peer addresses of instances to ask first; they found a new group.
    bool mayBootstrap = false; ///< The whole system starts for the first time.
    MembershipPolicy policy;
    consensus::RaftSettings raft = groupRaftSettings();
    std::size_t snapshotBytes = 80U * 1024U * 1024U; ///< Commands between two snapshots.
    std::size_t maxSnapshotBytes = 512U * 1024U * 1024U; ///< A larger state is not written at once: it would not fit into memory. The snapshot waits until the state shrinks.
};

enum class ProposalStatus : unsigned char {
    Applied,
    NotLeader, ///< Nothing was or will be applied.
    Busy, ///< Nothing was or will be applied.
    Unknown, ///< Leadership changed: it may still be applied.
};

struct ProposalResult {
    ProposalStatus status = ProposalStatus::NotLeader;
    std::string reply; ///< Of the state machine, if applied.

    friend bool operator==(const ProposalResult&, const ProposalResult&) = default;
};

using ProposalCallback = std::function<void(ProposalResult)>;

/// A participant of a replicated state machine whose members find each other through seeds. All of it runs on one event
/// loop; commands proposed in one turn of the loop share one fsync. A failed write stops the process.
template <typename Machine>
class Group {
public:
    /// Opens the data folder. Stops the process with a message if it cannot be read.
    Group(asio::io_context& io, GroupOptions options, Machine& machine, transport::PeerClient& client);
    Group(const Group&) = delete;
    Group& operator=(const Group&) = delete;

    /// Registers the methods raft, introduce and join. Before the server starts.
    void registerHandlers(transport::PeerServer& server);
    /// Begins to take part.
    void start();
    /// Hands the leadership over, if this instance has it.
    void relinquishLeadership();

    /// Appends a command if this instance leads.
    void propose(std::string command, ProposalCallback callback);
    /// Whether the state machine holds all that was ever acknowledged: this instance leads, no other can have been
    /// elected, and its log is applied.
    [[nodiscard]] bool hasCurrentState() const;
    /// Whether the state machine holds all that was acknowledged until a moment ago: this instance is current, or heard so
    /// from the leader.
    [[nodiscard]] bool hasRecentState() const;
    [[nodiscard]] bool isLeader() const { return m_node->role() == consensus::RaftRole::Leader; }
    [[nodiscard]] consensus::RaftStatus status() const { return m_node->status(); }
    [[nodiscard]] std::uint64_t term() const noexcept { return m_node->term(); }
    [[nodiscard]] const InstanceId& identity() const noexcept { return m_identity; }
    /// Replaces the addresses of instances to ask, and to make the group known to.
    void setSeeds(std::vector<InstanceAddress> seeds) { m_seeds = std::move(seeds); }
    /// Peer address of the leader, as far as known; as another instance said last, while this one is not a participant.
    [[nodiscard]] std::optional<InstanceAddress> leaderAddress() const;
    /// The participants; those that another instance named last, while this one is not a participant.
    [[nodiscard]] std::vector<MemberIdentity> members() const;
    [[nodiscard]] bool isParticipant() const { return m_node->membership().contains(m_identity); }
    /// Whether a snapshot is overdue because the state is too large for it. Nothing large should be proposed then.
    [[nodiscard]] bool isSnapshotOverdue() const noexcept { return m_bytesSinceSnapshot >= m_options.snapshotBytes; }
    /// Names of instances that asked to join lately and hold nothing, because there are enough participants.
    [[nodiscard]] std::set<std::string> declinedInstances() const;
    /// Names of instances that are to be emptied.
    void setRetiring(std::set<std::string> names) { m_retiring = std::move(names); }
    /// Called when this instance becomes the leader with its log applied, or ceases to lead.
    void setOnLeadershipChange(std::function<void(bool)> onLeadership) { m_onLeadership = std::move(onLeadership); }

private:
    using Store = storage::LogStore<storage::PosixFileSystem>;
    using Node = consensus::RaftNode<Store, Random>;

    struct Pending {
        std::uint64_t term = 0;
        ProposalCallback callback;
    };

    /// Messages to one participant. One request at a time is on its way: requests that overtake each other would look
    /// like lost entries to the participant, and the leader would go back to sending one message a heartbeat.
    struct Outgoing {
        std::vector<consensus::RaftMessage> waiting;
        std::size_t waitingBytes = 0; ///< Of their entries and parts of snapshots.
        bool isBusy = false;
    };

    void tick();
    void scheduleStep();
    void step();
    void apply(const consensus::LogEntry& entry);
    void send(std::vector<consensus::RaftMessage> messages);
    void sendWaiting(const InstanceId& to);
    void failPendingOfOldTerms();
    void takeSnapshotIfDue();
    void noteLeadership();

    // group_membership.hpp: founding, joining, replacing lost participants.
    void maintain();
    void planChange();
    void lookForGroup();
    void takeIntroduction(const InstanceAddress& from, const control::IntroduceReply& reply);
    void introduceTo(const std::set<InstanceAddress>& addresses);
    void makeKnown();
    void noteAsker(const InstanceId& identity);
    void learn(const control::KnownGroup& view);
    [[nodiscard]] control::KnownGroup knownGroup() const;
    [[nodiscard]] control::IntroduceReply introduction() const;
    void foundIfAllFresh();
    [[nodiscard]] std::vector<MemberView> memberViews() const;
    void admit(const InstanceId& identity);
    void proposeChange(const consensus::MembershipChange& change);

    asio::io_context& m_io;
    const GroupOptions m_options;
    Machine& m_machine;
    transport::PeerClient& m_client;
    const Log m_log { "cluster" };
    const SystemClock m_clock {};
    storage::PosixFileSystem m_files;
    Store m_store { m_files };
    Random m_random;
    InstanceId m_identity;
    std::unique_ptr<Node> m_node;
    asio::steady_timer m_tickTimer;
    bool m_isStepScheduled = false;
    bool m_wasLeading = false;
    std::uint64_t m_appliedIndex = 0;
    std::uint64_t m_appliedTerm = 0;
    std::size_t m_bytesSinceSnapshot = 0;
    std::multimap<std::uint64_t, Pending> m_proposals; ///< By log index.
    std::map<InstanceId, Outgoing> m_outgoing;
    std::map<InstanceAddress, control::IntroduceReply> m_introductions; ///< Of the current round.
    std::vector<InstanceAddress> m_seeds; ///< Of the newest settings.
    control::KnownGroup m_named; ///< The newest that other instances said of the group.
    std::map<InstanceAddress, TimePoint> m_askers; ///< When other instances last asked who this one is.
    TimePoint m_nextMakeKnown {};
    std::set<std::string> m_retiring;
    std::map<std::string, TimePoint> m_spares; ///< When each last asked to join.
    std::function<void(bool)> m_onLeadership;
    TimePoint m_nextMaintenance {};
    TimePoint m_lastLeader {}; ///< When a leader was last known.
};

}

#include "azurepaddle/cluster/group_drive.hpp" // IWYU pragma: export
#include "azurepaddle/cluster/group_membership.hpp" // IWYU pragma: export
