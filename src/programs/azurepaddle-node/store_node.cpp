#include "store_node.hpp"

#include "http_options.hpp"
#include "metrics_page.hpp"
#include "transport_options.hpp"

#include "azurepaddle/platform/configuration.hpp"
#include "azurepaddle/platform/duty_protocol.hpp"

#include <fstream>
#include <malloc.h>
#include <unistd.h>

namespace azurepaddle::node {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(25);
    constexpr Duration drainPoll = std::chrono::milliseconds(20);
    // Time within which the next leader is elected and the other nodes know its address.
    constexpr Duration handOverTime = std::chrono::milliseconds(800);

    constexpr Duration memoryLogInterval = std::chrono::seconds(1);

    /// Resident memory of the process, in bytes; 0 if it cannot be read.
    std::size_t residentBytes()
    {
        std::ifstream file("/proc/self/statm");
        std::size_t total = 0;
        std::size_t resident = 0;
        file >> total >> resident;
        return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    }

    // Several copies of a snapshot are in memory while it is encoded and written.
    constexpr std::uint64_t snapshotMemoryShare = 6;

    cluster::GroupOptions groupOptions(const config::NodeSettings& settings)
    {
        cluster::GroupOptions options;
        options.name = settings.node.name;
        options.address = settings.peerAddress();
        options.dataFolder = settings.node.dataFolder;
        options.raft.scratchFolder = settings.node.dataFolder;
        options.maxSnapshotBytes = settings.bounds.memory / snapshotMemoryShare;
        options.seeds = settings.seedPeers();
        options.mayBootstrap = settings.peer.isFirstStart;
        options.policy.targetVoters = 2 * settings.bounds.toleratedLosses + 1;
        return options;
    }

    registry::LeaderOptions leaderOptions(const config::NodeSettings& settings)
    {
        registry::LeaderOptions options;
        options.voters = 2 * settings.bounds.toleratedLosses + 1;
        options.jobLifetime = settings.bounds.resultLifetime;
        options.maxJobBytes = settings.bounds.maxJobBytes;
        return options;
    }

}

StoreNode::StoreNode(asio::io_context& io, config::NodeSettings settings)
    : m_settings(std::move(settings))
    , m_peerClient(peerClientOptions(m_settings))
    , m_peerServer(peerServerOptions(m_settings))
    , m_machine(m_settings.node.dataFolder)
    , m_group(io, groupOptions(m_settings), m_machine, m_peerClient)
    , m_service(io, m_group, m_machine, m_liveness, leaderOptions(m_settings))
    , m_usageService(io, m_group, m_machine)
    , m_leader(io, m_peerClient)
    , m_local(io, m_group, m_machine, m_leader, DataCentreName(m_settings.node.dataCentre))
    , m_pool(io, endpointMessageLimits())
    , m_random(std::random_device {}())
    , m_balancer(DataCentreName(m_settings.node.dataCentre))
    , m_guard(endpointProbe(io), m_metrics)
    , m_limiter(
          m_settings.node.name, [this](const registry::PermitRequest& request, TimePoint, const gateway::PermitCallback& onReply) { onReply(m_service.requestPermit(request), m_clock.now()); }, m_random)
    , m_forwarder(io, m_pool, m_balancer, m_guard, m_limiter, m_random, m_metrics, maxAnswerBytes(m_settings), m_settings.bounds.endpointBodies)
    , m_runner(io, m_pool, m_group, m_machine, m_liveness, m_forwarder, m_balancer, m_limiter, m_metrics)
    , m_orderWindow(m_group, m_machine, { m_settings.node.name, m_settings.bounds.orderLease })
    , m_loader(io, m_pool, m_group, m_machine, m_liveness, m_runner, m_metrics, m_orderWindow)
    , m_control(m_local, m_leader, parseAddress(m_settings.listen.control).value_or(InstanceAddress {}).port)
    , m_bodyBudget(std::make_shared<http1::BodyBudget>(bodyBudgetLimits(m_settings)))
    , m_bodyMonitor(io, *m_bodyBudget, m_metrics)
    , m_controlServer(
          io, [this](const http1::ExchangePointer& exchange) { m_control.handle(exchange); }, {}, m_bodyBudget)
    , m_metricsServer(
          io, [this](const http1::ExchangePointer& exchange) { serveMetrics(exchange, m_metrics); }, {}, m_bodyBudget)
    , m_tickTimer(io)
    , m_drainTimer(io)
{
    observeInvalidAnswers(m_pool, m_metrics, m_log);
    m_forwarder.setOnLeaving([this](const registry::EndpointIncarnation& leave) { m_liveness.recordDraining(leave); });
    m_service.setOnChange([this] { onChange(); });
    m_runner.setOnResultsRecorded([this](const batch::JobId& job) { m_service.answerPendingReads(job); });
    m_group.setOnLeadershipChange([this](bool isLeading) { onLeadership(isLeading); });
    m_group.registerHandlers(m_peerServer);
    m_service.registerHandlers(m_peerServer);
    m_local.registerHandlers(m_peerServer);
    m_usageService.registerHandlers(m_peerServer);
    createDuties();
    auto members = m_settings.seedPeers();
    members.push_back(m_settings.peerAddress());
    m_leader.setMembers(std::move(members));
}

void StoreNode::createDuties()
{
    const config::NodeDutySettings& duties = m_settings.duties;
    const auto address = parseAddress(duties.address);
    if (!address)
        return;
    m_dutyClient = std::make_unique<execution::DutyClient>(m_pool, m_orderWindow, execution::DutyOptions { *address, duties.callsPerSecond }, m_metrics);
    if (duties.includes("usage"))
        m_usageReporter = std::make_unique<UsageReporter>(m_group, m_machine, *m_dutyClient, execution::UsageOptions { duties.usageWindow, duties.usageDelay / 2 }, m_metrics);
    if (duties.includes("scale")) {
        execution::ScalerSources sources { [this] { return m_runner.pendingItems(); }, platform::DutyProtocol::scaleRequest };
        m_scaler = std::make_unique<execution::Scaler>(m_group, m_machine, m_liveness, *m_dutyClient, std::move(sources), m_metrics);
    }
}

bool StoreNode::start()
{
    const auto client = m_peerClient.start();
    const auto server = m_peerServer.start();
    if (!client || !server) {
        m_log.error("{}", client ? server.error().message() : client.error().message());
        return false;
    }
    if (!listenOn(m_controlServer, m_settings.listen.control, m_log) || !listenOn(m_metricsServer, m_settings.listen.metrics, m_log))
        return false;
    m_log.info("start name={} identity={} control={}", m_settings.node.name, m_group.identity(), m_settings.listen.control);
    m_bodyMonitor.start();
    m_group.start();
    tick();
    return true;
}

void StoreNode::tick()
{
    // On a node that is not a participant, the reported leader may be older than the one that the leader client found.
    if (const auto leader = m_group.leaderAddress(); leader && m_group.isParticipant())
        m_leader.setLeader(leader);
    std::vector<InstanceAddress> members;
    for (const cluster::MemberIdentity& member : m_group.members())
        members.push_back(member.address);
    m_leader.setMembers(std::move(members));
    updateRoutes();
    logMemory();
    m_local.tick();
    m_service.tick();
    m_runner.tick();
    m_loader.tick();
    m_usageService.tick();
    if (m_usageReporter)
        m_usageReporter->tick();
    if (m_scaler)
        m_scaler->tick();
    m_orderWindow.tick();
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([this](std::error_code error) {
        if (!error)
            tick();
    });
}

void StoreNode::logMemory()
{
    const TimePoint now = m_clock.now();
    if (now < m_nextMemoryLog)
        return;
    m_nextMemoryLog = now + memoryLogInterval;
    malloc_trim(0);
    const auto status = m_group.status();
    const std::size_t resident = residentBytes();
    m_metrics.gauge("resident_bytes").set(static_cast<double>(resident));
    m_metrics.gauge("group_known_stores").set(static_cast<double>(m_group.contactCount(control::ContactRole::Store)));
    m_metrics.gauge("group_known_entries").set(static_cast<double>(m_group.contactCount(control::ContactRole::Entry)));
    m_metrics.gauge("job_bytes").set(static_cast<double>(m_machine.jobs().bytes()));
    m_log.info("memory resident={} job-bytes={} jobs={} log-first={} log-last={} commit={} leads={}", resident, m_machine.jobs().bytes(), m_machine.jobs().size(), status.snapshotIndex, status.lastIndex, status.commitIndex, m_group.isLeader());
}

void StoreNode::onChange()
{
    updateRoutes();
    m_runner.update();
    m_loader.tick();
}

void StoreNode::updateRoutes()
{
    const registry::ConfigurationDocument& document = m_machine.configuration();
    if (document.version == m_routesVersion)
        return;
    auto table = platform::decodeConfiguration(document.text);
    m_routesVersion = document.version;
    m_local.setServices(document.version, table ? gateway::forwardedServices(*table) : std::set<ServiceName>());
    if (!table) {
        m_log.error("configuration version={} cannot be read: {}", document.version, table.error());
        return;
    }
    const auto routes = std::make_shared<const gateway::RouteTable>(std::move(*table));
    m_runner.setRoutes(routes);
    m_loader.setRoutes(routes);
    if (m_usageReporter)
        m_usageReporter->setRoutes(routes);
    if (m_scaler)
        m_scaler->setRoutes(routes);
}

void StoreNode::onLeadership(bool isLeading)
{
    m_service.onLeadership(isLeading);
    m_runner.onLeadership(isLeading);
    m_orderWindow.onLeadership(isLeading);
    m_loader.onLeadership(isLeading);
    m_usageService.onLeadership();
    if (m_dutyClient)
        m_dutyClient->onLeadership();
    if (m_usageReporter)
        m_usageReporter->onLeadership(isLeading);
    if (m_scaler)
        m_scaler->onLeadership(isLeading);
}

void StoreNode::drain(std::function<void()> onDrained)
{
    if (m_onDrained)
        return;
    m_onDrained = std::move(onDrained);
    m_log.info("drain leads={}", m_group.isLeader());
    m_controlServer.beginDrain();
    m_group.relinquishLeadership();
    watchDrain(m_clock.now());
}

void StoreNode::watchDrain(TimePoint since)
{
    const bool isOver = m_clock.now() - since >= handOverTime;
    if (isOver && (m_controlServer.requestsInProgress() == 0 || m_clock.now() - since >= handOverTime * 2)) {
        m_log.info("stop leads={}", m_group.isLeader());
        return m_onDrained();
    }
    m_drainTimer.expires_after(drainPoll);
    m_drainTimer.async_wait([this, since](std::error_code error) {
        if (!error)
            watchDrain(since);
    });
}

void StoreNode::reload(const config::NodeSettings& settings)
{
    m_log.info("settings reloaded seeds={}", settings.peer.seeds.size());
    m_group.setSeeds(settings.seedPeers());
}

void StoreNode::stop()
{
    m_peerServer.stop();
    m_peerClient.stop();
}

}
