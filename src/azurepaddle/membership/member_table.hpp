#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/random.hpp"
#include "azurepaddle/membership/member_core.hpp"

#include <algorithm>
#include <utility>

namespace azurepaddle::membership {

/// The instances and their reachability, determined by probing and gossip similar to SWIM. Does no I/O: the owner sends
/// the messages that `tick`, `receive` and `leave` return, and passes received messages to `receive`. Not thread-safe.
///
/// In each probe interval one member is pinged. If it does not answer, other members ping it, and if they get no answer
/// either, it is suspected. A suspect that receives the suspicion refutes it by increasing its incarnation. Changes are
/// piggybacked on the messages of the probes, whose size is bounded, so that the traffic of an instance does not depend
/// on the number of members.
template <typename ClockType, typename RandomType>
class MemberTable {
    static_assert(Clock<ClockType> && RandomSource<RandomType>);

public:
    using Messages = std::vector<OutgoingGossip>;

    /// Clock and random source must outlive the table. The first incarnation is derived from the wall clock, so that it
    /// increases at a restart. If the wall clock was set back, the records of the earlier incarnation that other
    /// members send make the instance increase it.
    MemberTable(MemberOptions options, const ClockType& clock, RandomType& random)
        : m_clock(clock)
        , m_random(random)
        , m_core(std::move(options), firstIncarnation(clock, random), 1 + random.below(maxFirstSequence))
        , m_nextExpiry(clock.now())
        , m_nextProbe(clock.now())
        , m_nextSeed(clock.now())
        , m_nextDeadProbe(clock.now() + m_core.options().deadProbeInterval)
        , m_nextSync(clock.now() + jittered(m_core.options().syncInterval))
        , m_lastSync(clock.now() - m_core.options().minSyncInterval)
    {
    }

    /// Runs all timers that are due. Call it about every 100 ms.
    [[nodiscard]] Messages tick()
    {
        const TimePoint now = m_clock.now();
        if (isDue(m_nextExpiry, now, expiryInterval)) {
            m_core.store().expire(now, m_core.suspicionTimeout(), m_core.options().deadRetention);
            m_core.expireRelays(now);
        }
        if (m_core.advanceProbe(now))
            startIndirectProbe();
        if (!m_core.isLeaving()) {
            if (isDue(m_nextProbe, now, m_core.options().probeInterval))
                probeNext(now);
            if (isDue(m_nextSeed, now, m_core.options().seedInterval))
                probeSeed();
            if (isDue(m_nextDeadProbe, now, m_core.options().deadProbeInterval))
                probeDead();
            synchronize(now);
        }
        return m_core.takeOutgoing();
    }

    /// Handles a message from a peer.
    [[nodiscard]] tl::expected<Messages, MemberError> receive(std::string_view bytes)
    {
        const auto message = decodeGossip(bytes);
        if (!message)
            return tl::unexpected(message.error());
        m_core.handleMessage(*message, m_clock.now());
        return m_core.takeOutgoing();
    }

    /// Announces to some members that this instance is shutting down. It stops probing, but still answers messages.
    [[nodiscard]] Messages leave()
    {
        m_core.startLeaving();
        for (const InstanceId& id : pickRandom(m_core.store().idsInState(MemberState::Alive), leaveFanout))
            m_core.ping(id, 0);
        return m_core.takeOutgoing();
    }

    /// Replaces the metadata that is gossiped about this instance.
    void setMetadata(const MemberMetadata& metadata) { m_core.setMetadata(metadata); }

    [[nodiscard]] const MemberRecord& self() const noexcept { return m_core.self(); }

    /// All other members in the order of their identifiers, including dead and leaving ones until they are removed.
    [[nodiscard]] std::vector<MemberRecord> members() const
    {
        std::vector<MemberRecord> records;
        for (const auto& [id, member] : m_core.store().all())
            records.push_back(member.record);
        return records;
    }

    /// The record of another member, or null if there is none. Valid until the next call that changes the table.
    [[nodiscard]] const MemberRecord* find(const InstanceId& id) const
    {
        const auto* member = m_core.store().find(id);
        return member == nullptr ? nullptr : &member->record;
    }

    /// Returns the changes of members' states since the last call.
    [[nodiscard]] std::vector<MemberChange> takeChanges() { return m_core.store().takeChanges(); }

private:
    static constexpr Duration expiryInterval = std::chrono::milliseconds(500);
    static constexpr unsigned incarnationRandomBits = 16;
    static constexpr std::uint64_t maxFirstSequence = 60000;
    static constexpr std::size_t leaveFanout = 8;

    [[nodiscard]] static std::uint64_t firstIncarnation(const ClockType& clock, RandomType& random)
    {
        const auto milliseconds = static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
        return (milliseconds << incarnationRandomBits) + random.below(1U << incarnationRandomBits);
    }

    /// Whether the time is reached; if so, advances it by the interval.
    [[nodiscard]] static bool isDue(TimePoint& next, TimePoint now, Duration interval) noexcept
    {
        if (now < next)
            return false;
        next = now + interval;
        return true;
    }

    [[nodiscard]] Duration jittered(Duration duration) { return std::chrono::duration_cast<Duration>(duration * (0.5 + m_random.uniform())); }

    /// Chooses at most `count` identifiers at random, in random order.
    [[nodiscard]] std::vector<InstanceId> pickRandom(std::vector<InstanceId> ids, std::size_t count)
    {
        count = std::min(count, ids.size());
        for (std::size_t i = 0; i < count; ++i)
            std::swap(ids[i], ids[i + m_random.below(ids.size() - i)]);
        ids.resize(count);
        return ids;
    }

    void startIndirectProbe()
    {
        std::vector<InstanceId> probers = m_core.store().idsInState(MemberState::Alive);
        std::erase(probers, m_core.probeTarget());
        for (const InstanceId& prober : pickRandom(std::move(probers), m_core.options().indirectProbes))
            m_core.sendPingRequest(prober);
    }

    void probeNext(TimePoint now)
    {
        m_core.pingOwnSuspects();
        if (m_core.isProbing())
            return;
        if (m_probeOrder.empty()) {
            std::vector<InstanceId> ids = m_core.store().idsInState(MemberState::Alive);
            const std::vector<InstanceId> suspects = m_core.store().idsInState(MemberState::Suspect);
            ids.insert(ids.end(), suspects.begin(), suspects.end());
            m_probeOrder = pickRandom(std::move(ids), m_core.options().maxMembers);
        }
        while (!m_probeOrder.empty()) {
            const InstanceId id = m_probeOrder.back();
            m_probeOrder.pop_back();
            const MemberRecord* record = find(id);
            if (record != nullptr && record->state() <= MemberState::Suspect)
                return m_core.startProbe(id, now);
        }
    }

    void probeSeed()
    {
        const std::vector<std::string>& seeds = m_core.options().seeds;
        if (seeds.empty())
            return;
        const std::string& address = seeds[m_random.below(seeds.size())];
        if (address != self().metadata.peerAddress && !m_core.store().isPresentAt(address))
            m_core.pingAddress(address);
    }

    void probeDead()
    {
        for (const InstanceId& id : pickRandom(m_core.store().idsInState(MemberState::Dead), 1))
            m_core.ping(id, m_core.nextSequence());
    }

    void synchronize(TimePoint now)
    {
        const bool isResyncDue = m_core.hasSyncPartner() && now - m_lastSync >= m_core.resyncInterval();
        if (!isResyncDue && now < m_nextSync)
            return;
        m_nextSync = now + jittered(m_core.options().syncInterval);
        InstanceId partner = m_core.takeSyncPartner();
        const MemberRecord* record = find(partner);
        if (record == nullptr || record->state() != MemberState::Alive) {
            const std::vector<InstanceId> picked = pickRandom(m_core.store().idsInState(MemberState::Alive), 1);
            if (picked.empty())
                return;
            partner = picked.front();
        }
        m_lastSync = now;
        m_core.sendSyncRequest(partner);
    }

    const ClockType& m_clock;
    RandomType& m_random;
    internal::MemberCore m_core;
    std::vector<InstanceId> m_probeOrder; ///< Members still to be probed in the current round.
    TimePoint m_nextExpiry;
    TimePoint m_nextProbe;
    TimePoint m_nextSeed;
    TimePoint m_nextDeadProbe;
    TimePoint m_nextSync;
    TimePoint m_lastSync;
};

}
