#pragma once

#include "body_budget_monitor.hpp"

#include "azurepaddle/config/node_settings.hpp"
#include "azurepaddle/control/contact_messages.hpp"
#include "azurepaddle/gateway/balancer.hpp"
#include "azurepaddle/gateway/crash_probe.hpp"
#include "azurepaddle/gateway/relay_server.hpp"
#include "azurepaddle/gateway/usage_sender.hpp"
#include "azurepaddle/platform/caller_api.hpp"
#include "azurepaddle/registry/directory_progress.hpp"
#include "azurepaddle/registry/entry_finder.hpp"
#include "azurepaddle/registry/failed_polls.hpp"
#include "azurepaddle/registry/leader_client.hpp"
#include "azurepaddle/registry/nearest_store.hpp"
#include "azurepaddle/registry/state_age.hpp"
#include "azurepaddle/registry/stream_recorder.hpp"
#include "azurepaddle/registry/suspect_reporter.hpp"
#include "azurepaddle/transport/peer_server.hpp"

namespace azurepaddle::node {

/// A node that serves callers. It stores nothing on disk: configuration and endpoints are polled from a store node, in
/// its own data centre if there is one, and stay in use while no store node answers.
class EntryNode {
public:
    EntryNode(asio::io_context& io, config::NodeSettings settings);

    /// Logs the reason and returns false if an address is in use.
    [[nodiscard]] bool start();
    /// Reports that the node is not ready, completes the requests in progress and calls back.
    void drain(std::function<void()> onDrained);
    /// Applies the seeds of changed settings. All other settings apply from the next start.
    void reload(const config::NodeSettings& settings);
    void stop();

private:
    [[nodiscard]] registry::EntryStatus status() const;
    [[nodiscard]] bool takesRequestsOfOthers() const { return m_hasConfiguration && !m_isDraining && !m_links.areCut(); }
    void registerAnnouncements();
    void onAnnouncement(const control::Announcement& announcement);
    void poll();
    void onPoll(const InstanceAddress& store, TimePoint sentAt, const registry::PollReply& reply);
    void onPollFailed(const InstanceAddress& asked, const std::optional<InstanceAddress>& named);
    void pollAfter(Duration delay);
    void logOlderReply(const InstanceAddress& store, TimePoint sentAt, const registry::PollReply& reply);
    void updateConfiguration(const registry::PollReply& reply);
    void updateEndpoints(const registry::PollReply& reply);
    void updateMembers(const registry::PollReply& reply);
    void updateSuspects(const registry::PollReply& reply);
    void requestPermit(const registry::PermitRequest& request, TimePoint deadline, const gateway::PermitCallback& onReply);
    void reportDraining(const registry::EndpointIncarnation& leave);
    void answerReady(const http1::ExchangePointer& exchange) const;
    [[nodiscard]] bool isReady() const;
    void watchDrain();
    [[nodiscard]] Duration longestDrain() const;

    asio::io_context& m_io;
    const config::NodeSettings m_settings;
    const Log m_log { "entry" };
    const SystemClock m_clock {};
    metrics::Registry m_metrics;
    std::vector<InstanceAddress> m_seeds; ///< From the newest settings.
    Random m_random;
    transport::PeerClient m_peerClient;
    transport::PeerServer m_peerServer;
    registry::LeaderClient m_leader;
    registry::SuspectReporter m_reporter;
    registry::StreamRecorder m_streamRecorder;
    registry::DirectoryProgress m_directoryProgress;
    gateway::UsageCounter m_usageCounter;
    gateway::UsageSender m_usageSender;
    registry::NearestStore m_stores;
    registry::StateAge m_stateAge;
    http1::ClientPool m_pool;
    gateway::Balancer m_balancer;
    gateway::LinkProber m_links;
    gateway::CrashProbe m_crashProbe;
    gateway::CrashGuard m_guard;
    gateway::SendLimiter m_limiter;
    gateway::Forwarder<platform::EndpointProtocol> m_localForwarder;
    gateway::RelayServer<platform::EndpointProtocol> m_relayServer;
    registry::EntryFinder m_entryFinder;
    gateway::RelayPeers m_relayPeers;
    platform::CallerApi::Forwarder m_forwarder;
    platform::CallerApi::StreamForwarder m_streams;
    platform::CallerApi m_callers;
    std::shared_ptr<http1::BodyBudget> m_bodyBudget; ///< Shared by all servers of this node.
    BodyBudgetMonitor m_bodyMonitor;
    http1::Server m_callerServer;
    http1::Server m_readyServer;
    http1::Server m_metricsServer;
    asio::steady_timer m_pollTimer;
    asio::steady_timer m_drainTimer;
    registry::PollRequest m_received; ///< Version and revisions received so far, for the next poll.
    registry::FailedPolls m_failedPolls; ///< Since the last log line about them.
    TimePoint m_lastContact {};
    TimePoint m_nextMissingStoreLog {}; ///< Time of the next log line while no store node answers.
    TimePoint m_nextOlderReplyLog {}; ///< Time of the next log line about replies from older states.
    bool m_hasConfiguration = false;
    bool m_isInContact = false;
    bool m_isDraining = false;
    TimePoint m_drainSince {};
    std::function<void()> m_onDrained;
};

}
