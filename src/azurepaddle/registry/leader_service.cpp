#include "azurepaddle/registry/leader_service.hpp"

#include <algorithm>
#include <iterator>

namespace azurepaddle::registry {

namespace {

    // Limit of the outputs in one reply; the caller reads the remaining results with its next request.
    constexpr std::size_t maxReplyBytes = 900U * 1024U;
    constexpr Duration cleanupInterval = std::chrono::milliseconds(500);
    // A reply must be sent before the attempt of the requesting instance times out.
    constexpr std::uint64_t maxReadWaitMs = 1000;

}

LeaderService::LeaderService(asio::io_context& io, ServiceGroup& group, const StateMachine& machine, Liveness& liveness, LeaderOptions options)
    : m_io(io)
    , m_group(group)
    , m_machine(machine)
    , m_liveness(liveness)
    , m_options(options)
{
}

template <typename Request>
void LeaderService::registerHandler(transport::PeerServer& server)
{
    handleRequests<Request>(server, m_io, [this](Request request, const transport::PeerResponder& respond) {
        const auto leader = m_group.leaderAddress();
        const Responder<typename Request::Reply> responder(respond, leader ? formatAddress(*leader) : std::string());
        if (!m_group.hasCurrentState())
            return responder.notLeader();
        handle(std::move(request), responder);
    });
}

void LeaderService::registerHandlers(transport::PeerServer& server)
{
    registerHandler<HeartbeatReportRequest>(server);
    registerHandler<DrainingReportRequest>(server);
    registerHandler<SuspectsRequest>(server);
    registerHandler<HeartbeatRequest>(server);
    registerHandler<RecordStreamsRequest>(server);
    registerHandler<FindStreamRequest>(server);
    registerHandler<PermitRequest>(server);
    registerHandler<DeregisterRequest>(server);
    registerHandler<PutConfigurationRequest>(server);
    registerHandler<ReadConfigurationRequest>(server);
    registerHandler<PublishVersionRequest>(server);
    registerHandler<RetireRequest>(server);
    registerHandler<SubmitJobRequest>(server);
    registerHandler<ReadResultsRequest>(server);
    registerHandler<ReadItemRequest>(server);
    registerHandler<EndJobRequest>(server);
}

template <typename Reply>
void LeaderService::propose(const Command& command, const Responder<Reply>& responder, std::function<void(const std::string&)> onApplied)
{
    m_group.propose(encodeCommand(command), [responder, onApplied = std::move(onApplied)](const cluster::ProposalResult& result) {
        if (result.status == cluster::ProposalStatus::Applied)
            onApplied(result.reply);
        else
            responder.failed(result.status);
    });
}

void LeaderService::notifyChange()
{
    if (m_onChange)
        m_onChange();
}

void LeaderService::handle(const HeartbeatReportRequest& request, const Responder<Acknowledgement>& responder)
{
    const TimePoint now = m_clock.now();
    for (const HeartbeatStatus& status : request.heartbeats)
        static_cast<void>(m_liveness.recordHeartbeat(status, now));
    responder.ok({});
}

void LeaderService::handle(const DrainingReportRequest& request, const Responder<Acknowledgement>& responder)
{
    for (const EndpointIncarnation& incarnation : request.incarnations)
        m_liveness.recordDraining(incarnation);
    drainReportedEndpoints();
    responder.ok({});
}

void LeaderService::handle(RecordStreamsRequest request, const Responder<Acknowledgement>& responder)
{
    propose(RecordStreams { std::move(request.streams) }, responder, [responder](const std::string&) { responder.ok({}); });
}

void LeaderService::handle(const FindStreamRequest& request, const Responder<FindStreamReply>& responder)
{
    const auto origin = m_machine.originOf(request.id, request.service);
    if (!origin)
        return responder.ok({});
    responder.ok({ true, *origin, m_machine.directory().newestChangeOf(origin->service) });
}

void LeaderService::handle(const PermitRequest& request, const Responder<PermitReply>& responder)
{
    responder.ok(m_permits.request(request, m_clock.now()));
}

std::optional<PermitReply> LeaderService::requestPermit(const PermitRequest& request)
{
    if (!m_group.hasCurrentState())
        return std::nullopt;
    return m_permits.request(request, m_clock.now());
}

std::uint64_t LeaderService::unixMs() const
{
    return static_cast<std::uint64_t>(m_clock.wallNow().time_since_epoch().count());
}

void LeaderService::logSuspects(const std::vector<EndpointCrash>& crashes) const
{
    for (const EndpointCrash& crash : crashes) {
        for (const RequestFingerprint& request : crash.requests) {
            const auto suspicion = m_machine.suspects().find(request);
            if (suspicion)
                m_log.info("request={} endpoint={} started={} crashes={} evidence={} refused={}", request, crash.endpoint, crash.startedMs, suspicion->crashes, suspicion->evidence, suspicion->isRefused());
        }
    }
}

void LeaderService::handle(const SuspectsRequest& request, const Responder<Acknowledgement>& responder)
{
    const Suspects& suspects = m_machine.suspects();
    ReportSuspects report { {}, {}, unixMs() };
    std::copy_if(request.crashes.begin(), request.crashes.end(), std::back_inserter(report.crashes), [&](const EndpointCrash& crash) { return suspects.addsInformation(crash); });
    std::copy_if(request.cleared.begin(), request.cleared.end(), std::back_inserter(report.cleared), [&](const RequestFingerprint& cleared) { return suspects.find(cleared).has_value(); });
    if (report.crashes.empty() && report.cleared.empty())
        return responder.ok({});
    for (const RequestFingerprint& cleared : report.cleared)
        m_log.info("request={} outcome=cleared, crashes={}", cleared, suspects.find(cleared)->crashes);
    propose(report, responder, [this, responder, crashes = report.crashes](const std::string&) {
        logSuspects(crashes);
        responder.ok({});
    });
}

void LeaderService::expireOldCrashes()
{
    const auto oldest = m_machine.suspects().oldestCrashMs();
    const std::uint64_t before = unixMs() - static_cast<std::uint64_t>(Suspects::lifetime.count());
    if (oldest && *oldest < before)
        m_group.propose(encodeCommand(ExpireCrashes { before }), [](const cluster::ProposalResult&) {});
}

void LeaderService::handle(const HeartbeatRequest& request, const Responder<Acknowledgement>& responder)
{
    if (!m_liveness.recordHeartbeat(request.heartbeat.status(), m_clock.now()))
        return responder.ok({});
    const auto change = m_machine.directory().recordUpdateFrom(request.heartbeat.record);
    if (!change)
        return responder.ok({});
    m_log.info("endpoint id={} started={} service={} address={} state={} version-count={} software={}", change->id, change->startedMs, change->service, formatAddress(change->address()), static_cast<int>(change->state), change->versions.size(), change->software);
    propose(SetEndpoint { *change }, responder, [this, responder](const std::string&) {
        responder.ok({});
        notifyChange();
    });
}

void LeaderService::handle(const DeregisterRequest& request, const Responder<Acknowledgement>& responder)
{
    const EndpointRecord* existing = m_machine.directory().find(request.incarnation.id);
    if (!existing || existing->state == EndpointState::Gone)
        return responder.ok({});
    m_log.info("endpoint id={} started={} deregisters", request.incarnation.id, request.incarnation.startedMs);
    propose(DeregisterEndpoint { request.incarnation }, responder, [this, responder](const std::string&) {
        responder.ok({});
        notifyChange();
    });
}

void LeaderService::handle(PutConfigurationRequest request, const Responder<PutConfigurationReply>& responder)
{
    const std::uint64_t version = request.document.version;
    propose(PutConfiguration { std::move(request.document) }, responder, [this, responder, version](const std::string& bytes) {
        const auto outcome = codec::decode<ConfigurationOutcome>(bytes);
        m_log.info("configuration version={} in-force={} outcome={}", version, m_machine.configuration().version, outcome ? static_cast<int>(*outcome) : -1);
        responder.ok({ outcome.value_or(ConfigurationOutcome::Conflict) });
        notifyChange();
    });
}

void LeaderService::handle(const ReadConfigurationRequest&, const Responder<ReadConfigurationReply>& responder)
{
    responder.ok({ m_machine.configuration() });
}

void LeaderService::handle(const PublishVersionRequest& request, const Responder<Acknowledgement>& responder)
{
    const auto current = m_machine.publishedVersion(request.publication.model);
    if (current && *current >= request.publication.version)
        return responder.ok({});
    m_log.info("weights model={} version={} published, before={}", request.publication.model, request.publication.version, current.value_or(0));
    propose(request.publication, responder, [this, responder](const std::string&) {
        responder.ok({});
        notifyChange();
    });
}

MemberNames MemberNames::of(const ServiceGroup& group)
{
    MemberNames names;
    for (const cluster::MemberIdentity& member : group.committedMembers())
        names.committed.insert(member.name);
    for (const cluster::MemberIdentity& member : group.members())
        names.newest.insert(member.name);
    return names;
}

std::set<std::string> MemberNames::inBoth() const
{
    std::set<std::string> names;
    std::set_intersection(committed.begin(), committed.end(), newest.begin(), newest.end(), std::inserter(names, names.end()));
    return names;
}

RetireState retireStateOf(const std::string& instance, const std::set<std::string>& retiring, const MemberNames& members)
{
    if (!retiring.contains(instance))
        return RetireState::Unknown;
    return members.anyContains(instance) ? RetireState::Active : RetireState::Completed;
}

void LeaderService::handle(const RetireRequest& request, const Responder<RetireReply>& responder)
{
    const MemberNames members = MemberNames::of(m_group);
    const RetireState state = retireStateOf(request.instance, m_machine.retiring(), members);
    if (!request.isBegin || state != RetireState::Unknown)
        return responder.ok({ state });
    std::set<std::string> remaining = members.inBoth();
    remaining.merge(m_group.declinedInstances());
    if (remaining.erase(request.instance) == 0 && !members.anyContains(request.instance))
        return responder.ok({ RetireState::Unknown });
    for (const std::string& retiring : m_machine.retiring())
        remaining.erase(retiring);
    if (remaining.size() < m_options.voters) {
        m_log.info("retire instance={} refused: only {} instances would remain", request.instance, remaining.size());
        return responder.ok({ RetireState::TooFewRemaining });
    }
    propose(RetireInstance { request.instance }, responder, [this, responder, instance = request.instance](const std::string&) {
        m_log.info("retire instance={} begins", instance);
        m_group.setRetiring(m_machine.retiring());
        responder.ok({ RetireState::Active });
    });
}

void LeaderService::handle(SubmitJobRequest request, const Responder<SubmitJobReply>& responder)
{
    const batch::JobId id = request.spec.id;
    if (const batch::Job* known = m_machine.jobs().find(id)) {
        const bool isAccessible = known->spec.isAccessibleTo(request.spec.workspace);
        if (!isAccessible)
            m_log.warning("job id={} refused: workspace {} submits the identifier of another workspace's job", id, request.spec.workspace);
        return responder.ok({ isAccessible });
    }
    if (m_machine.jobs().hasItemsOfOthers(request.spec)) {
        m_log.warning("job id={} refused: workspace {} submits the identifier of an item of another workspace", id, request.spec.workspace);
        return responder.ok({ false });
    }
    if (m_machine.jobs().bytes() > m_options.maxJobBytes || m_group.isSnapshotOverdue()) {
        m_log.warning("job id={} refused: stored jobs use {} bytes, snapshot-overdue={}", id, m_machine.jobs().bytes(), m_group.isSnapshotOverdue());
        return responder.ok({ false });
    }
    m_log.info("job id={} model={} step={} items={} min-version={} groups={}", id, request.spec.model, request.spec.step, request.spec.items.size(), request.spec.minVersion, request.spec.groupCount);
    const WorkspaceName workspace = request.spec.workspace;
    propose(AcceptJob { std::move(request.spec) }, responder, [this, responder, id, workspace](const std::string&) {
        // Another workspace may have submitted the identifier at the same time; the first job was accepted.
        const batch::Job* job = m_machine.jobs().find(id);
        responder.ok({ !job || job->spec.isAccessibleTo(workspace) });
        notifyChange();
    });
}

/// The job, if callers of the workspace may access it; otherwise null, as for an unknown one.
const batch::Job* LeaderService::findJob(const batch::JobId& id, const WorkspaceName& caller) const
{
    const batch::Job* job = m_machine.jobs().find(id);
    return job && job->spec.isAccessibleTo(caller) ? job : nullptr;
}

ReadResultsReply LeaderService::readResults(const ReadResultsRequest& request) const
{
    const batch::Job* job = findJob(request.job, request.workspace);
    if (!job)
        return {};
    ReadResultsReply reply { true, job->spec.items.size(), {} };
    std::size_t bytes = 0;
    for (std::size_t at = request.after; at < job->results.size() && (bytes == 0 || bytes + job->results[at].output.size < maxReplyBytes); ++at) {
        bytes += job->results[at].output.size + 1;
        reply.results.push_back(m_machine.jobs().load(job->results[at]));
    }
    return reply;
}

void LeaderService::handle(ReadResultsRequest request, const Responder<ReadResultsReply>& responder)
{
    const ReadResultsReply reply = readResults(request);
    const batch::Job* job = findJob(request.job, request.workspace);
    const bool isComplete = job && (job->isEnded || job->results.size() == job->spec.items.size());
    if (!reply.isKnown || !reply.results.empty() || request.waitMs == 0 || isComplete)
        return responder.ok(reply);
    const auto wait = std::chrono::milliseconds(std::min(request.waitMs, maxReadWaitMs));
    m_pendingReads.push_back({ std::move(request), responder, m_clock.now() + wait });
}

void LeaderService::handle(const ReadItemRequest& request, const Responder<ReadItemReply>& responder)
{
    const std::string* body = findJob(request.job, request.workspace) ? m_machine.jobs().bodyOf(request.job, request.item) : nullptr;
    responder.ok(body ? ReadItemReply { true, *body } : ReadItemReply {});
}

void LeaderService::handle(const EndJobRequest& request, const Responder<EndJobReply>& responder)
{
    const batch::Job* job = findJob(request.job, request.workspace);
    if (!job || job->isEnded)
        return responder.ok({ job != nullptr });
    m_log.info("job id={} ends with {} of {} results", request.job, job->results.size(), job->spec.items.size());
    propose(EndJob { request.job }, responder, [this, responder, id = request.job](const std::string&) {
        responder.ok({ true });
        notifyChange();
        answerPendingReads(id);
    });
}

template <typename Condition>
std::vector<LeaderService::PendingRead> LeaderService::takePendingReads(Condition condition)
{
    std::vector<PendingRead> matching;
    std::erase_if(m_pendingReads, [&](const PendingRead& pending) {
        if (!condition(pending))
            return false;
        matching.push_back(pending);
        return true;
    });
    return matching;
}

void LeaderService::answerPendingReads(const batch::JobId& job)
{
    for (const PendingRead& pending : takePendingReads([&](const PendingRead& candidate) { return candidate.request.job == job; }))
        pending.responder.ok(readResults(pending.request));
}

void LeaderService::tick()
{
    const TimePoint now = m_clock.now();
    for (const PendingRead& pending : takePendingReads([now](const PendingRead& candidate) { return now >= candidate.deadline; })) {
        if (m_group.hasCurrentState())
            pending.responder.ok(readResults(pending.request));
        else
            pending.responder.notLeader();
    }
    if (m_group.hasCurrentState())
        drainReportedEndpoints();
    if (now < m_nextCleanup)
        return;
    m_nextCleanup = now + cleanupInterval;
    m_group.setRetiring(m_machine.retiring());
    if (!m_group.hasCurrentState())
        return;
    removeTimedOutEndpoints(now);
    removeExpiredJobs(now);
    expireOldCrashes();
}

void LeaderService::onLeadership(bool isLeading)
{
    const auto pendingReads = std::exchange(m_pendingReads, {});
    for (const PendingRead& pending : pendingReads)
        pending.responder.notLeader();
    m_jobFirstSeen.clear();
    m_removing.clear();
    m_draining.clear();
    m_liveness.clear();
    m_permits.clear();
    if (isLeading)
        m_liveness.startTracking(m_machine.directory(), m_clock.now());
}

void LeaderService::removeTimedOutEndpoints(TimePoint now)
{
    m_liveness.startTracking(m_machine.directory(), now);
    for (const EndpointIncarnation& timedOut : m_liveness.timedOut(m_machine.directory(), now, m_options.endpointTimeout)) {
        if (!m_removing.insert(timedOut.id).second)
            continue;
        m_log.info("endpoint id={} started={} removed: no heartbeat for more than {} ms", timedOut.id, timedOut.startedMs, std::chrono::duration_cast<std::chrono::milliseconds>(m_options.endpointTimeout).count());
        m_group.propose(encodeCommand(RemoveEndpoint { timedOut }), [this, id = timedOut.id](const cluster::ProposalResult&) {
            m_removing.erase(id);
            notifyChange();
        });
    }
}

/// Replicates the draining state of endpoints that announced it in a response, before a heartbeat or a deregistration
/// of theirs arrives.
void LeaderService::drainReportedEndpoints()
{
    for (EndpointRecord& record : m_liveness.drainingEndpoints(m_machine.directory())) {
        if (!m_draining.insert(record.id).second)
            continue;
        m_log.info("endpoint id={} started={} state=draining: its answers say so", record.id, record.startedMs);
        record.state = EndpointState::Draining;
        m_group.propose(encodeCommand(SetEndpoint { record }), [this, id = record.id](const cluster::ProposalResult&) {
            m_draining.erase(id);
            notifyChange();
        });
    }
}

void LeaderService::removeExpiredJobs(TimePoint now)
{
    for (const batch::Job* job : m_machine.jobs().jobs()) {
        const batch::JobId id = job->spec.id;
        const auto [firstSeen, isNew] = m_jobFirstSeen.emplace(id, now);
        const Duration lifetime = m_options.jobLifetime + (job->isEnded ? Duration::zero() : Duration(std::chrono::milliseconds(job->spec.retentionMs)));
        if (isNew || now - firstSeen->second < lifetime)
            continue;
        m_jobFirstSeen.erase(firstSeen);
        m_group.propose(encodeCommand(RemoveJob { id }), [](const cluster::ProposalResult&) {});
        return;
    }
}

}
