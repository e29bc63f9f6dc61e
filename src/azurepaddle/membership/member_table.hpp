#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/random.hpp"
#include "azurepaddle/membership/member_core.hpp"

#include <algorithm>
#include <utility>

namespace azurepaddle::membership {

/// The instances and which of them are reachable, by SWIM-like probing and gossip. Does no I/O: the owner sends the
/// messages that `tick`, `receive` and `leave` return and passes on those that arrive. Not thread-safe.
///
/// Each probe interval one member is pinged; if it does not answer, others ping it, and then it is suspected. A suspect
/// that hears of it raises its incarnation and is alive again. Changes ride on the messages of the probes, whose size is
/// bounded, so that the traffic of an instance does not depend on the number of members.
template <typename ClockType, typename RandomType>
class MemberTable {
    static_assert(Clock<ClockType> && RandomSource<RandomType>);

public:
    using Messages = std::vector<OutgoingGossip>;

    /// Clock and random source must outlive the table. The first incarnation follows the wall clock, so that it rises at
    /// a restart; if the wall clock went back, the others' memory of the earlier incarnation raises it.
    MemberTable(MemberOptions options, const ClockType& clock, RandomType& random)
        : m_clock(clock)
        , m_random(random)
        , m_core(std::move(options), firstIncarnation(clock, random), 1 + random.below(maxFirstSequence))
        , m_nextAging(clock.now())
        , m_nextProbe(clock.now())
        , m_nextSeed(clock.now())
        , m_nextDeadProbe(clock.now() + m_core.options().deadProbeInterval)
        , m_nextSync(clock.now() + jittered(m_core.options().syncInterval))
        , m_lastSync(clock.now() - m_core.options().minSyncInterval)
    {
    }

    /// Does what is due. Call it about every 100 ms.
    [[nodiscard]] Messages tick()
    {
        const TimePoint now = m_clock.now();
        if (isDue(m_nextAging, now, agingInterval)) {
            m_core.store().age(now, m_core.suspicion(), m_core.options().deadRetention);
            m_core.dropRelays(now);
        }
        if (m_core.checkProbe(now))
            askOthers();
        if (!m_core.leaving()) {
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

    /// Handles a message of a peer.
    [[nodiscard]] tl::expected<Messages, MemberError> receive(std::string_view bytes)
    {
        const auto message = decodeGossip(bytes);
        if (!message)
            return tl::unexpected(message.error());
        m_core.handle(*message, m_clock.now());
        return m_core.takeOutgoing();
    }

    /// Tells some members that this instance stops. It does not probe any more, but still answers.
    [[nodiscard]] Messages leave()
    {
        m_core.startLeaving();
        for (const InstanceId& id : pick(m_core.store().inState(MemberState::Alive), leaveFanout))
            m_core.ping(id, 0);
        return m_core.takeOutgoing();
    }

    /// Replaces what the others are told about this instance.
    void setMetadata(const MemberMetadata& metadata) { m_core.setMetadata(metadata); }

    [[nodiscard]] const MemberRecord& self() const noexcept { return m_core.self(); }

    /// All other members in the order of their identifiers, with dead and leaving ones until they are forgotten.
    [[nodiscard]] std::vector<MemberRecord> members() const
    {
        std::vector<MemberRecord> records;
        for (const auto& [id, member] : m_core.store().all())
            records.push_back(member.record);
        return records;
    }

    /// The record of another member. Nothing if it is not known; valid until the next call that changes the table.
    [[nodiscard]] const MemberRecord* find(const InstanceId& id) const
    {
        const auto* member = m_core.store().find(id);
        return member == nullptr ? nullptr : &member->record;
    }

    /// The states that members entered since the last call.
    [[nodiscard]] std::vector<MemberChange> takeChanges() { return m_core.store().takeChanges(); }

private:
    static constexpr Duration agingInterval = std::chrono::milliseconds(500);
    static constexpr unsigned incarnationRandomBits = 16;
    static constexpr std::uint64_t maxFirstSequence = 60000;
    static constexpr std::size_t leaveFanout = 8;

    [[nodiscard]] static std::uint64_t firstIncarnation(const ClockType& clock, RandomType& random)
    {
        const auto milliseconds = static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
        return (milliseconds << incarnationRandomBits) + random.below(1U << incarnationRandomBits);
    }

    /// Whether the time has come; then sets the next one.
    [[nodiscard]] static bool isDue(TimePoint& next, TimePoint now, Duration interval) noexcept
    {
        if (now < next)
            return false;
        next = now + interval;
        return true;
    }

    [[nodiscard]] Duration jittered(Duration duration) { return std::chrono::duration_cast<Duration>(duration * (0.5 + m_random.uniform())); }

    /// A random choice of at most this many, in random order.
    [[nodiscard]] std::vector<InstanceId> pick(std::vector<InstanceId> ids, std::size_t count)
    {
        count = std::min(count, ids.size());
        for (std::size_t i = 0; i < count; ++i)
            std::swap(ids[i], ids[i + m_random.below(ids.size() - i)]);
        ids.resize(count);
        return ids;
    }

    void askOthers()
    {
        std::vector<InstanceId> helpers = m_core.store().inState(MemberState::Alive);
        std::erase(helpers, m_core.probeTarget());
        for (const InstanceId& helper : pick(std::move(helpers), m_core.options().indirectProbes))
            m_core.askToProbe(helper);
    }

    void probeNext(TimePoint now)
    {
        m_core.warnAccused();
        if (m_core.isProbing())
            return;
        if (m_order.empty()) {
            std::vector<InstanceId> ids = m_core.store().inState(MemberState::Alive);
            const std::vector<InstanceId> suspects = m_core.store().inState(MemberState::Suspect);
            ids.insert(ids.end(), suspects.begin(), suspects.end());
            m_order = pick(std::move(ids), m_core.options().maxMembers);
        }
        while (!m_order.empty()) {
            const InstanceId id = m_order.back();
            m_order.pop_back();
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
        for (const InstanceId& id : pick(m_core.store().inState(MemberState::Dead), 1))
            m_core.ping(id, m_core.nextSequence());
    }

    void synchronize(TimePoint now)
    {
        const bool soon = m_core.expectsDifference() && now - m_lastSync >= m_core.syncGap();
        if (!soon && now < m_nextSync)
            return;
        m_nextSync = now + jittered(m_core.options().syncInterval);
        InstanceId partner = m_core.takeSyncPartner();
        const MemberRecord* record = find(partner);
        if (record == nullptr || record->state() != MemberState::Alive) {
            const std::vector<InstanceId> picked = pick(m_core.store().inState(MemberState::Alive), 1);
            if (picked.empty())
                return;
            partner = picked.front();
        }
        m_lastSync = now;
        m_core.compareTables(partner);
    }

    const ClockType& m_clock;
    RandomType& m_random;
    internal::MemberCore m_core;
    std::vector<InstanceId> m_order; ///< Members still to probe in this round.
    TimePoint m_nextAging;
    TimePoint m_nextProbe;
    TimePoint m_nextSeed;
    TimePoint m_nextDeadProbe;
    TimePoint m_nextSync;
    TimePoint m_lastSync;
};

}
