#pragma once

#include "azurepaddle/cluster/contact_file.hpp"
#include "azurepaddle/cluster/identity.hpp"
#include "azurepaddle/consensus/raft_node.hpp"
#include "azurepaddle/control/group_messages.hpp"
#include "azurepaddle/transport/peer_client.hpp"
#include "azurepaddle/transport/peer_server.hpp"

#include <asio.hpp>
#include <map>
#include <set>

namespace azurepaddle::cluster {

/// Options of the discovery of a group.
struct DiscoveryOptions {
    InstanceAddress address; ///< Peer address of this instance.
    std::vector<InstanceAddress> seeds; ///< Peer addresses of instances to ask. They are the voters of a new group.
    bool mayBootstrap = false; ///< Set on the first start of the whole deployment only; permits to bootstrap a group.
};

/// Finds the group from an instance that is no participant, and makes the group known to instances that may not find it.
///
/// After a restart an instance knows the seeds of its settings, a participant also the participants in its log. Seeds of
/// different instances may differ, be down, or hold no log and know only each other, so that no instance of one part of
/// the deployment would ever ask one of another part. Therefore store instances remember on disk all instances that any
/// of them heard from (ContactFile). The leader collects these contacts and calls those that nobody hears from; a store
/// instance that finds no group with a leader calls those that it remembers. Everything runs on one event loop.
template <typename Node, storage::FileSystem Files>
class Discovery {
public:
    /// Client, consensus node and contact file must outlive the discovery.
    Discovery(asio::io_context& io, transport::PeerClient& client, const InstanceId& identity, Node& node, ContactFile<Files>& file, DiscoveryOptions options);
    Discovery(const Discovery&) = delete;
    Discovery& operator=(const Discovery&) = delete;

    /// Registers the methods introduce and contacts. Must be called before the server starts.
    void registerHandlers(transport::PeerServer& server);
    void setSeeds(std::vector<InstanceAddress> seeds) { m_seeds = std::move(seeds); }

    /// Saves changed contacts and reports them to the leader. Must be called several times a second.
    void maintain(TimePoint now);
    /// Asks other instances for the group. Called several times a second by instances that know no leader or are no
    /// participants. Returns whether a group was bootstrapped.
    [[nodiscard]] bool discover(TimePoint now);
    /// Makes the group known to others if that is due. Called several times a second by the leader.
    void announce(TimePoint now);
    /// Records that this instance heard from another one.
    void recordHeard(const Contact& contact, TimePoint now) { m_contacts.recordHeard(contact, now); }

    [[nodiscard]] std::size_t contactCount(control::ContactRole role) const { return m_contacts.count(role); }
    [[nodiscard]] bool isParticipant() const { return m_node.membership().contains(m_identity); }
    /// The leader, if known. On an instance that is not a participant, the one that another instance reported last.
    [[nodiscard]] std::optional<InstanceAddress> leaderAddress() const;
    /// The participants. On an instance that is not a participant, those that another instance reported last.
    [[nodiscard]] std::vector<MemberIdentity> members() const { return identitiesOf(isParticipant() ? m_node.membership() : m_knownGroup.membership); }

private:
    [[nodiscard]] bool isLeader() const { return m_node.role() == consensus::RaftRole::Leader; }

    // discovery_group.hpp: introductions, bootstrap.
    void recordStore(const InstanceId& identity);
    void updateKnownGroup(const control::KnownGroup& view);
    [[nodiscard]] control::KnownGroup knownGroup() const;
    [[nodiscard]] control::IntroduceReply makeIntroduceReply() const;
    void sendIntroduceRequests(const std::set<InstanceAddress>& addresses);
    void handleIntroduceReply(const InstanceAddress& from, const control::IntroduceReply& reply);
    [[nodiscard]] bool bootstrapIfSeedsEmpty();

    // discovery_contacts.hpp: exchange of contacts, calls to silent ones.
    void reportContacts(const InstanceAddress& leader, const std::vector<std::uint8_t>& differing);
    void handleContactReply(const InstanceAddress& leader, const control::ContactReply& reply, bool isExchange);
    [[nodiscard]] control::ContactReply handleContactReport(const control::ContactReport& report);
    void announceToEntries(const std::vector<InstanceAddress>& entries);

    asio::io_context& m_io;
    transport::PeerClient& m_client;
    const InstanceId m_identity;
    Node& m_node;
    const DiscoveryOptions m_options;
    const Log m_log { "cluster" };
    const SystemClock m_clock {};
    std::vector<InstanceAddress> m_seeds; ///< Seeds from the newest settings.
    ContactFile<Files>& m_file;
    ContactBook& m_contacts;
    std::map<InstanceAddress, control::IntroduceReply> m_introduceReplies; ///< Replies received since the last round of introduce requests.
    control::KnownGroup m_knownGroup; ///< Newest description of the group received from another instance.
    TimePoint m_lastGroupReply {}; ///< Last time at which a participant that knows a leader described its group.
    std::optional<TimePoint> m_leadingSince; ///< Beginning of the leadership of this instance, if it leads.
    TimePoint m_nextCalls {};
    TimePoint m_nextReport {};
};

}

#include "azurepaddle/cluster/discovery_contacts.hpp" // IWYU pragma: export
#include "azurepaddle/cluster/discovery_group.hpp" // IWYU pragma: export
