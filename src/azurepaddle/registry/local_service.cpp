#include "azurepaddle/registry/local_service.hpp"

#include <algorithm>
#include <tuple>

namespace azurepaddle::registry {

namespace {

    // A poll without news is answered after this long, so that its sender knows that it is still heard.
    constexpr Duration pollHold = std::chrono::milliseconds(800);
    constexpr Duration reportInterval = std::chrono::milliseconds(400);
    constexpr Duration reportPatience = std::chrono::milliseconds(900);

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
        handle(request, Answer<PollReply>(respond, otherInstance()));
    });
}

void LocalService::handle(const PollRequest& request, const Answer<PollReply>& answer)
{
    if (!m_group.isRecent())
        return answer.notLeader();
    const TimePoint now = m_clock.now();
    WaitingPoll poll { request, answer, now + pollHold };
    if (!answerIfDue(poll, now))
        m_waiting.push_back(std::move(poll));
}

/// Peer address of an instance that may know more than this one; empty if none is known.
std::string LocalService::otherInstance() const
{
    if (const auto leader = m_group.leaderAddress())
        return formatAddress(*leader);
    const std::vector<cluster::MemberIdentity> participants = m_group.members();
    return participants.empty() ? std::string() : formatAddress(participants.front().address);
}

/// Answers a poll that has news or waited long enough. False if it goes on waiting; changes that are none of its news are
/// not looked at again.
bool LocalService::answerIfDue(WaitingPoll& poll, TimePoint now) const
{
    PollRequest& known = poll.request;
    const bool isLate = now >= poll.deadline;
    const bool hasConfiguration = m_machine.configuration().version > known.configurationVersion;
    const bool mayHaveEndpoints = m_machine.directory().revision() > known.directoryRevision;
    const bool hasSuspects = m_machine.suspects().revision() > known.suspectsRevision;
    if (!knowsServices() || !(isLate || hasConfiguration || mayHaveEndpoints || hasSuspects))
        return false;
    const PollReply reply = replyTo(known);
    const bool hasEndpoints = reply.isFullUpdate || !reply.endpoints.empty() || !reply.removed.empty();
    if (!isLate && !hasConfiguration && !hasEndpoints && !hasSuspects) {
        known.directoryRevision = reply.directoryRevision;
        return false;
    }
    poll.answer.ok(reply);
    return true;
}

PollReply LocalService::replyTo(const PollRequest& request) const
{
    PollReply reply;
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
    // A sender that heard more from another instance keeps what it has.
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
    // A sender that heard more from another instance keeps what it has.
    if (directory.revision() < request.directoryRevision || version < request.configurationVersion)
        return;
    reply.directoryRevision = directory.revision();
    const bool mayNeedOthers = version > request.configurationVersion;
    const auto changes = mayNeedOthers ? std::nullopt : directory.changesSince(request.directoryRevision);
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

bool LocalService::acceptHeartbeat(const EndpointHeartbeat& beat)
{
    if (!m_group.isRecent() || m_machine.directory().changeBy(beat.record))
        return false;
    HeartbeatStatus& heard = m_heard[beat.record.id];
    if (std::tie(beat.record.startedMs, beat.sequence) >= std::tie(heard.startedMs, heard.sequence))
        heard = { beat.record.id, beat.record.startedMs, beat.sequence, beat.record.versions };
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
    answerPolls(now);
    if (!m_heard.empty() && !m_isReporting && now >= m_nextReport)
        reportBeats(now);
}

void LocalService::answerPolls(TimePoint now)
{
    const bool isRecent = m_group.isRecent();
    std::vector<WaitingPoll> waiting;
    for (WaitingPoll& poll : std::exchange(m_waiting, {})) {
        if (!isRecent)
            poll.answer.notLeader();
        else if (!answerIfDue(poll, now))
            waiting.push_back(std::move(poll));
    }
    m_waiting = std::move(waiting);
}

/// Tells the leader of all endpoints that were heard here since the last report.
void LocalService::reportBeats(TimePoint now)
{
    m_nextReport = now + reportInterval;
    m_isReporting = true;
    HeartbeatReportRequest request;
    for (auto& [id, heard] : std::exchange(m_heard, {}))
        request.beats.push_back(std::move(heard));
    m_leader.send(request, now + reportPatience, [this, beats = request.beats](const LeaderResult<Acknowledgement>& reply) {
        m_isReporting = false;
        if (reply)
            return;
        for (const HeartbeatStatus& heard : beats)
            m_heard.try_emplace(heard.id, heard);
    });
}

}
