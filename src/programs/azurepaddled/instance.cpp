#include "instance.hpp"

#include "azurepaddle/core/digest.hpp"
#include "azurepaddle/http/caller_routes.hpp"
#include "azurepaddle/http/endpoint_routes.hpp"
#include "azurepaddle/http/operator_routes.hpp"
#include "azurepaddle/http/trainer_routes.hpp"

#include <fstream>
#include <sstream>

namespace azurepaddle::daemon {

namespace {

    constexpr Duration routerInterval = std::chrono::milliseconds(50);
    constexpr Duration refreshInterval = std::chrono::milliseconds(100);
    constexpr Duration configurationInterval = std::chrono::milliseconds(250);
    constexpr Duration demandInterval = std::chrono::seconds(1);
    constexpr Duration deadInterval = std::chrono::milliseconds(500);
    constexpr Duration controlDeadline = std::chrono::seconds(2);
    constexpr Duration runInterval = std::chrono::milliseconds(20);
    constexpr Duration weightInterval = std::chrono::milliseconds(100);
    constexpr Duration drainPoll = std::chrono::milliseconds(50);
    constexpr Duration drainNotice = std::chrono::milliseconds(300);
    constexpr std::size_t seedDigits = 15;

    std::uint64_t randomSeed()
    {
        return std::stoull(randomHex(sizeof(std::uint64_t)).substr(0, seedDigits), nullptr, 16);
    }

    std::map<std::string, InstanceAddress> addressesOf(const config::Settings& settings, const std::vector<std::string>* names)
    {
        std::map<std::string, InstanceAddress> addresses;
        for (const auto& seed : settings.seeds()) {
            if (!names || std::find(names->begin(), names->end(), seed.name) != names->end())
                addresses.emplace(seed.name, InstanceAddress { seed.address, seed.port });
        }
        return addresses;
    }

    std::optional<transport::TlsIdentity> tlsOf(const config::PeerSettings& peer)
    {
        if (peer.tlsCertificate.empty())
            return std::nullopt;
        auto identity = transport::loadTlsIdentity(peer.tlsCertificate, peer.tlsKey, peer.tlsAuthority);
        if (!identity)
            throw std::runtime_error(identity.error().message());
        return std::move(*identity);
    }

    transport::ClientOptions clientOptions(const config::Settings& settings)
    {
        transport::ClientOptions options;
        options.secret = settings.peer().secret;
        options.tls = tlsOf(settings.peer());
        options.maxMessageBytes = settings.peer().maxMessageBytes;
        options.pingDeadline = settings.timing().peerPing;
        options.pingInterval = settings.timing().peerPing;
        return options;
    }

    transport::ServerOptions serverOptions(const config::Settings& settings)
    {
        transport::ServerOptions options;
        options.listen = { settings.peer().address, static_cast<std::uint16_t>(settings.peer().port) };
        options.secret = settings.peer().secret;
        options.tls = tlsOf(settings.peer());
        options.maxMessageBytes = settings.peer().maxMessageBytes;
        return options;
    }

    control::GroupOptions groupOptions(const config::Settings& settings)
    {
        control::GroupOptions options;
        options.name = settings.instance().name;
        options.dataFolder = settings.instance().dataFolder;
        options.voters = settings.peer().voters;
        options.peers = addressesOf(settings, nullptr);
        options.raft.electionTimeout = settings.timing().raftElection;
        options.raft.heartbeatInterval = settings.timing().raftHeartbeat;
        return options;
    }

    membership::DirectoryOptions directoryOptions(const config::Settings& settings)
    {
        membership::DirectoryOptions options;
        options.self = InstanceId(settings.instance().name);
        options.dataCentre = DataCentreName(settings.instance().dataCentre);
        options.lease = settings.timing().endpointLease;
        options.candidateLimit = settings.limits().maxCandidates;
        options.maxEndpoints = settings.limits().maxEndpoints;
        return options;
    }

    pipeline::ExchangeOptions exchangeOptions(const config::Settings& settings, std::uint64_t incarnation)
    {
        pipeline::ExchangeOptions options;
        options.self.name = InstanceId(settings.instance().name);
        options.self.incarnation = incarnation;
        options.self.dataCentre = DataCentreName(settings.instance().dataCentre);
        options.self.roles = settings.instance().roles;
        options.self.httpAddress = fmt::format("{}:{}", settings.http().address, settings.http().port);
        options.peers = addressesOf(settings, nullptr);
        options.peers.erase(settings.instance().name);
        return options;
    }

    pipeline::ConnectorOptions connectorOptions(const config::Settings& settings)
    {
        pipeline::ConnectorOptions options;
        options.connectTimeout = settings.http().connectTimeout;
        options.maxAnswerBytes = settings.limits().maxResponseBytes;
        return options;
    }

    std::unique_ptr<control::ControlGroup> makeGroup(const config::Settings& settings, transport::PeerClient& client)
    {
        if (settings.instance().dataFolder.empty() || !settings.hasRole("control"))
            return nullptr;
        return std::make_unique<control::ControlGroup>(groupOptions(settings), client);
    }

    /// The ledger's record of a run.
    pipeline::PipelineResult<control::RunRecord> readRun(control::ControlClient& client, const RunName& run, TimePoint deadline)
    {
        auto answer = client.read(control::RunQuery { run }, deadline);
        if (!answer)
            return tl::unexpected(pipeline::toPipelineError(answer.error()));
        auto* found = std::get_if<control::RunAnswer>(&*answer);
        if (!found || !found->exists)
            return pipeline::refuse(pipeline::PipelineErrorCode::NotFound, fmt::format("the ledger does not know run {}", run));
        return std::move(found->record);
    }

    weights::SenderSettings orderSettings(const config::Settings& settings)
    {
        weights::SenderSettings sender;
        sender.leaseDuration = settings.timing().orderLease;
        sender.renewInterval = settings.timing().orderLease / 3;
        sender.leaseMargin = settings.timing().orderLease / 10;
        sender.orderDeadline = settings.timing().orderDeadline;
        return sender;
    }

    pipeline::ControlPort makePort(control::ControlClient& client, control::Holder self, std::function<void(std::function<void()>)> defer)
    {
        return { [&client](control::ControlAction action, TimePoint deadline) -> pipeline::PipelineResult<control::ControlReply> {
                    auto reply = client.submit(std::move(action), deadline);
                    if (!reply)
                        return tl::unexpected(pipeline::toPipelineError(reply.error()));
                    return std::move(*reply);
                },
            std::move(self), std::move(defer) };
    }

}

/// The parts of an instance in the order of their dependencies; they are destroyed in the reverse order.
struct Instance::Parts {
    explicit Parts(const config::Settings& settings)
        : incarnation(static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count()))
        , self { InstanceId(settings.instance().name), incarnation }
        , random(randomSeed())
        , client(clientOptions(settings))
        , server(serverOptions(settings))
        , group(makeGroup(settings, client))
        , control(settings.instance().name, addressesOf(settings, &settings.peer().voters), client, group.get())
        , port(makePort(control, self, [this](const std::function<void()>& task) {
            // Without a free thread the task runs here: it must not be dropped.
            if (!sampling.run(task))
                task();
        }))
        , directory(directoryOptions(settings), clock, random)
        , router(clock, Random(randomSeed()), DataCentreName(settings.instance().dataCentre))
        , admission(clock)
        , dispatcher(clock, admission, router, limiter, directory)
        , configurations(control, holder, suspects, [this](const config::Configuration& configuration) { onConfiguration(configuration); })
        , exchange(exchangeOptions(settings, incarnation), clock, directory, suspects, holder, client)
        , suspicion(port, suspects, [this](const routing::Fingerprint& fingerprint) { exchange.announceSuspect(fingerprint); })
        , connector(connectorOptions(settings))
        , sender({ clock, dispatcher, router, limiter, retries, connector, suspicion, metrics })
        , identify(clock)
        , claims(port)
        , background(settings.http().upstreamThreads)
        , sampling(settings.http().upstreamThreads)
        , callers({ clock, identify, claims, admission, dispatcher, sender, metrics, [this](std::function<void()> task) { return background.run(std::move(task)); }, settings.http().streamQueue })
        , endpoints(directory, router, dispatcher)
        , runs(runParts(settings), settings.instance().name, addressesOf(settings, nullptr), client)
        , weights({ clock, holder, directory, connector, control, port, sampling, settings.secrets().endpoint, orderSettings(settings) })
        , http(settings.http())
    {
    }

    [[nodiscard]] pipeline::RunDependencies runParts(const config::Settings& settings)
    {
        return { clock, holder, callers, sender, directory, sampling, metrics, port,
            [this](const RunName& run, TimePoint deadline) { return readRun(control, run, deadline); }, settings.timing().runLease,
            settings.limits().maxSampleBytes };
    }

    void onConfiguration(const config::Configuration& configuration)
    {
        for (const auto& [name, tenant] : configuration.tenants())
            admission.setPolicy(name, { tenant.weight, tenant.maxQueuedRequests, tenant.maxQueuedBytes });
    }

    [[nodiscard]] std::vector<ServiceName> services() const
    {
        std::vector<ServiceName> names;
        if (const auto configuration = holder.current()) {
            for (const auto& [name, service] : configuration->services())
                names.push_back(name);
        }
        return names;
    }

    const SystemClock clock {};
    const std::uint64_t incarnation;
    const control::Holder self;
    Random random;
    metrics::Registry metrics;
    transport::PeerClient client;
    transport::PeerServer server;
    std::unique_ptr<control::ControlGroup> group;
    control::ControlClient control;
    const pipeline::ControlPort port;
    pipeline::LiveDirectory directory;
    pipeline::LiveRouter router;
    pipeline::LiveAdmission admission;
    admission::ConcurrencyLimiter limiter;
    admission::RetryBudget retries;
    routing::SuspectTracker suspects;
    pipeline::Dispatcher dispatcher;
    pipeline::ConfigurationHolder holder;
    pipeline::ConfigurationService configurations;
    pipeline::PeerExchange exchange;
    const pipeline::SuspectRequestGuard suspicion;
    const pipeline::Connector connector;
    const pipeline::Sender sender;
    const pipeline::RequestValidator identify;
    const pipeline::IdempotencyClaims claims;
    pipeline::BackgroundPool background; ///< Streams of callers.
    pipeline::BackgroundPool sampling; ///< Samples of runs, scorings, leases and orders.
    pipeline::CallerService callers;
    pipeline::EndpointService endpoints;
    pipeline::RunService runs;
    pipeline::WeightService weights;
    http::HttpServer http;
};

Instance::Instance(config::Settings settings)
    : m_settings(std::move(settings))
    , m_parts(std::make_unique<Parts>(m_settings))
    , m_shares(InstanceId(m_settings.instance().name))
{
    addRoutes();
}

Instance::~Instance()
{
    drainAndStop();
}

bool Instance::start()
{
    Parts& parts = *m_parts;
    if (parts.group)
        parts.group->registerHandlers(parts.server);
    parts.exchange.registerHandlers(parts.server);
    parts.runs.registerHandlers(parts.server);
    parts.server.handle("drain", [this](const transport::PeerRequest&) -> transport::PeerReply { return beginDrain() ? std::string("draining") : std::string("already-draining"); });
    for (const auto& started : { parts.server.start(), parts.client.start() }) {
        if (!started) {
            m_log.error("{}", started.error().message());
            return false;
        }
    }
    if (parts.group)
        parts.group->start();
    if (!parts.http.start())
        return false;
    runPeriodically("router", routerInterval, [&parts] { static_cast<void>(parts.router.tick()); });
    runPeriodically("endpoints", refreshInterval, [&parts] {
        static_cast<void>(parts.directory.expire());
        parts.endpoints.refresh(parts.services());
    });
    runPeriodically("exchange", m_settings.timing().gossipInterval, [this, &parts] {
        parts.exchange.setStatus(isReady(), m_isDraining);
        parts.exchange.pull();
    });
    runPeriodically("configuration", configurationInterval, [&parts] { static_cast<void>(parts.configurations.refresh(parts.clock.now() + controlDeadline)); });
    runPeriodically("runs", runInterval, [&parts] { parts.runs.tick(); });
    if (m_settings.hasRole("control"))
        runPeriodically("weights", weightInterval, [&parts] { parts.weights.tick(); });
    runPeriodically("demands", demandInterval, [this] { exchangeDemands(); });
    runPeriodically("dead instances", deadInterval, [this] { reportDead(); });
    m_log.info("{} listens on {}:{} (HTTP) and {}:{} (peers)", m_settings.instance().name, m_settings.http().address, m_settings.http().port, m_settings.peer().address, m_settings.peer().port);
    return true;
}

void Instance::drainAndStop()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopping)
            return;
    }
    Parts& parts = *m_parts;
    static_cast<void>(beginDrain());
    std::this_thread::sleep_for(drainNotice);
    const TimePoint deadline = parts.clock.now() + m_settings.instance().drainTimeout;
    while (parts.callers.inProgress() + parts.runs.inProgress() > 0 && parts.clock.now() < deadline)
        std::this_thread::sleep_for(drainPoll);
    parts.runs.releaseRuns();
    if (parts.callers.inProgress() > 0)
        m_log.warning("{} requests are still in progress after the drain timeout", parts.callers.inProgress());
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
        m_stopped.notify_all();
    }
    for (auto& thread : m_threads)
        thread.join();
    parts.http.stop();
    if (parts.group)
        parts.group->stop();
    parts.server.stop();
    parts.client.stop();
    m_log.info("stopped");
}

bool Instance::beginDrain()
{
    if (m_isDraining.exchange(true))
        return false;
    m_log.info("draining: new requests are refused");
    m_parts->http.drain();
    m_parts->exchange.setStatus(false, true);
    m_parts->exchange.pull();
    return true;
}

void Instance::runPeriodically(const std::string& name, Duration interval, std::function<void()> task)
{
    m_threads.emplace_back([this, name, interval, task = std::move(task)] {
        std::unique_lock lock(m_mutex);
        while (!m_stopped.wait_for(lock, interval, [&] { return m_isStopping; })) {
            lock.unlock();
            try {
                task();
            } catch (const std::exception& exception) {
                m_log.error("{}: {}", name, exception.what());
            }
            lock.lock();
        }
    });
}

bool Instance::isReady() const
{
    return !m_isDraining && m_parts->holder.isConfirmed(m_parts->clock.now(), m_settings.timing().configurationConfirm);
}

void Instance::exchangeDemands()
{
    Parts& parts = *m_parts;
    m_shares.exchange(parts.services(), parts.admission, parts.router, parts.exchange);
}

void Instance::reportDead()
{
    Parts& parts = *m_parts;
    for (const auto& dead : parts.exchange.takeEndedIncarnations()) {
        const control::ReportDead report { dead.name, dead.incarnation };
        if (!parts.control.submit(report, parts.clock.now() + controlDeadline))
            m_log.warning("the death of {} could not be recorded", dead.name);
    }
}

void Instance::addRoutes()
{
    Parts& parts = *m_parts;
    http::addCallerRoutes(parts.http, parts.callers, parts.holder);
    http::addEndpointRoutes(parts.http, parts.endpoints, m_settings.secrets().endpoint);
    http::addTrainerRoutes(parts.http, parts.runs);
    http::addOperatorRoutes(parts.http, operatorParts(), m_settings.secrets().operators);
}

http::OperatorParts Instance::operatorParts()
{
    Parts& parts = *m_parts;
    return { m_settings.instance().name, parts.configurations, parts.holder, parts.directory, parts.exchange, parts.control, parts.group.get(), parts.metrics, parts.router, parts.dispatcher, parts.callers, parts.runs, parts.weights,
        [this] { return isReady(); }, [this](const std::string& name) { return drainInstance(name); } };
}

std::string Instance::drainInstance(const std::string& name)
{
    Parts& parts = *m_parts;
    if (name == m_settings.instance().name)
        return beginDrain() ? "draining" : "already-draining";
    const auto peers = addressesOf(m_settings, nullptr);
    const auto peer = peers.find(name);
    if (peer == peers.end())
        return {};
    const auto answer = parts.client.call(peer->second, "drain", {}, parts.clock.now() + controlDeadline);
    return answer ? *answer : std::string();
}

}
