#include "azurepaddle/membership/member_core.hpp"

#include <algorithm>
#include <bit>

namespace azurepaddle::membership::internal {

namespace {

    constexpr std::size_t maxOwnSuspects = 4;
    constexpr std::size_t maxRelays = 256;
    constexpr std::size_t maxCursorBytes = 66; // Encoded size.
    // A record takes about 100 bytes, so that comparing tables that always differ costs about 1 KB/s for any number of
    // members.
    constexpr Duration resyncIntervalPerMember = std::chrono::milliseconds(100);

}

MemberCore::MemberCore(MemberOptions options, std::uint64_t incarnation, std::uint64_t firstSequence)
    : m_options(std::move(options))
    , m_store(m_options.maxMembers)
    , m_sequence(firstSequence)
{
    m_self.id = m_options.self;
    m_self.incarnation = incarnation;
    m_self.revision = 1;
    m_self.metadata = m_options.metadata;
    m_store.queue().push(m_self);
}

unsigned MemberCore::memberCountBits() const noexcept
{
    return static_cast<unsigned>(std::bit_width(m_store.countPresent() + 1));
}

Duration MemberCore::suspicionTimeout() const noexcept
{
    return std::max<Duration>(m_options.minSuspicionTimeout, memberCountBits() * m_options.probeInterval);
}

Duration MemberCore::resyncInterval() const noexcept
{
    return std::max<Duration>(m_options.minSyncInterval, resyncIntervalPerMember * m_store.countPresent());
}

void MemberCore::setMetadata(const MemberMetadata& metadata)
{
    if (m_self.metadata == metadata)
        return;
    m_self.metadata = metadata;
    ++m_self.revision;
    m_store.queue().push(m_self);
}

void MemberCore::startLeaving()
{
    m_self.setState(MemberState::Leaving);
    ++m_self.incarnation;
    m_store.queue().push(m_self);
}

bool MemberCore::isPresent(const InstanceId& id) const
{
    const auto* member = m_store.find(id);
    return member != nullptr && member->record.state() <= MemberState::Suspect;
}

GossipMessage MemberCore::makeMessage(GossipKind kind, const InstanceId& to, std::uint64_t sequence) const
{
    GossipMessage message;
    message.kindCode = static_cast<std::uint8_t>(kind);
    message.from = m_self.id;
    message.fromAddress = m_self.metadata.peerAddress;
    message.to = to;
    message.sequence = sequence;
    message.incarnation = m_self.incarnation;
    message.revision = m_self.revision;
    if (const auto* member = m_store.find(to)) {
        message.knownIncarnation = member->record.incarnation;
        message.knownRevision = member->record.revision;
    }
    return message;
}

void MemberCore::addStateUnlessAlive(GossipMessage& message, const InstanceId& id) const
{
    const auto* member = m_store.find(id);
    if (member != nullptr && member->record.state() != MemberState::Alive)
        message.updates.push_back(member->record.stateOnly());
}

void MemberCore::send(GossipMessage message, const std::string& address)
{
    const std::size_t used = encodeGossip(message).size();
    if (used < m_options.maxMessageBytes) {
        const std::size_t budget = std::min(m_options.maxUpdateBytes, m_options.maxMessageBytes - used);
        for (MemberRecord& record : m_store.queue().take(budget, m_options.retransmitFactor * memberCountBits()))
            message.updates.push_back(std::move(record));
    }
    m_outgoing.push_back({ address, encodeGossip(message) });
}

void MemberCore::ping(const InstanceId& id, std::uint64_t sequence)
{
    const auto* member = m_store.find(id);
    if (member == nullptr)
        return;
    GossipMessage message = makeMessage(GossipKind::Ping, id, sequence);
    addStateUnlessAlive(message, id);
    if (isLeaving())
        message.updates.push_back(m_self);
    send(std::move(message), member->record.metadata.peerAddress);
}

void MemberCore::pingAddress(const std::string& address)
{
    send(makeMessage(GossipKind::Ping, {}, nextSequence()), address);
}

void MemberCore::startProbe(const InstanceId& id, TimePoint now)
{
    m_probe = Probe { id, nextSequence(), now, false };
    ping(id, m_probe->sequence);
}

bool MemberCore::advanceProbe(TimePoint now)
{
    if (!m_probe)
        return false;
    const Duration waited = now - m_probe->sentAt;
    if (m_store.find(m_probe->target) == nullptr || waited >= m_options.probeInterval) {
        markSuspect(m_probe->target, now);
        m_probe.reset();
        return false;
    }
    if (waited < m_options.ackTimeout || std::exchange(m_probe->isIndirect, true))
        return false;
    ping(m_probe->target, m_probe->sequence);
    return true;
}

void MemberCore::sendPingRequest(const InstanceId& prober)
{
    GossipMessage message = makeMessage(GossipKind::PingRequest, prober, m_probe->sequence);
    message.target = m_probe->target;
    message.targetAddress = m_store.find(m_probe->target)->record.metadata.peerAddress;
    addStateUnlessAlive(message, m_probe->target);
    send(std::move(message), m_store.find(prober)->record.metadata.peerAddress);
}

void MemberCore::markSuspect(const InstanceId& id, TimePoint now)
{
    const auto* member = m_store.find(id);
    if (member == nullptr || member->record.state() != MemberState::Alive)
        return;
    m_store.setState(id, MemberState::Suspect, now);
    if (m_ownSuspects.size() < maxOwnSuspects)
        m_ownSuspects.push_back(id);
}

void MemberCore::pingOwnSuspects()
{
    std::erase_if(m_ownSuspects, [this](const InstanceId& id) {
        const auto* member = m_store.find(id);
        return member == nullptr || member->record.state() != MemberState::Suspect;
    });
    for (const InstanceId& id : m_ownSuspects)
        ping(id, 0);
}

void MemberCore::expireRelays(TimePoint now)
{
    std::erase_if(m_relays, [now](const auto& item) { return item.second.expiresAt <= now; });
}

void MemberCore::sendSyncRequest(const InstanceId& partner)
{
    GossipMessage message = makeMessage(GossipKind::SyncRequest, partner, 0);
    message.digest = m_store.digest(m_self);
    send(std::move(message), m_store.find(partner)->record.metadata.peerAddress);
}

void MemberCore::handleMessage(const GossipMessage& message, TimePoint now)
{
    // An instance that uses the former address of another must not answer in its place.
    if ((!message.to.empty() && message.to != m_self.id) || message.from == m_self.id)
        return;
    const bool wasPresent = isPresent(message.from);
    // All members compare complete tables, so that records from a page need not be gossiped further.
    const bool disseminate = message.kind() != GossipKind::SyncPage;
    for (const MemberRecord& record : message.updates)
        apply(record, now, disseminate);
    // The table of a member that joins or returns may have members that this one lacks, and vice versa.
    if (!wasPresent && isPresent(message.from))
        m_syncPartner = message.from;
    switch (message.kind()) {
    case GossipKind::Ping:
        return onPing(message);
    case GossipKind::Ack:
        return onAck(message);
    case GossipKind::PingRequest:
        return onPingRequest(message, now);
    case GossipKind::SyncRequest:
        return onSyncRequest(message);
    case GossipKind::SyncPage:
        return onSyncPage(message);
    }
}

void MemberCore::apply(const MemberRecord& record, TimePoint now, bool disseminate)
{
    if (record.id == m_self.id)
        refute(record);
    else
        m_store.apply(record, now, disseminate);
}

void MemberCore::refute(const MemberRecord& record)
{
    const bool isOwn = record.incarnation == m_self.incarnation && record.stateCode <= m_self.stateCode && record.revision <= m_self.revision;
    if (record.incarnation < m_self.incarnation || isOwn)
        return;
    m_self.incarnation = record.incarnation + 1;
    m_store.queue().push(m_self);
}

void MemberCore::onPing(const GossipMessage& message)
{
    GossipMessage ack = makeMessage(GossipKind::Ack, message.from, message.sequence);
    if (message.knownIncarnation != m_self.incarnation || message.knownRevision != m_self.revision)
        ack.updates.push_back(m_self);
    const auto* member = m_store.find(message.from);
    // The sender must increase its incarnation if its wall clock was set back before its restart; the record makes it
    // do so.
    if (member != nullptr && member->record.incarnation > message.incarnation)
        ack.updates.push_back(member->record.stateOnly());
    send(std::move(ack), message.fromAddress);
    const bool isCurrent = isPresent(message.from)
        && std::pair(member->record.incarnation, member->record.revision) >= std::pair(message.incarnation, message.revision);
    if (isCurrent || message.sequence == 0)
        return;
    // The Ack to this ping contains the sender's current record, which this instance does not have.
    GossipMessage request = makeMessage(GossipKind::Ping, message.from, 0);
    addStateUnlessAlive(request, message.from);
    send(std::move(request), message.fromAddress);
}

void MemberCore::onAck(const GossipMessage& message)
{
    const InstanceId& probed = message.target.empty() ? message.from : message.target;
    if (m_probe && m_probe->sequence == message.sequence && m_probe->target == probed)
        return m_probe.reset();
    const auto relay = m_relays.find(message.sequence);
    if (relay == m_relays.end())
        return;
    GossipMessage forwarded = makeMessage(GossipKind::Ack, relay->second.requester, relay->second.sequence);
    forwarded.target = message.from;
    // The probed member may have refuted a suspicion, so that its record is forwarded to the requester.
    if (isPresent(message.from))
        forwarded.updates.push_back(m_store.find(message.from)->record);
    const std::string address = relay->second.address;
    m_relays.erase(relay);
    send(std::move(forwarded), address);
}

void MemberCore::onPingRequest(const GossipMessage& message, TimePoint now)
{
    if (m_relays.size() >= maxRelays || message.target.empty() || message.targetAddress.empty())
        return;
    const std::uint64_t sequence = nextSequence();
    m_relays[sequence] = { message.from, message.fromAddress, message.sequence, now + m_options.probeInterval };
    GossipMessage request = makeMessage(GossipKind::Ping, message.target, sequence);
    addStateUnlessAlive(request, message.target);
    send(std::move(request), message.targetAddress);
}

void MemberCore::onSyncRequest(const GossipMessage& message)
{
    if (message.digest != 0 && message.digest == m_store.digest(m_self))
        return;
    // Either table may be the one that lacks records, so that this instance requests a comparison as well.
    if (message.digest != 0 && m_syncPartner.empty())
        m_syncPartner = message.from;
    GossipMessage page = makeMessage(GossipKind::SyncPage, message.from, 0);
    if (message.cursor.empty())
        page.updates.push_back(m_self);
    const std::size_t used = encodeGossip(page).size() + maxCursorBytes;
    const std::size_t budget = m_options.maxMessageBytes > used ? m_options.maxMessageBytes - used : 0;
    auto [records, next] = m_store.page(message.cursor, budget);
    page.updates.insert(page.updates.end(), records.begin(), records.end());
    page.cursor = std::move(next);
    m_outgoing.push_back({ message.fromAddress, encodeGossip(page) });
}

void MemberCore::onSyncPage(const GossipMessage& message)
{
    if (message.cursor.empty()) {
        // The tables differed, so that another comparison is scheduled soon.
        if (m_syncPartner.empty())
            m_syncPartner = message.from;
        return;
    }
    GossipMessage request = makeMessage(GossipKind::SyncRequest, message.from, 0);
    request.cursor = message.cursor;
    send(std::move(request), message.fromAddress);
}

}
