#pragma once

#include "azurepaddle/cluster/group.hpp"
#include "azurepaddle/core/digest.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace azurepaddle::cluster {

namespace internal {

    constexpr Duration tickInterval = std::chrono::milliseconds(10);
    constexpr Duration raftMessageDeadline = std::chrono::seconds(1);
    constexpr std::size_t maxQueuedMessages = 256;
    constexpr std::size_t maxQueuedBytes = 1024U * 1024U;

    [[nodiscard]] inline std::size_t payloadBytes(const consensus::RaftMessage& message)
    {
        std::size_t bytes = message.data.size();
        for (const consensus::LogEntry& entry : message.entries)
            bytes += entry.data.size();
        return bytes;
    }
    constexpr std::size_t folderIdBytes = 6;
    // Other work of the event loop, heartbeats among it, waits for no longer than about this while a long log is applied.
    constexpr Duration maxStepTime = std::chrono::milliseconds(10);
    // Limit for the age of a follower's state. Tolerates several late heartbeats of the leader and is far shorter than
    // the times within which changes must take effect on all instances.
    constexpr Duration maxStaleness = std::chrono::milliseconds(600);

    /// Stops the process. After a storage failure it is unknown which writes reached the disk, so continuing could
    /// violate votes or acknowledgements already given.
    [[noreturn]] inline void stopProcess(const std::string& message)
    {
        std::fprintf(stderr, "state on disk cannot be used, the process stops: %s\n", message.c_str());
        std::fflush(stderr);
        std::_Exit(EXIT_FAILURE);
    }

    template <typename T>
    [[nodiscard]] T valueOrStop(storage::StorageResult<T> result)
    {
        if (!result)
            stopProcess(result.error().message());
        return std::move(*result);
    }

}

template <typename Machine>
Group<Machine>::Group(asio::io_context& io, GroupOptions options, Machine& machine, transport::PeerClient& client)
    : m_io(io)
    , m_options(std::move(options))
    , m_machine(machine)
    , m_client(client)
    , m_files(internal::valueOrStop(storage::PosixFileSystem::openFolder(m_options.dataFolder)))
    , m_contactFile(m_files, !m_store.hasIdentity(), m_clock.now())
    , m_random(std::random_device {}())
    , m_tickTimer(io)
    , m_snapshots(m_options.snapshotIntervalBytes, m_random.uniform())
{
    static_assert(StateMachine<Machine>);
    const InstanceId newIdentity = formatIdentity({ m_options.name, m_options.address, randomHex(internal::folderIdBytes) });
    auto loaded = internal::valueOrStop(m_store.load(newIdentity.value()));
    m_identity = InstanceId(loaded.identity);
    m_log.info("data folder of {}: {} records, snapshot at {}, term {}, torn tail of {} bytes", m_identity, loaded.records.size(), loaded.snapshot.index, loaded.vote.term, loaded.cutBytes);
    m_node = std::make_unique<Node>(m_store, m_random, m_options.raft, std::move(loaded), m_clock.now());
    const DiscoveryOptions discovery { m_options.address, m_options.seeds, m_options.mayBootstrap };
    m_discovery = std::make_unique<Discovery<Node, storage::PosixFileSystem>>(io, client, m_identity, *m_node, m_contactFile, discovery);
}

template <typename Machine>
void Group<Machine>::registerHandlers(transport::PeerServer& server)
{
    using transport::PeerRequest;
    using transport::PeerResponder;
    server.handleDeferred("raft", [this](PeerRequest request, const PeerResponder& respond) {
        asio::post(m_io, [this, body = std::move(request.body)] {
            const auto envelope = codec::decode<control::RaftEnvelope>(body);
            if (!envelope)
                return m_log.warning("Raft message from a peer cannot be decoded: {}", envelope.error().message());
            for (const auto& message : envelope->messages)
                m_node->receive(envelope->from, message, m_clock.now());
            scheduleStep();
        });
        respond(std::string());
    });
    server.handleDeferred("join", [this](PeerRequest request, PeerResponder respond) {
        asio::post(m_io, [this, body = std::move(request.body), respond = std::move(respond)] {
            if (const auto join = codec::decode<control::JoinRequest>(body))
                handleJoin(join->identity);
            respond(std::string());
        });
    });
    m_discovery->registerHandlers(server);
}

template <typename Machine>
void Group<Machine>::start()
{
    m_lastLeaderSeen = m_clock.now();
    scheduleStep();
    tick();
}

template <typename Machine>
void Group<Machine>::tick()
{
    m_node->tick(m_clock.now());
    step();
    if (m_clock.now() >= m_nextMaintenance)
        runMaintenance();
    m_tickTimer.expires_after(internal::tickInterval);
    m_tickTimer.async_wait([this](std::error_code error) {
        if (!error)
            tick();
    });
}

template <typename Machine>
void Group<Machine>::scheduleStep()
{
    if (std::exchange(m_isStepScheduled, true))
        return;
    asio::post(m_io, [this] {
        m_isStepScheduled = false;
        step();
    });
}

/// Sends the messages and applies the entries of one Ready. Returns false if there was none.
template <typename Machine>
bool Group<Machine>::processReady()
{
    auto ready = m_node->takeReady();
    if (!ready)
        internal::stopProcess(ready.error().message);
    if (ready->empty())
        return false;
    if (ready->snapshot) {
        if (!m_machine.restore(ready->snapshot->bytes))
            internal::stopProcess("the state machine snapshot cannot be read");
        m_appliedIndex = ready->snapshot->index;
        m_appliedTerm = ready->snapshot->term;
    }
    send(std::move(ready->messages));
    for (const auto& entry : ready->committed)
        apply(entry);
    return true;
}

template <typename Machine>
void Group<Machine>::step()
{
    const TimePoint end = m_clock.now() + internal::maxStepTime;
    while (processReady()) {
        if (m_clock.now() >= end) {
            scheduleStep();
            break;
        }
    }
    if (m_appliedIndex >= m_node->commitIndex())
        m_stateTime = m_node->caughtUpAt();
    failStaleProposals();
    notifyLeadershipChange();
    takeSnapshotIfDue();
}

template <typename Machine>
void Group<Machine>::apply(const consensus::LogEntry& entry)
{
    m_appliedIndex = entry.index;
    m_appliedTerm = entry.term;
    std::string reply;
    if (static_cast<consensus::EntryKind>(entry.kind) == consensus::EntryKind::Command) {
        reply = m_machine.apply(entry.data);
        m_snapshots.recordCommand(entry.data.size());
    }
    if (static_cast<consensus::EntryKind>(entry.kind) == consensus::EntryKind::Membership)
        m_nextMaintenance = m_clock.now(); // Between the steps of a replacement the group tolerates fewer losses.
    const auto [begin, end] = m_pendingProposals.equal_range(entry.index);
    std::vector<std::pair<ProposalCallback, bool>> completed;
    for (auto pending = begin; pending != end; ++pending)
        completed.emplace_back(std::move(pending->second.callback), pending->second.term == entry.term);
    m_pendingProposals.erase(begin, end);
    for (const auto& [callback, isSameTerm] : completed)
        callback(isSameTerm ? ProposalResult { ProposalStatus::Applied, reply } : ProposalResult { ProposalStatus::NotLeader, {} });
}

template <typename Machine>
void Group<Machine>::propose(std::string command, ProposalCallback callback)
{
    const auto position = m_node->propose(std::move(command), m_clock.now());
    if (!position) {
        const bool isNotLeader = position.error().code == consensus::RaftErrorCode::NotLeader;
        return callback({ isNotLeader ? ProposalStatus::NotLeader : ProposalStatus::Busy, {} });
    }
    m_pendingProposals.emplace(position->index, PendingProposal { position->term, std::move(callback) });
    scheduleStep();
}

template <typename Machine>
void Group<Machine>::failStaleProposals()
{
    if (m_pendingProposals.empty())
        return;
    std::vector<ProposalCallback> abandoned;
    std::erase_if(m_pendingProposals, [&](auto& entry) {
        if (isLeader() && entry.second.term == term())
            return false;
        abandoned.push_back(std::move(entry.second.callback));
        return true;
    });
    for (const auto& callback : abandoned)
        callback({ ProposalStatus::Unknown, {} });
}

template <typename Machine>
SnapshotStep Group<Machine>::nextSnapshotStep() const
{
    const std::size_t stateBytes = m_machine.snapshotSize();
    if (stateBytes > m_options.maxSnapshotBytes)
        return SnapshotStep::None;
    const consensus::Membership& membership = m_node->membership();
    const auto isBefore = [this](const InstanceId& id) { return id < m_identity; };
    const auto before = std::count_if(membership.voters.begin(), membership.voters.end(), isBefore) + std::count_if(membership.learners.begin(), membership.learners.end(), isBefore);
    return m_snapshots.next({ static_cast<std::size_t>(before), membership.voters.size() + membership.learners.size(), isLeader(), stateBytes });
}

template <typename Machine>
void Group<Machine>::takeSnapshotIfDue()
{
    if (nextSnapshotStep() == SnapshotStep::Take)
        takeSnapshot();
}

template <typename Machine>
void Group<Machine>::takeSnapshot()
{
    const TimePoint begin = m_clock.now();
    const std::string bytes = m_machine.snapshot();
    const auto taken = m_node->storeSnapshot(m_appliedIndex, bytes);
    if (!taken)
        internal::stopProcess(taken.error().message);
    m_snapshots.recordSnapshot(m_random.uniform());
    m_log.info("snapshot at entry {}: {} bytes, took-ms={} leads={}", m_appliedIndex, bytes.size(), (m_clock.now() - begin) / std::chrono::milliseconds(1), isLeader());
}

template <typename Machine>
void Group<Machine>::notifyLeadershipChange()
{
    const bool isLeading = isLeader() && m_appliedTerm == term();
    if (std::exchange(m_wasLeading, isLeading) == isLeading)
        return;
    m_log.info("{} leads in term {}: {}", m_identity, term(), isLeading ? "begin" : "end");
    if (m_onLeadershipChange)
        m_onLeadershipChange(isLeading);
}

template <typename Machine>
bool Group<Machine>::hasCurrentState() const
{
    return isLeader() && m_appliedTerm == term() && m_clock.now() < m_node->leaseEnd();
}

template <typename Machine>
bool Group<Machine>::hasRecentState() const
{
    if (isLeader())
        return hasCurrentState();
    return m_clock.now() - m_stateTime < internal::maxStaleness;
}

template <typename Machine>
void Group<Machine>::send(std::vector<consensus::RaftMessage> messages)
{
    std::set<InstanceId> receivers;
    for (consensus::RaftMessage& message : messages) {
        SendQueue& queue = m_sendQueues[message.to];
        // Messages dropped here are sent again by the Raft node.
        if (queue.messages.size() >= internal::maxQueuedMessages || queue.queuedBytes >= internal::maxQueuedBytes)
            continue;
        receivers.insert(message.to);
        queue.queuedBytes += internal::payloadBytes(message);
        queue.messages.push_back(std::move(message));
    }
    for (const InstanceId& to : receivers)
        sendQueued(to);
}

template <typename Machine>
void Group<Machine>::sendQueued(const InstanceId& to)
{
    SendQueue& queue = m_sendQueues[to];
    if (queue.isRequestInFlight || queue.messages.empty())
        return;
    const auto parts = parseIdentity(to);
    const control::RaftEnvelope envelope { m_identity, std::exchange(queue.messages, {}) };
    if (!parts)
        return;
    queue.queuedBytes = 0;
    queue.isRequestInFlight = true;
    m_client.send(parts->address, "raft", codec::encode(envelope), m_clock.now() + internal::raftMessageDeadline, [this, to](const transport::CallResult& result) {
        asio::post(m_io, [this, to, isSent = result.has_value()] {
            SendQueue& sendQueue = m_sendQueues[to];
            sendQueue.isRequestInFlight = false;
            if (isSent)
                return sendQueued(to);
            sendQueue.messages.clear(); // The participant is unreachable. The queued messages would be outdated when it returns.
            sendQueue.queuedBytes = 0;
        });
    });
}

}
