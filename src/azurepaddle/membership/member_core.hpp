#pragma once

#include "azurepaddle/membership/member_store.hpp"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurepaddle::membership::internal {

/// The part of a MemberTable that needs neither clock nor random numbers: the reactions to messages and the composition
/// of messages. Every function is told the time.
class MemberCore {
public:
    MemberCore(MemberOptions options, std::uint64_t incarnation, std::uint64_t firstSequence);

    [[nodiscard]] const MemberOptions& options() const noexcept { return m_options; }
    [[nodiscard]] const MemberRecord& self() const noexcept { return m_self; }
    [[nodiscard]] MemberStore& store() noexcept { return m_store; }
    [[nodiscard]] const MemberStore& store() const noexcept { return m_store; }
    [[nodiscard]] std::vector<OutgoingGossip> takeOutgoing() { return std::exchange(m_outgoing, {}); }
    [[nodiscard]] bool leaving() const noexcept { return m_self.state() == MemberState::Leaving; }
    [[nodiscard]] Duration suspicion() const noexcept;
    /// The time between two comparisons of tables that probably differ.
    [[nodiscard]] Duration syncGap() const noexcept;

    void setMetadata(const MemberMetadata& metadata);
    void startLeaving();
    void handle(const GossipMessage& message, TimePoint now);

    // The probe in progress.
    [[nodiscard]] bool isProbing() const noexcept { return m_probe.has_value(); }
    void startProbe(const InstanceId& id, TimePoint now);
    /// Pings the target once more after the ack timeout and suspects it when its time is over. True once, when others
    /// are to be asked.
    [[nodiscard]] bool checkProbe(TimePoint now);
    [[nodiscard]] const InstanceId& probeTarget() const { return m_probe->target; }
    void askToProbe(const InstanceId& helper);
    /// Tells the suspects of this instance's own probes directly, as gossip may reach them too late to refute.
    void warnAccused();
    void dropRelays(TimePoint now);

    /// Pings a member. One that expects no reaction but the answer has the sequence number 0.
    void ping(const InstanceId& id, std::uint64_t sequence);
    void pingAddress(const std::string& address);
    [[nodiscard]] std::uint64_t nextSequence() noexcept { return m_sequence++; }

    /// Sends the digest of the table to a member.
    void compareTables(const InstanceId& partner);
    /// A member whose table probably differs. Empty if none does.
    [[nodiscard]] InstanceId takeSyncPartner() { return std::exchange(m_syncWith, {}); }
    [[nodiscard]] bool expectsDifference() const noexcept { return !m_syncWith.empty(); }

private:
    /// A probe whose answer is awaited.
    struct Probe {
        InstanceId target;
        std::uint64_t sequence = 0;
        TimePoint sentAt;
        bool indirect = false; ///< Others were asked to probe.
    };
    /// A probe made for another member.
    struct Relay {
        InstanceId requester;
        std::string address;
        std::uint64_t sequence = 0; ///< Of the requester.
        TimePoint expires;
    };

    [[nodiscard]] GossipMessage makeMessage(GossipKind kind, const InstanceId& to, std::uint64_t sequence) const;
    void send(GossipMessage message, const std::string& address);
    /// Adds the record of a member that must hear that it is suspected or dead, so that it can refute.
    void addUnlessAlive(GossipMessage& message, const InstanceId& id) const;
    [[nodiscard]] bool isPresent(const InstanceId& id) const;
    [[nodiscard]] unsigned logOfMembers() const noexcept;
    void apply(const MemberRecord& record, TimePoint now, bool spread);
    void refute(const MemberRecord& record);
    void accuse(const InstanceId& id, TimePoint now);
    void onPing(const GossipMessage& message);
    void onAck(const GossipMessage& message);
    void onPingRequest(const GossipMessage& message, TimePoint now);
    void onSyncRequest(const GossipMessage& message);
    void onSyncPage(const GossipMessage& message);

    MemberOptions m_options;
    MemberStore m_store;
    MemberRecord m_self;
    std::uint64_t m_sequence;
    std::optional<Probe> m_probe;
    std::vector<InstanceId> m_accused; ///< Suspected by this instance, not refuted yet.
    std::unordered_map<std::uint64_t, Relay> m_relays;
    InstanceId m_syncWith;
    std::vector<OutgoingGossip> m_outgoing;
};

}
