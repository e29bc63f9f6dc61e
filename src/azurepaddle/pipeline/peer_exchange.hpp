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

/// What one tenant got and wants at one instance, for the fair shares over all instances.
struct DemandMessage {
    ServiceName service;
    TenantName tenant;
    double weight = 1;
    double served = 0;
    double queued = 0;
    double longServed = 0; ///< The part of long work.
    double longQueued = 0;
    MSGPACK_DEFINE(service, tenant, weight, served, queued, longServed, longQueued)
};

/// What an instance tells its peers about itself.
struct InstanceMessage {
    InstanceId name;
    std::uint64_t incarnation = 0;
    DataCentreName dataCentre;
    std::vector<std::string> roles;
    std::string httpAddress;
    std::uint64_t configuration = 0; ///< Number in force.
    bool isReady = false;
    bool isDraining = false;
    std::vector<DemandMessage> demands; ///< Of the last second.
    MSGPACK_DEFINE(name, incarnation, dataCentre, roles, httpAddress, configuration, isReady, isDraining, demands)
};

/// An instance as its peers see it.
struct InstanceView {
    InstanceMessage message;
    std::string state; ///< alive, suspect, dead or leaving.
    TimePoint lastHeard {};
};

/// Settings of the exchange.
struct ExchangeOptions {
    InstanceMessage self; ///< Its constant fields.
    std::map<std::string, InstanceAddress> peers; ///< By name; this instance is left out.
    Duration suspectAfter = std::chrono::milliseconds(1500);
    Duration deadAfter = std::chrono::seconds(5);
};

/// Exchanges endpoint announcements, demands and standing with the other instances. Each instance pulls from every peer,
/// which is affordable for the 7 to 9 instances of a deployment; docs/CAPACITY.md tells what replaces it beyond.
class PeerExchange {
public:
    PeerExchange(ExchangeOptions options, const SystemClock& clock, LiveDirectory& directory, routing::SuspectTracker& suspects,
        const ConfigurationHolder& configuration, transport::PeerClient& client);

    void registerHandlers(transport::PeerServer& server);

    /// Asks every peer for its changes. Answers arrive later. To be called several times a second.
    void pull();

    /// Tells all peers of a new suspect at once.
    void announceSuspect(const routing::Fingerprint& fingerprint);

    /// Sets what this instance tells its peers.
    void setStatus(bool isReady, bool isDraining);
    void setDemands(std::vector<DemandMessage> demands);

    /// This instance and all that were heard of, by name.
    [[nodiscard]] std::vector<InstanceView> instances() const;

    /// Incarnations that are certainly over: a peer came back with a higher one, or refuses connections for long.
    [[nodiscard]] std::vector<InstanceMessage> takeEndedIncarnations();

private:
    [[nodiscard]] std::string answer(const std::string& body);
    void onAnswer(const std::string& name, TimePoint asked, const transport::CallResult& result);
    void note(const InstanceMessage& message);
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
    std::map<std::string, bool> m_asking; ///< One request at a time per peer.
    std::map<std::string, std::uint64_t> m_reportedDead; ///< Incarnation by name.
    std::vector<InstanceMessage> m_dead;
};

}
