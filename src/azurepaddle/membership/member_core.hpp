#pragma once

#include "azurepaddle/membership/member_store.hpp"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurepaddle::membership::internal {

/// The part of a MemberTable that uses neither a clock nor random numbers: it handles received messages and creates
/// messages to send. Functions get the current time as an argument.
class MemberCore {
public:
    MemberCore(MemberOptions options, std::uint64_t incarnation, std::uint64_t firstSequence);

    [[nodiscard]] const MemberOptions& options() const noexcept { return m_options; }
    [[nodiscard]] const MemberRecord& self() const noexcept { return m_self; }
    [[nodiscard]] MemberStore& store() noexcept { return m_store; }
    [[nodiscard]] const MemberStore& store() const noexcept { return m_store; }
    [[nodiscard]] std::vector<OutgoingGossip> takeOutgoing() { return std::exchange(m_outgoing, {}); }
    [[nodiscard]] bool isLeaving() const noexcept { return m_self.state() == MemberState::Leaving; }
    [[nodiscard]] Duration suspicionTimeout() const noexcept;
    /// Minimum time between two comparisons of tables that are expected to differ.
    [[nodiscard]] Duration resyncInterval() const noexcept;

    void setMetadata(const MemberMetadata& metadata);
    void startLeaving();
    void handleMessage(const GossipMessage& message, TimePoint now);

    // The probe in progress.
    [[nodiscard]] bool isProbing() const noexcept { return m_probe.has_value(); }
    void startProbe(const InstanceId& id, TimePoint now);
    /// Pings the target again after the ack timeout and marks it as suspect after the probe interval. Returns true once
    /// per probe, when other members are to be requested to probe.
    [[nodiscard]] bool advanceProbe(TimePoint now);
    [[nodiscard]] const InstanceId& probeTarget() const { return m_probe->target; }
    void sendPingRequest(const InstanceId& prober);
    /// Pings the members that this instance suspects after its own probes. The ping contains the suspicion, which
    /// gossip may deliver too late to be refuted.
    void pingOwnSuspects();
    void expireRelays(TimePoint now);

    /// Pings a member. The sequence number 0 marks a ping that is not a probe and to which the receiver sends only an
    /// Ack.
    void ping(const InstanceId& id, std::uint64_t sequence);
    void pingAddress(const std::string& address);
    [[nodiscard]] std::uint64_t nextSequence() noexcept { return m_sequence++; }

    /// Starts a comparison of tables by sending the digest of this one to a member.
    void sendSyncRequest(const InstanceId& partner);
    /// Returns and clears the member whose table is expected to differ. Empty if there is none.
    [[nodiscard]] InstanceId takeSyncPartner() { return std::exchange(m_syncPartner, {}); }
    [[nodiscard]] bool hasSyncPartner() const noexcept { return !m_syncPartner.empty(); }

private:
    /// A probe that was not answered yet.
    struct Probe {
        InstanceId target;
        std::uint64_t sequence = 0;
        TimePoint sentAt;
        bool isIndirect = false; ///< Other members were requested to probe.
    };
    /// A probe on behalf of another member.
    struct Relay {
        InstanceId requester;
        std::string address;
        std::uint64_t sequence = 0; ///< Of the requester.
        TimePoint expiresAt;
    };

    [[nodiscard]] GossipMessage makeMessage(GossipKind kind, const InstanceId& to, std::uint64_t sequence) const;
    void send(GossipMessage message, const std::string& address);
    /// Adds the state of a member that is not recorded as alive, so that the member receives it and can refute it.
    void addStateUnlessAlive(GossipMessage& message, const InstanceId& id) const;
    [[nodiscard]] bool isPresent(const InstanceId& id) const;
    [[nodiscard]] unsigned memberCountBits() const noexcept;
    void apply(const MemberRecord& record, TimePoint now, bool disseminate);
    void refute(const MemberRecord& record);
    void markSuspect(const InstanceId& id, TimePoint now);
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
    std::vector<InstanceId> m_ownSuspects; ///< Suspected after probes of this instance and not refuted yet.
    std::unordered_map<std::uint64_t, Relay> m_relays;
    InstanceId m_syncPartner;
    std::vector<OutgoingGossip> m_outgoing;
};

}
