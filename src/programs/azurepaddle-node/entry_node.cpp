#include "entry_node.hpp"

#include "http_options.hpp"
#include "metrics_page.hpp"
#include "transport_options.hpp"

#include "azurepaddle/platform/configuration.hpp"

namespace azurepaddle::node {

namespace {

    constexpr Duration pollInterval = std::chrono::milliseconds(200);
    constexpr Duration pollTimeout = std::chrono::milliseconds(1200);
    // Without a leader for this long a node asks not to be chosen: others may still reach one.
    constexpr Duration contactLimit = std::chrono::seconds(4);
    constexpr Duration drainPoll = std::chrono::milliseconds(50);
    // The load balancer notices within this time that the node is not ready.
    constexpr Duration minimumDrain = std::chrono::milliseconds(2500);
    // Left for closing before the process is killed.
    constexpr Duration killMargin = std::chrono::milliseconds(1200);

    http1::ServerLimits smallServer()
    {
        http1::ServerLimits limits;
        limits.maxConnections = 64;
        return limits;
    }

}

EntryNode::EntryNode(asio::io_context& io, config::NodeSettings settings)
    : m_settings(std::move(settings))
    , m_random(std::random_device {}())
    , m_peerClient(peerClientOptions(m_settings))
    , m_leader(io, m_peerClient)
    , m_pool(io, endpointMessageLimits())
    , m_balancer(DataCentreName(m_settings.node.dataCentre))
    , m_forwarder(io, m_pool, m_balancer, m_random, m_metrics, maxAnswerBytes(m_settings))
    , m_callers(m_forwarder, m_leader)
    , m_callerServer(io, [this](const http1::ExchangePointer& exchange) { m_callers.handle(exchange); })
    , m_readyServer(
          io, [this](const http1::ExchangePointer& exchange) { answerReady(exchange); }, smallServer())
    , m_metricsServer(
          io, [this](const http1::ExchangePointer& exchange) { serveMetrics(exchange, m_metrics); }, smallServer())
    , m_pollTimer(io)
    , m_drainTimer(io)
{
    m_leader.setMembers(m_settings.seedPeers());
    m_forwarder.setOnLeaving([this](const registry::EndpointLeave& leave) { m_known.leaving.push_back(leave); });
}

bool EntryNode::start()
{
    const auto peers = m_peerClient.start();
    if (!peers)
        m_log.error("{}", peers.error().message());
    if (!peers || !listenOn(m_callerServer, m_settings.listen.callers, m_log) || !listenOn(m_readyServer, m_settings.listen.ready, m_log) || !listenOn(m_metricsServer, m_settings.listen.metrics, m_log))
        return false;
    m_log.info("start name={} data-centre={} callers={}", m_settings.node.name, m_settings.node.dataCentre, m_settings.listen.callers);
    poll();
    return true;
}

void EntryNode::poll()
{
    m_leader.send(m_known, m_clock.now() + pollTimeout, [this, told = m_known.leaving.size()](const registry::LeaderResult<registry::PollReply>& result) {
        onPoll(result, told);
        m_pollTimer.expires_after(pollInterval);
        m_pollTimer.async_wait([this](std::error_code error) {
            if (!error)
                poll();
        });
    });
}

/// Takes over what the leader says. It knows the first so many of the endpoints that leave.
void EntryNode::onPoll(const registry::LeaderResult<registry::PollReply>& result, std::size_t told)
{
    const TimePoint now = m_clock.now();
    if (!result) {
        if (std::exchange(m_isInContact, false))
            m_log.warning("dependency=leader state=lost configuration={}", m_known.configurationVersion);
        return;
    }
    m_lastContact = now;
    m_known.leaving.erase(m_known.leaving.begin(), m_known.leaving.begin() + static_cast<std::ptrdiff_t>(told));
    if (!std::exchange(m_isInContact, true))
        m_log.info("dependency=leader state=found address={}", m_leader.leader() ? formatAddress(*m_leader.leader()) : std::string());
    std::vector<InstanceAddress> members;
    for (const std::string& member : result->members) {
        if (const auto address = parseAddress(member))
            members.push_back(*address);
    }
    m_leader.setMembers(std::move(members));
    takeConfiguration(*result);
    if (result->hasEndpoints) {
        m_known.directoryTerm = result->directoryTerm;
        m_known.directoryRevision = result->directoryRevision;
        m_balancer.setEndpoints(result->endpoints);
        m_log.debug("endpoints={} revision={}", result->endpoints.size(), result->directoryRevision);
    }
}

void EntryNode::takeConfiguration(const registry::PollReply& reply)
{
    if (reply.configuration.empty() || reply.configurationVersion <= m_known.configurationVersion)
        return;
    auto table = platform::decodeConfiguration(reply.configuration);
    if (!table) {
        m_log.error("configuration version={} cannot be read: {}", reply.configurationVersion, table.error());
        return;
    }
    m_log.info("configuration version={} before={} routes={}", reply.configurationVersion, m_known.configurationVersion, table->routes().size());
    http1::ServerLimits limits = table->limits();
    limits.maxConnections = m_settings.bounds.maxConnections;
    m_callerServer.setLimits(limits);
    m_callers.setRoutes(std::make_shared<const gateway::RouteTable>(std::move(*table)));
    m_known.configurationVersion = reply.configurationVersion;
    m_hasConfiguration = true;
}

bool EntryNode::isReady() const
{
    return m_hasConfiguration && !m_isDraining && m_clock.now() - m_lastContact < contactLimit;
}

void EntryNode::answerReady(const http1::ExchangePointer& exchange) const
{
    exchange->respond({ isReady() ? 200U : 503U, {}, {}, isReady() ? "ready\n" : "not ready\n" });
}

void EntryNode::drain(std::function<void()> onDrained)
{
    if (std::exchange(m_isDraining, true))
        return;
    m_log.info("drain connections={} requests={}", m_callerServer.connections(), m_callerServer.requestsInProgress());
    m_onDrained = std::move(onDrained);
    m_drainSince = m_clock.now();
    m_callerServer.beginDrain();
    watchDrain();
}

/// Ends once nobody can be cut off, or shortly before the process is killed.
void EntryNode::watchDrain()
{
    const Duration waited = m_clock.now() - m_drainSince;
    const Duration longest = m_settings.bounds.stopTimeout - killMargin;
    const bool isLate = waited >= longest;
    if (isLate)
        m_callerServer.closeIdle();
    const bool isEmpty = m_callerServer.connections() == 0 || (isLate && m_callerServer.requestsInProgress() == 0);
    if ((waited >= minimumDrain && isEmpty) || waited >= longest + killMargin / 2) {
        m_log.info("stop connections={} waited-ms={}", m_callerServer.connections(), std::chrono::duration_cast<std::chrono::milliseconds>(waited).count());
        return m_onDrained();
    }
    m_drainTimer.expires_after(drainPoll);
    m_drainTimer.async_wait([this](std::error_code error) {
        if (!error)
            watchDrain();
    });
}

void EntryNode::reload(const config::NodeSettings& settings)
{
    m_log.info("settings reloaded seeds={}", settings.peer.seeds.size());
    if (!m_isInContact)
        m_leader.setMembers(settings.seedPeers());
}

void EntryNode::stop()
{
    m_peerClient.stop();
}

}
