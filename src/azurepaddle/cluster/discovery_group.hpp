#pragma once

#include "azurepaddle/cluster/discovery.hpp"

#include <algorithm>

namespace azurepaddle::cluster {

namespace internal {

    constexpr Duration introduceDeadline = std::chrono::milliseconds(500);
    // Interval at which silent contacts are called if that is due.
    constexpr Duration callInterval = std::chrono::seconds(1);
    // An instance that no participant with a leader replied to for this long calls all store instances it remembers.
    constexpr Duration groupReplyTimeout = std::chrono::milliseconds(1500);

}

template <typename Node, storage::FileSystem Files>
Discovery<Node, Files>::Discovery(asio::io_context& io, transport::PeerClient& client, const InstanceId& identity, Node& node, ContactFile<Files>& file, DiscoveryOptions options)
    : m_io(io)
    , m_client(client)
    , m_identity(identity)
    , m_node(node)
    , m_options(std::move(options))
    , m_seeds(m_options.seeds)
    , m_file(file)
    , m_contacts(file.book())
{
}

template <typename Node, storage::FileSystem Files>
void Discovery<Node, Files>::registerHandlers(transport::PeerServer& server)
{
    using transport::PeerRequest;
    using transport::PeerResponder;
    server.handleDeferred("introduce", [this](PeerRequest request, PeerResponder respond) {
        asio::post(m_io, [this, body = std::move(request.body), respond = std::move(respond)] {
            if (const auto introduce = codec::decode<control::IntroduceRequest>(body)) {
                recordStore(introduce->identity);
                updateKnownGroup(introduce->known);
            }
            respond(codec::encode(makeIntroduceReply()));
        });
    });
    server.handleDeferred(std::string(control::ContactReport::method), [this](PeerRequest request, PeerResponder respond) {
        asio::post(m_io, [this, body = std::move(request.body), respond = std::move(respond)] {
            const auto report = codec::decode<control::ContactReport>(body);
            respond(report ? codec::encode(handleContactReport(*report)) : std::string());
        });
    });
}

template <typename Node, storage::FileSystem Files>
std::optional<InstanceAddress> Discovery<Node, Files>::leaderAddress() const
{
    const auto parts = parseIdentity(isParticipant() ? m_node.leader() : m_knownGroup.leader);
    return parts ? std::optional(parts->address) : std::nullopt;
}

/// Sends introduce requests to all seeds and known participants. While none of them knows a group with a leader, the
/// remembered store instances are asked too.
template <typename Node, storage::FileSystem Files>
bool Discovery<Node, Files>::discover(TimePoint now)
{
    const bool isBootstrapped = bootstrapIfSeedsEmpty();
    m_introduceReplies.clear();
    std::set<InstanceAddress> targets(m_seeds.begin(), m_seeds.end());
    for (const MemberIdentity& member : members())
        targets.insert(member.address);
    if (now >= m_nextCalls && now - m_lastGroupReply > internal::groupReplyTimeout) {
        m_nextCalls = now + internal::callInterval;
        for (InstanceAddress& address : m_contacts.takeDue(control::ContactRole::Store, TimePoint::min(), now))
            targets.insert(std::move(address));
    }
    sendIntroduceRequests(targets);
    return isBootstrapped;
}

/// Announces the group to the seeds and to remembered instances that nobody hears from. After a restart, such instances
/// have only the addresses of their seeds, which may hold no log either.
template <typename Node, storage::FileSystem Files>
void Discovery<Node, Files>::announce(TimePoint now)
{
    if (!m_leadingSince)
        m_leadingSince = now;
    if (now < m_nextCalls)
        return;
    m_nextCalls = now + internal::callInterval;
    std::set<InstanceAddress> targets(m_seeds.begin(), m_seeds.end());
    for (InstanceAddress& address : m_contacts.takeDue(control::ContactRole::Store, *m_leadingSince, now))
        targets.insert(std::move(address));
    for (const MemberIdentity& member : members())
        targets.erase(member.address);
    sendIntroduceRequests(targets);
    announceToEntries(m_contacts.takeDue(control::ContactRole::Entry, *m_leadingSince, now));
}

template <typename Node, storage::FileSystem Files>
void Discovery<Node, Files>::recordStore(const InstanceId& identity)
{
    if (const auto parts = parseIdentity(identity))
        m_contacts.recordHeard({ parts->address, control::ContactRole::Store }, m_clock.now());
}

/// Stores a description of the group received from another instance, unless it is older than the stored one.
template <typename Node, storage::FileSystem Files>
void Discovery<Node, Files>::updateKnownGroup(const control::KnownGroup& view)
{
    if (view.membership.voters.empty() || view.commitIndex < m_knownGroup.commitIndex)
        return;
    if (m_knownGroup.membership.voters.empty() && !isParticipant())
        m_log.info("discovered a group: {} voters, leader={}", view.membership.voters.size(), view.leader);
    m_knownGroup = view;
    const TimePoint now = m_clock.now();
    for (const MemberIdentity& member : identitiesOf(view.membership))
        m_contacts.add({ member.address, control::ContactRole::Store }, now);
    m_file.recordKnownGroup(now);
}

/// Returns the description of the group that this instance sends to others: the newest committed membership if it is a
/// participant, or the newest one while none is committed; otherwise the one it received. A participant that was removed
/// without receiving the change also sends the one it received.
template <typename Node, storage::FileSystem Files>
control::KnownGroup Discovery<Node, Files>::knownGroup() const
{
    const auto status = m_node.status();
    const bool isRemoved = m_knownGroup.commitIndex > status.commitIndex && !m_knownGroup.membership.contains(m_identity);
    if (!isParticipant() || isRemoved)
        return m_knownGroup;
    const consensus::Membership& committed = m_node.committedMembership();
    return { committed.voters.empty() ? status.membership : committed, status.leader, status.commitIndex };
}

template <typename Node, storage::FileSystem Files>
control::IntroduceReply Discovery<Node, Files>::makeIntroduceReply() const
{
    const control::KnownGroup known = knownGroup();
    const bool isEmpty = m_node.status().lastIndex == 0 && known.membership.voters.empty() && !m_file.hasKnownGroup();
    return { m_identity, isEmpty, known.membership, known.leader, known.commitIndex };
}

template <typename Node, storage::FileSystem Files>
void Discovery<Node, Files>::sendIntroduceRequests(const std::set<InstanceAddress>& addresses)
{
    const std::string request = codec::encode(control::IntroduceRequest { m_identity, knownGroup() });
    for (const InstanceAddress& address : addresses) {
        if (address == m_options.address)
            continue;
        m_client.send(address, "introduce", request, m_clock.now() + internal::introduceDeadline, [this, address](const transport::CallResult& result) {
            if (!result)
                return;
            asio::post(m_io, [this, address, body = *result] {
                if (const auto reply = codec::decode<control::IntroduceReply>(body))
                    handleIntroduceReply(address, *reply);
            });
        });
    }
}

template <typename Node, storage::FileSystem Files>
void Discovery<Node, Files>::handleIntroduceReply(const InstanceAddress& from, const control::IntroduceReply& reply)
{
    m_introduceReplies[from] = reply;
    recordStore(reply.identity);
    if (reply.isFresh)
        return;
    if (reply.membership.contains(reply.identity) && !reply.leader.empty())
        m_lastGroupReply = m_clock.now();
    updateKnownGroup(reply.known());
    if (isLeader() || reply.membership.contains(m_identity))
        return;
    const auto leader = parseIdentity(reply.leader);
    if (leader)
        m_client.send(leader->address, "join", codec::encode(control::JoinRequest { m_identity }), m_clock.now() + internal::introduceDeadline);
}

/// Bootstraps the group on the seed with the lowest address once all seeds have replied that they are empty. A group is
/// bootstrapped only once: an instance that lost its disk restarts without mayBootstrap, and an instance that received
/// the description of a group, also before a restart, does not bootstrap and no longer replies that it is empty.
template <typename Node, storage::FileSystem Files>
bool Discovery<Node, Files>::bootstrapIfSeedsEmpty()
{
    const bool isEmpty = makeIntroduceReply().isFresh;
    if (!m_options.mayBootstrap || !isEmpty || m_seeds.empty() || *std::min_element(m_seeds.begin(), m_seeds.end()) != m_options.address)
        return false;
    consensus::Membership initialMembership;
    initialMembership.voters.insert(m_identity);
    for (const InstanceAddress& seed : m_seeds) {
        if (seed == m_options.address)
            continue;
        const auto found = m_introduceReplies.find(seed);
        if (found == m_introduceReplies.end() || !found->second.isFresh)
            return false;
        initialMembership.voters.insert(found->second.identity);
    }
    const auto bootstrapped = m_node.bootstrap(initialMembership);
    if (bootstrapped)
        m_log.info("bootstrapped the group with {} voters", initialMembership.voters.size());
    else
        m_log.error("cannot bootstrap the group: {}", bootstrapped.error().message);
    return true;
}

}
