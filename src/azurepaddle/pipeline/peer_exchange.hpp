#pragma once

#include "azurepaddle/core/log.hpp"
#include "azurepaddle/membership/delta.hpp"
#include "azurepaddle/pipeline/configuration_holder.hpp"
#include "azurepaddle/pipeline/dispatcher.hpp"
#include "azurepaddle/routing/suspect_tracker.hpp"
#include "azurepaddle/transport/peer_client.hpp"
#include "azurepaddle/transport/peer_server.hpp"

#include <atomic>
#include <map>
#include <mutex>

namespace azurepaddle::pipeline {

/// Work served and queued for one tenant at one instance, from which fair shares over all instances are computed.
struct DemandMessage {
    ServiceName service;
    TenantName tenant;
    double weight = 1;
    double served = 0;
    double queued = 0;
    double longServed = 0; ///< The portion of `served` that is long work.
    double longQueued = 0; ///< The portion of `queued` that is long work.
    MSGPACK_DEFINE(service, tenant, weight, served, queued, longServed, longQueued)
};

/// The state that an instance publishes to its peers.
struct InstanceMessage {
    InstanceId name;
    std::uint64_t incarnation = 0;
    DataCentreName dataCentre;
    std::vector<std::string> roles;
    std::string httpAddress;
    std::uint64_t configuration = 0; ///< Number of the configuration in force.
    bool isReady = false;
    bool isDraining = false;
    std::vector<DemandMessage> demands; ///< Demands of the last second.
    MSGPACK_DEFINE(name, incarnation, dataCentre, roles, httpAddress, configuration, isReady, isDraining, demands)
};

/// The state of an instance as known to its peers.
struct InstanceView {
    InstanceMessage message;
    std::string state; ///< alive, suspect, dead or leaving.
    TimePoint lastReceived {};
};

/// Settings of the exchange.
struct ExchangeOptions {
    InstanceMessage self; ///< The message of this instance, with its constant fields set.
    std::map<std::string, InstanceAddress> peers; ///< Addresses by instance name, without this instance.
    Duration suspectAfter = std::chrono::milliseconds(1500);
    Duration deadAfter = std::chrono::seconds(5);
};

/// Exchanges endpoint announcements, demands and status with the other instances. Each instance pulls from every peer,
/// which is affordable for the 7 to 9 instances of a deployment; docs/CAPACITY.md describes the replacement for larger
/// deployments.
class PeerExchange {
public:
    PeerExchange(ExchangeOptions options, const SystemClock& clock, LiveDirectory& directory, routing::SuspectTracker& suspects,
        const ConfigurationHolder& configuration, transport::PeerClient& client);

    void registerHandlers(transport::PeerServer& server);

    /// Requests the changes of every peer without waiting for the replies. To be called several times a second.
    void pull();

    /// Sends a new suspect fingerprint to all peers immediately.
    void announceSuspect(const routing::Fingerprint& fingerprint);

    /// Sets the status that this instance publishes to its peers.
    void setStatus(bool isReady, bool isDraining);
    void setDemands(std::vector<DemandMessage> demands);

    /// This instance, followed by all peers from which a message was received, ordered by name.
    [[nodiscard]] std::vector<InstanceView> instances() const;

    /// Returns, once each, the incarnations of peers that have certainly ended: the peer restarted with a higher one,
    /// or no message was received from it for longer than `deadAfter`.
    [[nodiscard]] std::vector<InstanceMessage> takeEndedIncarnations();

private:
    [[nodiscard]] std::string handleGossip(const std::string& body);
    void onGossipReply(const std::string& name, TimePoint requestedAt, const transport::CallResult& result);
    void recordPeer(const InstanceMessage& message);
    [[nodiscard]] InstanceMessage selfMessage() const;
    [[nodiscard]] std::string stateOf(const InstanceView& view, TimePoint now) const;

    const ExchangeOptions m_options;
    const SystemClock& m_clock;
    LiveDirectory& m_directory;
    routing::SuspectTracker& m_suspects;
    const ConfigurationHolder& m_configuration;
    transport::PeerClient& m_client;
    const Log m_log { "peers" };
    mutable std::mutex m_mutex;
    InstanceMessage m_self;
    std::map<std::string, InstanceView> m_views;
    std::map<std::string, bool> m_hasPendingRequest; ///< Limits requests to one at a time per peer.
    /// The last incarnation of each peer that was reported as ended because no messages arrived, by name.
    std::map<std::string, std::uint64_t> m_reportedIncarnations;
    std::vector<InstanceMessage> m_replacedIncarnations; ///< Replaced by a higher incarnation and not yet reported.
};

}
