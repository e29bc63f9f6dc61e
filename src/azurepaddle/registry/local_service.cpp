#include "azurepaddle/registry/local_service.hpp"

#include <algorithm>
#include <tuple>

namespace azurepaddle::registry {

namespace {

    // A poll without changes is answered after this time, so that its sender detects a lost store instance.
    constexpr Duration longPollTimeout = std::chrono::milliseconds(800);
    constexpr Duration reportInterval = std::chrono::milliseconds(400);
    constexpr Duration reportTimeout = std::chrono::milliseconds(900);
    // Minimum time between two log lines about the freshness of the state, which may alternate with each late heartbeat.
    constexpr Duration freshnessLogInterval = std::chrono::milliseconds(100);

    /// A duration in whole milliseconds, at least 0.
    std::uint64_t toMilliseconds(std::chrono::milliseconds duration)
    {
        return static_cast<std::uint64_t>(std::max<std::int64_t>(duration.count(), 0));
    }

}

LocalService::LocalService(asio::io_context& io, ServiceGroup& group, const StateMachine& machine, LeaderClient& leader, DataCentreName dataCentre)
    : m_io(io)
    , m_group(group)
    , m_machine(machine)
    , m_leader(leader)
    , m_dataCentre(std::move(dataCentre))
{
}

void LocalService::registerHandlers(transport::PeerServer& server)
{
    handleRequests<PollRequest>(server, m_io, [this](const PollRequest& request, const transport::PeerResponder& respond) {
        handle(request, Responder<PollReply>(respond, redirectTarget()));
    });
    handleRequests<FindEntriesRequest>(server, m_io, [this](const FindEntriesRequest& request, const transport::PeerResponder& respond) {
        handle(request, Responder<FindEntriesReply>(respond, {}));
    });
}

void LocalService::handle(const PollRequest& request, const Responder<PollReply>& responder)
{
    const TimePoint now = m_clock.now();
    m_entries.record(request.entry, now);
    if (const auto address = parseAddress(request.entry.address))
        m_group.recordEntry(*address);
    if (!m_group.hasRecentState())
        return responder.notLeader();
    WaitingPoll poll { request, responder, now };
    if (!replyIfDue(poll, now))
        m_waitingPolls.push_back(std::move(poll));
}

/// Needs no recent state, because entries poll this instance itself.
void LocalService::handle(const FindEntriesRequest&, const Responder<FindEntriesReply>& responder)
{
    responder.ok({ m_entries.takingRequests(m_clock.now()) });
}

/// Peer address of an instance that may have more recent state: the leader or any participant; empty if none is known.
std::string LocalService::redirectTarget() const
{
    if (const auto leader = m_group.leaderAddress())
        return formatAddress(*leader);
    const std::vector<cluster::MemberIdentity> participants = m_group.members();
    return participants.empty() ? std::string() : formatAddress(participants.front().address);
}

/// Replies to a poll if there are changes for it or its wait has expired. Otherwise returns false, and advances the
/// poll's revision past changes that do not concern it, so that these are not evaluated again.
bool LocalService::replyIfDue(WaitingPoll& poll, TimePoint now) const
{
    PollRequest& request = poll.request;
    const bool isExpired = now - poll.receivedAt >= longPollTimeout;
    const bool hasConfiguration = m_machine.configuration().version > request.configurationVersion;
    const bool mayHaveEndpointChanges = m_machine.directory().revision() > request.directoryRevision;
    const bool hasSuspectChanges = m_machine.suspects().revision() > request.suspectsRevision;
    if (!areServicesCurrent() || !(isExpired || hasConfiguration || mayHaveEndpointChanges || hasSuspectChanges))
        return false;
    const PollReply reply = replyTo(poll, now);
    const bool hasEndpointChanges = reply.isFullUpdate || !reply.endpoints.empty() || !reply.removed.empty();
    if (!isExpired && !hasConfiguration && !hasEndpointChanges && !hasSuspectChanges) {
        request.directoryRevision = reply.directoryRevision;
        return false;
    }
    poll.responder.ok(reply);
    return true;
}

PollReply LocalService::replyTo(const WaitingPoll& poll, TimePoint now) const
{
    const PollRequest& request = poll.request;
    PollReply reply;
    // Rounded so that the sender never takes the state for more recent than it is.
    reply.heldMs = toMilliseconds(std::chrono::floor<std::chrono::milliseconds>(now - poll.receivedAt));
    reply.stateAgeMs = toMilliseconds(std::chrono::ceil<std::chrono::milliseconds>(now - m_group.stateTime()));
    reply.dataCentre = m_dataCentre;
    if (const auto leader = m_group.leaderAddress())
        reply.leader = formatAddress(*leader);
    for (const cluster::MemberIdentity& member : m_group.members())
        reply.members.push_back(formatAddress(member.address));
    const ConfigurationDocument& configuration = m_machine.configuration();
    reply.configurationVersion = configuration.version;
    if (configuration.version > request.configurationVersion)
        reply.configuration = configuration.text;
    addEndpoints(reply, request);
    addSuspects(reply, request);
    return reply;
}

void LocalService::addSuspects(PollReply& reply, const PollRequest& request) const
{
    const Suspects& suspects = m_machine.suspects();
    // A sender with a higher revision, received from another instance, keeps its state.
    reply.suspectsRevision = std::max(suspects.revision(), request.suspectsRevision);
    reply.areSuspectsChanged = suspects.revision() > request.suspectsRevision;
    if (!reply.areSuspectsChanged)
        return;
    const auto nowMs = static_cast<std::uint64_t>(m_clock.wallNow().time_since_epoch().count());
    for (const auto& [fingerprint, suspicion] : suspects.all())
        reply.suspects.push_back({ fingerprint, suspects.refusedForMs(fingerprint, nowMs) });
}

void LocalService::addEndpoints(PollReply& reply, const PollRequest& request) const
{
    const Directory& directory = m_machine.directory();
    const std::uint64_t version = m_machine.configuration().version;
    reply.directoryRevision = request.directoryRevision;
    // A sender with a higher revision or version, received from another instance, keeps its state.
    if (directory.revision() < request.directoryRevision || version < request.configurationVersion)
        return;
    reply.directoryRevision = directory.revision();
    const bool needsAllEndpoints = version > request.configurationVersion;
    const auto changes = needsAllEndpoints ? std::nullopt : directory.changesSince(request.directoryRevision);
    reply.isFullUpdate = !changes;
    if (!changes) {
        reply.endpoints = directory.activeEndpointsOf(m_services);
        return;
    }
    for (const EndpointRecord& record : changes->changed) {
        if (!m_services.contains(record.service))
            continue;
        if (record.state != EndpointState::Gone)
            reply.endpoints.push_back(record);
        else
            reply.removed.push_back(record.id);
    }
    reply.removed.insert(reply.removed.end(), changes->removed.begin(), changes->removed.end());
}

bool LocalService::acceptHeartbeat(const EndpointHeartbeat& heartbeat)
{
    if (!m_group.hasRecentState() || m_machine.directory().recordUpdateFrom(heartbeat.record))
        return false;
    HeartbeatStatus& status = m_unreported[heartbeat.record.id];
    if (std::tie(heartbeat.record.startedMs, heartbeat.sequence) >= std::tie(status.startedMs, status.sequence))
        status = { heartbeat.record.id, heartbeat.record.startedMs, heartbeat.sequence, heartbeat.record.versions };
    return true;
}

std::optional<InstanceAddress> LocalService::preferredInstanceFor(const EndpointId& id) const
{
    if (m_group.isParticipant())
        return std::nullopt;
    const std::vector<cluster::MemberIdentity> participants = m_group.members();
    if (participants.empty())
        return std::nullopt;
    return participants[std::hash<std::string> {}(id.value()) % participants.size()].address;
}

void LocalService::tick()
{
    const TimePoint now = m_clock.now();
    logFreshness(now);
    replyToPolls(now);
    if (!m_unreported.empty() && !m_isReporting && now >= m_nextReport)
        reportHeartbeats(now);
}

/// Logs each time that the state becomes recent or ceases to be so, and what that follows from.
void LocalService::logFreshness(TimePoint now)
{
    const bool isRecent = m_group.hasRecentState();
    if (isRecent == m_wasRecent || now < m_nextFreshnessLog)
        return;
    m_wasRecent = isRecent;
    m_nextFreshnessLog = now + freshnessLogInterval;
    const consensus::RaftStatus status = m_group.status();
    m_log.info("state is-recent={} age-ms={} configuration={} directory={} term={} leader={} commit={} applied={} log-last={}", isRecent, (now - m_group.stateTime()) / std::chrono::milliseconds(1), m_machine.configuration().version, m_machine.directory().revision(), status.term, status.leader, status.commitIndex, m_group.appliedIndex(), status.lastIndex);
}

void LocalService::replyToPolls(TimePoint now)
{
    const bool isRecent = m_group.hasRecentState();
    std::vector<WaitingPoll> waiting;
    for (WaitingPoll& poll : std::exchange(m_waitingPolls, {})) {
        if (!isRecent)
            poll.responder.notLeader();
        else if (!replyIfDue(poll, now))
            waiting.push_back(std::move(poll));
    }
    m_waitingPolls = std::move(waiting);
}

/// Reports to the leader all heartbeats that this instance has accepted since the last report.
void LocalService::reportHeartbeats(TimePoint now)
{
    m_nextReport = now + reportInterval;
    m_isReporting = true;
    HeartbeatReportRequest request;
    for (auto& [id, status] : std::exchange(m_unreported, {}))
        request.heartbeats.push_back(std::move(status));
    m_leader.send(request, now + reportTimeout, [this, heartbeats = request.heartbeats](const LeaderResult<Acknowledgement>& reply) {
        m_isReporting = false;
        if (reply)
            return;
        for (const HeartbeatStatus& status : heartbeats)
            m_unreported.try_emplace(status.id, status);
    });
}

}
