#include "entry_node.hpp"

#include "http_options.hpp"
#include "metrics_page.hpp"
#include "transport_options.hpp"

#include "azurepaddle/platform/configuration.hpp"

#include <algorithm>

namespace azurepaddle::node {

namespace {

    // Longer than a store node holds a poll without changes.
    constexpr Duration pollTimeout = std::chrono::milliseconds(1500);
    // Changes that follow each other within this time are sent in one reply.
    constexpr Duration pollPause = std::chrono::milliseconds(60);
    constexpr Duration pollRetryDelay = std::chrono::milliseconds(100);
    constexpr Duration drainingReportTimeout = std::chrono::milliseconds(2000);
    // A node whose state may be older than this reports that it is not ready: others may still reach a store node.
    constexpr Duration maxReadyAge = std::chrono::seconds(4);
    // Interval of the log lines of an entry while no store node answers.
    constexpr Duration missingStoreLogInterval = std::chrono::seconds(2);
    // Minimum time between two log lines about replies from older states.
    constexpr Duration olderReplyLogInterval = std::chrono::milliseconds(100);
    // After this time without an answer the seeds are polled again, because all known members may have been replaced.
    constexpr Duration seedFallbackDelay = std::chrono::seconds(2);
    constexpr Duration drainPoll = std::chrono::milliseconds(50);
    // A load balancer detects within this time that the node is not ready.
    constexpr Duration minimumDrain = std::chrono::milliseconds(2500);
    // Time for closing connections before the process is killed.
    constexpr Duration killMargin = std::chrono::milliseconds(1200);
    // A request that has no answer after this time counts as usage, so that its report arrives before its window is sealed.
    constexpr Duration maxUncountedTime = std::chrono::seconds(2);
    // Time for sending the last answers before the process ends.
    constexpr Duration answerMargin = std::chrono::milliseconds(200);

    /// A name for this start of the node.
    std::string processName(const config::NodeSettings& settings, Random& random)
    {
        return settings.node.name + "/" + std::to_string(random.next());
    }

    http1::ServerLimits readinessServerLimits()
    {
        http1::ServerLimits limits;
        limits.maxConnections = 64;
        return limits;
    }

}

EntryNode::EntryNode(asio::io_context& io, config::NodeSettings settings)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_seeds(m_settings.seedPeers())
    , m_random(std::random_device {}())
    , m_peerClient(entryClientOptions(m_settings))
    , m_peerServer(entryServerOptions(m_settings))
    , m_leader(io, m_peerClient)
    , m_reporter(io, m_leader)
    , m_streamRecorder(io, m_leader)
    , m_directoryProgress(io)
    , m_usageCounter(processName(m_settings, m_random), m_settings.duties.usageWindow)
    , m_usageSender(io, m_leader, m_usageCounter, [this](registry::UsageWindow newest) { m_usageCounter.onSealed(newest); })
    , m_stores(DataCentreName(m_settings.node.dataCentre), static_cast<std::size_t>(m_random.next()))
    , m_stateAge(m_settings.bounds.configurationDelay)
    , m_pool(io, endpointMessageLimits())
    , m_balancer(DataCentreName(m_settings.node.dataCentre))
    , m_links(io, endpointProbe(io), m_balancer, m_metrics)
    , m_crashProbe(io, endpointProbe(io), m_links, m_balancer)
    , m_guard([this](const InstanceAddress& address, const http1::ProbeCallback& onOutcome) { m_crashProbe.probe(address, onOutcome); }, m_metrics)
    , m_limiter(
          m_settings.node.name, [this](const registry::PermitRequest& request, TimePoint deadline, const gateway::PermitCallback& onReply) { requestPermit(request, deadline, onReply); }, m_random)
    , m_localForwarder(io, m_pool, m_balancer, m_guard, m_limiter, m_random, m_metrics, maxAnswerBytes(m_settings), m_settings.bounds.endpointBodies)
    , m_relayServer(
          io, m_localForwarder, m_directoryProgress, [this] { return takesRequestsOfOthers(); }, m_metrics)
    , m_entryFinder(m_peerClient, m_leader, io, formatAddress(m_settings.peerAddress()))
    , m_relayPeers(DataCentreName(m_settings.node.dataCentre), m_random)
    , m_forwarder(io, m_localForwarder, m_links, m_relayPeers, m_entryFinder, m_peerClient, formatAddress(m_settings.peerAddress()), m_metrics, maxReceivedBytes(m_settings))
    , m_streams(m_forwarder, m_balancer, m_streamRecorder, m_directoryProgress, m_metrics)
    , m_callers(m_forwarder, m_streams, m_leader, m_stateAge, m_metrics)
    , m_bodyBudget(std::make_shared<http1::BodyBudget>(bodyBudgetLimits(m_settings)))
    , m_bodyMonitor(io, *m_bodyBudget, m_metrics)
    , m_callerServer(
          io, [this](const http1::ExchangePointer& exchange) { m_callers.handle(exchange); }, {}, m_bodyBudget)
    , m_readyServer(
          io, [this](const http1::ExchangePointer& exchange) { answerReady(exchange); }, readinessServerLimits(), m_bodyBudget)
    , m_metricsServer(
          io, [this](const http1::ExchangePointer& exchange) { serveMetrics(exchange, m_metrics); }, readinessServerLimits(), m_bodyBudget)
    , m_pollTimer(io)
    , m_drainTimer(io)
{
    m_leader.setMembers(m_seeds);
    m_stores.setMembers(m_seeds);
    m_guard.setOnReport([this](const registry::SuspectsRequest& report) { m_reporter.add(report); });
    m_pool.setLinkObserver([this](bool isReachable) { isReachable ? m_links.recordContact() : m_links.recordFailure(); });
    observeInvalidAnswers(m_pool, m_metrics, m_log);
    m_links.setOnChange([this](gateway::LinkState state) {
        if (state == gateway::LinkState::Cut)
            m_forwarder.onLinksCut();
    });
    m_entryFinder.setOnFound([this](const std::vector<registry::EntryStatus>& entries) { m_relayPeers.add(entries, m_clock.now()); });
    m_relayServer.registerHandlers(m_peerServer);
    registerAnnouncements();
    if (m_settings.duties.includes("usage")) {
        m_localForwarder.setOnRun([this](const WorkspaceName& workspace, TimePoint beganAt) { m_usageCounter.add(workspace, beganAt); });
        m_usageSender.setOnReport([this] { m_localForwarder.recordUnanswered(m_clock.now() - maxUncountedTime); });
    }
    m_localForwarder.setOnLeaving([this](const registry::EndpointIncarnation& leave) { reportDraining(leave); });
}

/// Store nodes name the participants of the group to entries that poll none of them.
void EntryNode::registerAnnouncements()
{
    m_peerServer.handleDeferred(std::string(control::Announcement::method), [this](transport::PeerRequest request, transport::PeerResponder respond) {
        asio::post(m_io, [this, body = std::move(request.body), respond = std::move(respond)] {
            if (const auto announcement = codec::decode<control::Announcement>(body))
                onAnnouncement(*announcement);
            respond(codec::encode(control::AnnouncementReply { m_isInContact }));
        });
    });
}

/// Polls the named store nodes too while none of the known ones answers.
void EntryNode::onAnnouncement(const control::Announcement& announcement)
{
    if (m_isInContact)
        return;
    m_log.info("dependency=store state=announced members={}", announcement.members.size());
    for (const std::string& member : announcement.members) {
        if (const auto address = parseAddress(member))
            m_stores.add(*address);
    }
}

bool EntryNode::start()
{
    const auto client = m_peerClient.start();
    const auto server = m_peerServer.start();
    if (!client || !server)
        m_log.error("{}", client ? server.error().message() : client.error().message());
    if (!client || !server || !listenOn(m_callerServer, m_settings.listen.callers, m_log) || !listenOn(m_readyServer, m_settings.listen.ready, m_log) || !listenOn(m_metricsServer, m_settings.listen.metrics, m_log))
        return false;
    m_log.info("start name={} data-centre={} callers={}", m_settings.node.name, m_settings.node.dataCentre, m_settings.listen.callers);
    m_bodyMonitor.start();
    poll();
    if (m_settings.duties.includes("usage"))
        m_usageSender.start();
    return true;
}

void EntryNode::pollAfter(Duration delay)
{
    m_pollTimer.expires_after(delay);
    m_pollTimer.async_wait([this](std::error_code error) {
        if (!error)
            poll();
    });
}

registry::EntryStatus EntryNode::status() const
{
    return { formatAddress(m_settings.peerAddress()), DataCentreName(m_settings.node.dataCentre), takesRequestsOfOthers() };
}

void EntryNode::poll()
{
    const TimePoint now = m_clock.now();
    m_received.entry = status();
    const auto store = m_stores.choose(now);
    if (!store)
        return pollAfter(pollRetryDelay);
    m_peerClient.send(*store, std::string(registry::PollRequest::method), codec::encode(m_received), now + pollTimeout, [this, store = *store, sentAt = now](transport::CallResult result) {
        asio::post(m_io, [this, store, sentAt, result = std::move(result)] {
            const auto answer = result ? registry::decodeReplyOrRedirect<registry::PollReply>(*result) : registry::ReplyOrRedirect<registry::PollReply>();
            if (answer.redirect)
                m_stores.add(*answer.redirect);
            if (!answer.reply)
                return onPollFailed(store, answer.redirect);
            onPoll(store, sentAt, *answer.reply);
        });
    });
}

void EntryNode::onPoll(const InstanceAddress& store, TimePoint sentAt, const registry::PollReply& reply)
{
    m_lastContact = m_clock.now();
    m_stateAge.recordReply(sentAt, reply, m_received.configurationVersion);
    logOlderReply(store, sentAt, reply);
    m_stores.recordSuccess(store, reply.dataCentre);
    m_metrics.gauge("entry_has_store").set(1);
    if (!std::exchange(m_isInContact, true))
        m_log.info("dependency=store state=found address={} data-centre={} failed-polls=\"{}\"", formatAddress(store), reply.dataCentre, m_failedPolls.takeSummary());
    updateMembers(reply);
    updateConfiguration(reply);
    updateEndpoints(reply);
    updateSuspects(reply);
    pollAfter(pollPause);
}

/// Logs and counts replies of store nodes whose configuration is older than the one that this node has received.
void EntryNode::logOlderReply(const InstanceAddress& store, TimePoint sentAt, const registry::PollReply& reply)
{
    if (reply.configurationVersion >= m_received.configurationVersion)
        return;
    m_metrics.counter("entry_older_replies_total").add();
    const TimePoint now = m_clock.now();
    if (now < m_nextOlderReplyLog)
        return;
    m_nextOlderReplyLog = now + olderReplyLogInterval;
    m_log.warning("dependency=store reply=older address={} configuration={} received={} round-trip-ms={} held-ms={} state-age-ms={} age-ms={}", formatAddress(store), reply.configurationVersion, m_received.configurationVersion, (now - sentAt) / std::chrono::milliseconds(1), reply.heldMs, reply.stateAgeMs, m_stateAge.age(now) / std::chrono::milliseconds(1));
}

/// Continues with the next store node. The one that was polled may have named another.
void EntryNode::onPollFailed(const InstanceAddress& asked, const std::optional<InstanceAddress>& named)
{
    const TimePoint now = m_clock.now();
    m_stores.recordFailure(asked, now);
    m_failedPolls.record(asked);
    m_metrics.gauge("entry_has_store").set(0);
    m_metrics.counter("entry_failed_polls_total").add();
    const bool wasInContact = std::exchange(m_isInContact, false);
    if (wasInContact || now >= m_nextMissingStoreLog) {
        m_nextMissingStoreLog = now + missingStoreLogInterval;
        m_log.warning("dependency=store state={} asked={} named={} configuration={} failed-polls=\"{}\"", wasInContact ? "lost" : "missing", formatAddress(asked), named ? formatAddress(*named) : std::string(), m_received.configurationVersion, m_failedPolls.takeSummary());
    }
    if (now - m_lastContact > seedFallbackDelay) {
        for (const InstanceAddress& seed : m_seeds)
            m_stores.add(seed);
    }
    pollAfter(pollRetryDelay);
}

void EntryNode::updateMembers(const registry::PollReply& reply)
{
    std::vector<InstanceAddress> members;
    for (const std::string& member : reply.members) {
        if (const auto address = parseAddress(member))
            members.push_back(*address);
    }
    m_stores.setMembers(members);
    m_leader.setMembers(std::move(members));
    if (!m_leader.leader())
        m_leader.setLeader(parseAddress(reply.leader));
}

void EntryNode::updateEndpoints(const registry::PollReply& reply)
{
    m_received.directoryRevision = reply.directoryRevision;
    if (reply.isFullUpdate)
        m_balancer.setEndpoints(reply.endpoints);
    else
        m_balancer.changeEndpoints(reply.endpoints, reply.removed);
    m_directoryProgress.advanceTo(reply.directoryRevision);
    if (reply.isFullUpdate || !reply.endpoints.empty() || !reply.removed.empty())
        m_log.debug("endpoints changed={} removed={} are-all={} revision={}", reply.endpoints.size(), reply.removed.size(), reply.isFullUpdate, reply.directoryRevision);
}

void EntryNode::updateSuspects(const registry::PollReply& reply)
{
    m_guard.expireLocalSuspects();
    if (!reply.areSuspectsChanged)
        return;
    m_received.suspectsRevision = reply.suspectsRevision;
    m_guard.setAgreedSuspects(reply.suspects, m_clock.now());
    const auto refused = std::count_if(reply.suspects.begin(), reply.suspects.end(), [](const registry::SuspectEntry& suspect) { return suspect.refusedForMs > 0; });
    m_metrics.gauge("gateway_refused_requests").set(static_cast<double>(refused));
    m_log.info("suspects={} refused={} revision={}", reply.suspects.size(), refused, reply.suspectsRevision);
}

/// Requests from the leader a permit for one request to an endpoint that names a limit.
void EntryNode::requestPermit(const registry::PermitRequest& request, TimePoint deadline, const gateway::PermitCallback& onReply)
{
    m_leader.send(request, deadline, [this, onReply](const registry::LeaderResult<registry::PermitReply>& reply) {
        onReply(reply ? std::optional(*reply) : std::nullopt, m_clock.now());
    });
}

/// Reports to the leader an endpoint whose answer announced that it leaves, so that other nodes stop sending to it.
void EntryNode::reportDraining(const registry::EndpointIncarnation& leave)
{
    m_leader.send(registry::DrainingReportRequest { { leave } }, m_clock.now() + drainingReportTimeout, [this, leave](const registry::LeaderResult<registry::Acknowledgement>& reply) {
        if (!reply)
            m_log.warning("endpoint id={} started={} is draining, and the report to the leader failed", leave.id, leave.startedMs);
    });
}

void EntryNode::updateConfiguration(const registry::PollReply& reply)
{
    if (reply.configuration.empty() || reply.configurationVersion <= m_received.configurationVersion)
        return;
    auto table = platform::decodeConfiguration(reply.configuration);
    if (!table) {
        m_log.error("configuration version={} cannot be read: {}", reply.configurationVersion, table.error());
        return;
    }
    m_log.info("configuration version={} before={} routes={}", reply.configurationVersion, m_received.configurationVersion, table->routes().size());
    http1::ServerLimits limits = table->limits();
    limits.maxConnections = m_settings.bounds.maxConnections;
    m_callerServer.setLimits(limits);
    const auto routes = std::make_shared<const gateway::RouteTable>(std::move(*table));
    m_callers.setRoutes(routes);
    m_relayServer.setRoutes(routes);
    m_received.configurationVersion = reply.configurationVersion;
    m_hasConfiguration = true;
}

bool EntryNode::isReady() const
{
    return m_hasConfiguration && !m_isDraining && m_stateAge.age(m_clock.now()) < maxReadyAge;
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
    const TimePoint end = m_drainSince + longestDrain() - answerMargin;
    m_callers.beginDrain({ end, std::min(m_drainSince + minimumDrain, end) });
    m_localForwarder.setLatestEnd(end);
    m_callerServer.beginDrain();
    watchDrain();
}

/// Time from the beginning of the drain until the process ends, whatever is in progress.
Duration EntryNode::longestDrain() const
{
    return m_settings.bounds.stopTimeout - killMargin / 2;
}

/// Completes the drain once no request can be cut off, or shortly before the process is killed.
void EntryNode::watchDrain()
{
    m_usageSender.flush();
    const Duration waited = m_clock.now() - m_drainSince;
    const bool isLate = waited >= longestDrain() - killMargin / 2;
    if (isLate)
        m_callerServer.closeIdle();
    const bool isEmpty = (m_callerServer.connections() == 0 && m_relayServer.inProgress() == 0) || (isLate && m_callerServer.requestsInProgress() == 0);
    if ((waited >= minimumDrain && isEmpty && !m_usageSender.hasUnconfirmed()) || waited >= longestDrain()) {
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
    m_seeds = settings.seedPeers();
    if (m_isInContact)
        return;
    m_stores.setMembers(m_seeds);
    m_leader.setMembers(m_seeds);
}

void EntryNode::stop()
{
    m_peerServer.stop();
    m_peerClient.stop();
}

}
