#pragma once

#include "azurepaddle/config/node_settings.hpp"
#include "azurepaddle/gateway/balancer.hpp"
#include "azurepaddle/platform/caller_api.hpp"
#include "azurepaddle/registry/leader_client.hpp"

namespace azurepaddle::node {

/// A node that serves callers. It keeps nothing: configuration and endpoints come from the leader, and what it has stays
/// in use while no leader can be reached.
class EntryNode {
public:
    EntryNode(asio::io_context& io, config::NodeSettings settings);

    /// False with a logged reason if an address is in use.
    [[nodiscard]] bool start();
    /// Refuses to be chosen for new connections, finishes what is in progress and calls back.
    void drain(std::function<void()> onDrained);
    /// Takes over the seeds of changed settings; everything else holds for the lifetime of the process.
    void reload(const config::NodeSettings& settings);
    void stop();

private:
    void poll();
    void onPoll(const registry::LeaderResult<registry::PollReply>& result, std::size_t told);
    void takeConfiguration(const registry::PollReply& reply);
    void answerReady(const http1::ExchangePointer& exchange) const;
    [[nodiscard]] bool isReady() const;
    void watchDrain();

    const config::NodeSettings m_settings;
    const Log m_log { "entry" };
    const SystemClock m_clock {};
    metrics::Registry m_metrics;
    Random m_random;
    transport::PeerClient m_peerClient;
    registry::LeaderClient m_leader;
    http1::ClientPool m_pool;
    gateway::Balancer m_balancer;
    platform::CallerApi::Forwarder m_forwarder;
    platform::CallerApi m_callers;
    http1::Server m_callerServer;
    http1::Server m_readyServer;
    http1::Server m_metricsServer;
    asio::steady_timer m_pollTimer;
    asio::steady_timer m_drainTimer;
    registry::PollRequest m_known;
    TimePoint m_lastContact {};
    bool m_hasConfiguration = false;
    bool m_isInContact = false;
    bool m_isDraining = false;
    TimePoint m_drainSince {};
    std::function<void()> m_onDrained;
};

}
