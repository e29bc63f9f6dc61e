#include "azurepaddle/registry/leader_service.hpp"

#include <algorithm>

namespace azurepaddle::registry {

namespace {

    // Outputs of one reply; a caller reads on where it ends.
    constexpr std::size_t maxReplyBytes = 900U * 1024U;
    constexpr Duration sweepInterval = std::chrono::milliseconds(500);
    // A reply must leave before the instance that asked stops to wait for it.
    constexpr std::uint64_t maxWaitMs = 1000;

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
        const Answer<typename Request::Reply> answer(respond, leader ? formatAddress(*leader) : std::string());
        if (!m_group.isCurrent())
            return answer.notLeader();
        handle(std::move(request), answer);
    });
}

void LeaderService::registerHandlers(transport::PeerServer& server)
{
    registerHandler<HeartbeatReportRequest>(server);
    registerHandler<DrainingReportRequest>(server);
    registerHandler<SuspectsRequest>(server);
    registerHandler<HeartbeatRequest>(server);
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
void LeaderService::propose(const Command& command, const Answer<Reply>& answer, std::function<void(const std::string&)> onApplied)
{
    m_group.propose(encodeCommand(command), [answer, onApplied = std::move(onApplied)](const cluster::ProposalResult& result) {
        if (result.status == cluster::ProposalStatus::Applied)
            onApplied(result.reply);
        else
            answer.failed(result.status);
    });
}

void LeaderService::changed()
{
    if (m_onChange)
        m_onChange();
}

void LeaderService::handle(const HeartbeatReportRequest& request, const Answer<Acknowledgement>& answer)
{
    const TimePoint now = m_clock.now();
    for (const HeartbeatStatus& beat : request.beats)
        static_cast<void>(m_liveness.recordHeartbeat(beat, now));
    answer.ok({});
}

void LeaderService::handle(const DrainingReportRequest& request, const Answer<Acknowledgement>& answer)
{
    for (const EndpointIncarnation& leave : request.leaving)
        m_liveness.recordDraining(leave);
    drainLeavingEndpoints();
    answer.ok({});
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
                m_log.info("request={} endpoint={} started={} crashes={} evidence={} refused={}", request, crash.endpoint, crash.startedMs, suspicion->crashes, suspicion->evidence, suspicion->isConvicted());
        }
    }
}

void LeaderService::handle(const SuspectsRequest& request, const Answer<Acknowledgement>& answer)
{
    const Suspects& suspects = m_machine.suspects();
    ReportSuspects report { {}, {}, unixMs() };
    std::copy_if(request.crashes.begin(), request.crashes.end(), std::back_inserter(report.crashes), [&](const EndpointCrash& crash) { return suspects.isNews(crash); });
    std::copy_if(request.cleared.begin(), request.cleared.end(), std::back_inserter(report.cleared), [&](const RequestFingerprint& cleared) { return suspects.find(cleared).has_value(); });
    if (report.crashes.empty() && report.cleared.empty())
        return answer.ok({});
    for (const RequestFingerprint& cleared : report.cleared)
        m_log.info("request={} outcome=cleared, crashes={}", cleared, suspects.find(cleared)->crashes);
    propose(report, answer, [this, answer, crashes = report.crashes](const std::string&) {
        logSuspects(crashes);
        answer.ok({});
    });
}

void LeaderService::forgetOldCrashes()
{
    const auto oldest = m_machine.suspects().oldestMs();
    const std::uint64_t before = unixMs() - static_cast<std::uint64_t>(Suspects::lifetime.count());
    if (oldest && *oldest < before)
        m_group.propose(encodeCommand(ForgetCrashes { before }), [](const cluster::ProposalResult&) {});
}

void LeaderService::handle(const HeartbeatRequest& request, const Answer<Acknowledgement>& answer)
{
    if (!m_liveness.recordHeartbeat(request.beat.status(), m_clock.now()))
        return answer.ok({});
    const auto change = m_machine.directory().changeBy(request.beat.record);
    if (!change)
        return answer.ok({});
    m_log.info("endpoint id={} started={} service={} address={} state={} version-count={}", change->id, change->startedMs, change->service, formatAddress(change->address()), static_cast<int>(change->state), change->versions.size());
    propose(SetEndpoint { *change }, answer, [this, answer](const std::string&) {
        answer.ok({});
        changed();
    });
}

void LeaderService::handle(const DeregisterRequest& request, const Answer<Acknowledgement>& answer)
{
    const EndpointRecord* known = m_machine.directory().find(request.leave.id);
    if (!known || known->state == EndpointState::Gone)
        return answer.ok({});
    m_log.info("endpoint id={} started={} leaves", request.leave.id, request.leave.startedMs);
    propose(DeregisterEndpoint { request.leave }, answer, [this, answer](const std::string&) {
        answer.ok({});
        changed();
    });
}

void LeaderService::handle(PutConfigurationRequest request, const Answer<PutConfigurationReply>& answer)
{
    const std::uint64_t version = request.document.version;
    propose(PutConfiguration { std::move(request.document) }, answer, [this, answer, version](const std::string& bytes) {
        const auto outcome = codec::decode<ConfigurationOutcome>(bytes);
        m_log.info("configuration version={} in-force={} outcome={}", version, m_machine.configuration().version, outcome ? static_cast<int>(*outcome) : -1);
        answer.ok({ outcome.value_or(ConfigurationOutcome::Conflict) });
        changed();
    });
}

void LeaderService::handle(const ReadConfigurationRequest&, const Answer<ReadConfigurationReply>& answer)
{
    answer.ok({ m_machine.configuration() });
}

void LeaderService::handle(const PublishVersionRequest& request, const Answer<Acknowledgement>& answer)
{
    const auto known = m_machine.publishedVersion(request.named.model);
    if (known && *known >= request.named.version)
        return answer.ok({});
    m_log.info("weights model={} version={} named, before={}", request.named.model, request.named.version, known.value_or(0));
    propose(request.named, answer, [this, answer](const std::string&) {
        answer.ok({});
        changed();
    });
}

std::set<std::string> LeaderService::memberNames() const
{
    std::set<std::string> names;
    for (const cluster::MemberIdentity& member : m_group.members())
        names.insert(member.name);
    return names;
}

RetireState LeaderService::retireState(const std::string& instance) const
{
    const bool isMember = memberNames().contains(instance);
    if (!m_machine.retiring().contains(instance))
        return RetireState::Unknown;
    return isMember ? RetireState::Active : RetireState::Completed;
}

void LeaderService::handle(const RetireRequest& request, const Answer<RetireReply>& answer)
{
    const RetireState state = retireState(request.instance);
    if (!request.isBegin || state != RetireState::Unknown)
        return answer.ok({ state });
    std::set<std::string> left = memberNames();
    left.merge(m_group.spares());
    if (left.erase(request.instance) == 0)
        return answer.ok({ RetireState::Unknown });
    for (const std::string& retiring : m_machine.retiring())
        left.erase(retiring);
    if (left.size() < m_options.voters) {
        m_log.info("retire instance={} refused: {} instances would be left", request.instance, left.size());
        return answer.ok({ RetireState::TooFewRemaining });
    }
    propose(RetireInstance { request.instance }, answer, [this, answer, instance = request.instance](const std::string&) {
        m_log.info("retire instance={} begins", instance);
        m_group.setRetiring(m_machine.retiring());
        answer.ok({ RetireState::Active });
    });
}

void LeaderService::handle(SubmitJobRequest request, const Answer<SubmitJobReply>& answer)
{
    const batch::JobId id = request.spec.id;
    if (m_machine.jobs().find(id))
        return answer.ok({ true });
    if (m_machine.jobs().bytes() > m_options.maxJobBytes || m_group.isSnapshotOverdue()) {
        m_log.warning("job id={} refused: {} bytes of jobs are held, snapshot-overdue={}", id, m_machine.jobs().bytes(), m_group.isSnapshotOverdue());
        return answer.ok({ false });
    }
    m_log.info("job id={} model={} step={} items={} min-version={} groups={}", id, request.spec.model, request.spec.step, request.spec.items.size(), request.spec.minVersion, request.spec.groupCount);
    propose(AcceptJob { std::move(request.spec) }, answer, [this, answer](const std::string&) {
        answer.ok({ true });
        changed();
    });
}

ReadResultsReply LeaderService::readResults(const batch::JobId& id, std::uint64_t after) const
{
    const batch::Job* job = m_machine.jobs().find(id);
    if (!job)
        return {};
    ReadResultsReply reply { true, job->spec.items.size(), {} };
    std::size_t bytes = 0;
    for (std::size_t at = after; at < job->results.size() && (bytes == 0 || bytes + job->results[at].output.size < maxReplyBytes); ++at) {
        bytes += job->results[at].output.size + 1;
        reply.results.push_back(m_machine.jobs().load(job->results[at]));
    }
    return reply;
}

void LeaderService::handle(ReadResultsRequest request, const Answer<ReadResultsReply>& answer)
{
    const ReadResultsReply reply = readResults(request.job, request.after);
    const batch::Job* job = m_machine.jobs().find(request.job);
    const bool isComplete = job && (job->isEnded || job->results.size() == job->spec.items.size());
    if (!reply.isKnown || !reply.results.empty() || request.waitMs == 0 || isComplete)
        return answer.ok(reply);
    const auto wait = std::chrono::milliseconds(std::min(request.waitMs, maxWaitMs));
    m_readers.push_back({ std::move(request), answer, m_clock.now() + wait });
}

void LeaderService::handle(const ReadItemRequest& request, const Answer<ReadItemReply>& answer)
{
    const std::string* body = m_machine.jobs().bodyOf(request.job, request.item);
    answer.ok(body ? ReadItemReply { true, *body } : ReadItemReply {});
}

void LeaderService::handle(const EndJobRequest& request, const Answer<EndJobReply>& answer)
{
    const batch::Job* job = m_machine.jobs().find(request.job);
    if (!job || job->isEnded)
        return answer.ok({ job != nullptr });
    m_log.info("job id={} ends with {} of {} results", request.job, job->results.size(), job->spec.items.size());
    propose(EndJob { request.job }, answer, [this, answer, id = request.job](const std::string&) {
        answer.ok({ true });
        changed();
        answerPendingReads(id);
    });
}

template <typename Condition>
std::vector<LeaderService::Reader> LeaderService::takeReaders(Condition condition)
{
    std::vector<Reader> taken;
    std::erase_if(m_readers, [&](const Reader& reader) {
        if (!condition(reader))
            return false;
        taken.push_back(reader);
        return true;
    });
    return taken;
}

void LeaderService::answerPendingReads(const batch::JobId& job)
{
    for (const Reader& reader : takeReaders([&](const Reader& waiting) { return waiting.request.job == job; }))
        reader.answer.ok(readResults(job, reader.request.after));
}

void LeaderService::tick()
{
    const TimePoint now = m_clock.now();
    for (const Reader& reader : takeReaders([now](const Reader& waiting) { return now >= waiting.deadline; })) {
        if (m_group.isCurrent())
            reader.answer.ok(readResults(reader.request.job, reader.request.after));
        else
            reader.answer.notLeader();
    }
    if (m_group.isCurrent())
        drainLeavingEndpoints();
    if (now < m_nextSweep)
        return;
    m_nextSweep = now + sweepInterval;
    m_group.setRetiring(m_machine.retiring());
    if (!m_group.isCurrent())
        return;
    forgetSilentEndpoints(now);
    removeOldJobs(now);
    forgetOldCrashes();
}

void LeaderService::onLeadership(bool isLeading)
{
    const auto readers = std::exchange(m_readers, {});
    for (const Reader& reader : readers)
        reader.answer.notLeader();
    m_jobSeen.clear();
    m_forgetting.clear();
    m_draining.clear();
    m_liveness.clear();
    if (isLeading)
        m_liveness.expect(m_machine.directory(), m_clock.now());
}

void LeaderService::forgetSilentEndpoints(TimePoint now)
{
    m_liveness.expect(m_machine.directory(), now);
    for (const EndpointIncarnation& silent : m_liveness.silent(m_machine.directory(), now, m_options.endpointSilence)) {
        if (!m_forgetting.insert(silent.id).second)
            continue;
        m_log.info("endpoint id={} started={} forgotten: silent for over {} ms", silent.id, silent.startedMs, std::chrono::duration_cast<std::chrono::milliseconds>(m_options.endpointSilence).count());
        m_group.propose(encodeCommand(RemoveEndpoint { silent }), [this, id = silent.id](const cluster::ProposalResult&) {
            m_forgetting.erase(id);
            changed();
        });
    }
}

/// Lets all instances know of endpoints that said in an answer that they leave, before their own notice comes.
void LeaderService::drainLeavingEndpoints()
{
    for (EndpointRecord& record : m_liveness.leaving(m_machine.directory())) {
        if (!m_draining.insert(record.id).second)
            continue;
        m_log.info("endpoint id={} started={} state=draining: its answers say so", record.id, record.startedMs);
        record.state = EndpointState::Draining;
        m_group.propose(encodeCommand(SetEndpoint { record }), [this, id = record.id](const cluster::ProposalResult&) {
            m_draining.erase(id);
            changed();
        });
    }
}

void LeaderService::removeOldJobs(TimePoint now)
{
    for (const batch::Job* job : m_machine.jobs().jobs()) {
        const batch::JobId id = job->spec.id;
        const auto [seen, isNew] = m_jobSeen.emplace(id, now);
        const Duration lifetime = m_options.jobLifetime + (job->isEnded ? Duration::zero() : Duration(std::chrono::milliseconds(job->spec.retentionMs)));
        if (isNew || now - seen->second < lifetime)
            continue;
        m_jobSeen.erase(seen);
        m_group.propose(encodeCommand(RemoveJob { id }), [](const cluster::ProposalResult&) {});
        return;
    }
}

}
