#pragma once

#include "body_budget_monitor.hpp"

#include "azurepaddle/config/node_settings.hpp"
#include "azurepaddle/execution/scaler.hpp"
#include "azurepaddle/execution/usage_reporter.hpp"
#include "azurepaddle/execution/weight_loader.hpp"
#include "azurepaddle/platform/control_api.hpp"
#include "azurepaddle/platform/duty_protocol.hpp"
#include "azurepaddle/platform/endpoint_protocol.hpp"
#include "azurepaddle/registry/usage_service.hpp"

namespace azurepaddle::node {

/// A node that stores the replicated log or stands by to do so. The leader runs batch jobs, orders weight loads,
/// performs the duties at the platform, and answers the requests of the other nodes.
class StoreNode {
public:
    StoreNode(asio::io_context& io, config::NodeSettings settings);

    /// Logs the reason and returns false if an address is in use.
    [[nodiscard]] bool start();
    /// Transfers the leadership and calls back.
    void drain(std::function<void()> onDrained);
    void reload(const config::NodeSettings& settings);
    void stop();

private:
    using Runner = execution::JobRunner<platform::EndpointProtocol>;
    using UsageReporter = execution::UsageReporter<platform::DutyProtocol>;
    using Loader = execution::WeightLoader<platform::EndpointProtocol>;

    void tick();
    void onChange();
    void onLeadership(bool isLeading);
    void updateRoutes();
    void createDuties();
    void logMemory();
    void watchDrain(TimePoint since);

    const config::NodeSettings m_settings;
    const Log m_log { "store" };
    const SystemClock m_clock {};
    metrics::Registry m_metrics;
    transport::PeerClient m_peerClient;
    transport::PeerServer m_peerServer;
    registry::StateMachine m_machine;
    registry::Liveness m_liveness;
    registry::ServiceGroup m_group;
    registry::LeaderService m_service;
    registry::UsageService m_usageService;
    registry::LeaderClient m_leader;
    registry::LocalService m_local;
    http1::ClientPool m_pool;
    Random m_random;
    gateway::Balancer m_balancer;
    gateway::CrashGuard m_guard;
    gateway::SendLimiter m_limiter;
    gateway::Forwarder<platform::EndpointProtocol> m_forwarder;
    Runner m_runner;
    execution::OrderWindow m_orderWindow;
    Loader m_loader;
    std::unique_ptr<execution::DutyClient> m_dutyClient; ///< Null if the settings name no platform. Shared by all duties.
    std::unique_ptr<UsageReporter> m_usageReporter; ///< Null unless usage is to be reported.
    std::unique_ptr<execution::Scaler> m_scaler; ///< Null if scaling is none of the duties.
    platform::ControlApi m_control;
    std::shared_ptr<http1::BodyBudget> m_bodyBudget; ///< Shared by all servers of this node.
    BodyBudgetMonitor m_bodyMonitor;
    http1::Server m_controlServer;
    http1::Server m_metricsServer;
    asio::steady_timer m_tickTimer;
    asio::steady_timer m_drainTimer;
    std::uint64_t m_routesVersion = 0;
    TimePoint m_nextMemoryLog {};
    std::function<void()> m_onDrained;
};

}
