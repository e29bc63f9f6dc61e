#include "azurepaddle/control/group.hpp"

#include "azurepaddle/core/digest.hpp"

#include <cstdio>
#include <cstdlib>

namespace azurepaddle::control {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(10);
    constexpr Duration raftMessageTimeout = std::chrono::seconds(2);
    constexpr Duration timeCommandInterval = std::chrono::seconds(1);
    constexpr Duration leadershipTransferTimeout = std::chrono::milliseconds(600);
    constexpr std::size_t identityBytes = 6;
    constexpr std::size_t randomSeedDigits = 15;

    /// Stops the process. It is unknown what reached the disk, and continuing on an assumption could contradict what
    /// this participant has acknowledged.
    [[noreturn]] void stopProcess(const std::string& message)
    {
        std::fprintf(stderr, "control state on disk cannot be used, the process stops: %s\n", message.c_str());
        std::fflush(stderr);
        std::_Exit(EXIT_FAILURE);
    }

    template <typename T>
    T valueOrStop(storage::StorageResult<T> result)
    {
        if (!result)
            stopProcess(result.error().message());
        return std::move(*result);
    }

}

ControlGroup::ControlGroup(GroupOptions options, transport::PeerClient& client)
    : m_options(std::move(options))
    , m_client(client)
    , m_files(valueOrStop(storage::PosixFileSystem::openFolder(m_options.dataFolder)))
    , m_random(std::stoull(randomHex(sizeof(std::uint64_t)).substr(0, randomSeedDigits), nullptr, 16))
{
    auto loaded = valueOrStop(m_store.load(m_options.name + "." + randomHex(identityBytes)));
    m_identity = InstanceId(loaded.identity);
    if (instanceNameOf(m_identity) != m_options.name)
        stopProcess(fmt::format("the data folder belongs to identity {}, not to instance {}", m_identity, m_options.name));
    m_log.info("data folder of {}: {} log records, snapshot at index {}, term {}{}", m_identity, loaded.records.size(), loaded.snapshot.index, loaded.vote.term,
        loaded.cutBytes > 0 ? fmt::format(", torn tail of {} bytes removed", loaded.cutBytes) : "");
    m_node = std::make_unique<Node>(m_store, m_random, m_options.raft, std::move(loaded), m_clock.now());
}

ControlGroup::~ControlGroup()
{
    stop();
}

void ControlGroup::registerHandlers(transport::PeerServer& server)
{
    using Request = transport::PeerRequest;
    using Reply = transport::PeerReply;
    // A single thread preserves the order of the messages from each sender.
    server.handle(
        "raft", [this](const Request& request) -> Reply {
            const auto envelope = codec::decode<RaftEnvelope>(request.body);
            if (!envelope)
                return tl::unexpected(envelope.error().message());
            const std::lock_guard lock(m_mutex);
            for (const auto& message : envelope->messages)
                m_node->receive(envelope->from, message, m_clock.now());
            m_hasWork = true;
            m_workAvailable.notify_one();
            return std::string();
        },
        { 1, 4096 });
    server.handle("submit", [this](const Request& request) -> Reply { return codec::encode(submit(request.body, request.deadline)); }, { 64, 4096 });
    server.handle("read", [this](const Request& request) -> Reply { return codec::encode(read(request.body, request.deadline)); }, { 16, 4096 });
    server.handle("introduce", [this](const Request&) -> Reply { return codec::encode(handleIntroduce()); });
    server.handle("join", [this](const Request& request) -> Reply {
        const auto join = codec::decode<JoinRequest>(request.body);
        if (!join)
            return tl::unexpected(join.error().message());
        addLearner(join->identity);
        return std::string();
    });
}

void ControlGroup::start()
{
    m_thread = std::thread([this] { run(); });
}

void ControlGroup::stop()
{
    {
        std::unique_lock lock(m_mutex);
        if (m_isStopping)
            return;
        const auto status = m_node->status();
        if (status.role == consensus::RaftRole::Leader) {
            for (const InstanceId& voter : status.membership.voters) {
                if (voter != m_identity && m_node->transferLeadership(voter, m_clock.now()))
                    break;
            }
            m_hasWork = true;
            m_workAvailable.notify_one();
            m_stepDone.wait_for(lock, leadershipTransferTimeout, [&] { return m_node->status().role != consensus::RaftRole::Leader; });
        }
        m_isStopping = true;
        m_workAvailable.notify_one();
    }
    if (m_thread.joinable())
        m_thread.join();
}

void ControlGroup::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        m_workAvailable.wait_for(lock, tickInterval, [&] { return m_hasWork || m_isStopping; });
        m_hasWork = false;
        step(lock);
    }
    for (const auto& [index, pending] : m_pendingCommands)
        *pending = { 0, true, { GroupStatus::OutcomeUnknown, {}, {} } };
    for (const auto& [id, read] : m_pendingReads)
        *read.second = { 0, true, { GroupStatus::NotLeader, {}, {} } };
    m_stepDone.notify_all();
}

void ControlGroup::step(std::unique_lock<std::mutex>& lock)
{
    const TimePoint now = m_clock.now();
    m_node->tick(now);
    if (now >= m_nextTimeCommand && m_node->status().role == consensus::RaftRole::Leader) {
        // Leases and retention windows expire by the time in commands, so an idle log needs commands at regular
        // intervals.
        const LogTime wallTime = m_clock.wallNow().time_since_epoch().count();
        static_cast<void>(m_node->propose(encodeCommand({ CommandId(randomHex(identityBytes)), wallTime, wallTime, AdvanceTime {} }), now));
        m_nextTimeCommand = now + timeCommandInterval;
    }
    for (;;) {
        auto ready = m_node->takeReady();
        if (!ready)
            stopProcess(ready.error().message);
        if (ready->empty())
            break;
        if (ready->snapshot) {
            const auto restored = m_state.restore(ready->snapshot->bytes);
            if (!restored)
                stopProcess("the snapshot cannot be decoded: " + restored.error().message());
            m_appliedIndex = ready->snapshot->index;
            m_snapshotIndex = m_appliedIndex;
        }
        for (const auto& entry : ready->committed)
            apply(entry);
        for (const auto& result : ready->reads)
            completeRead(result);
        send(ready->messages);
    }
    failCommandsOfOldTerms();
    takeSnapshotIfDue();
    if (now >= m_nextMaintenance)
        maintainMembership(lock);
    m_stepDone.notify_all();
}

void ControlGroup::apply(const consensus::LogEntry& entry)
{
    m_appliedIndex = entry.index;
    GroupReply reply { GroupStatus::OutcomeUnknown, {}, {} };
    if (static_cast<consensus::EntryKind>(entry.kind) == consensus::EntryKind::Command) {
        const auto command = decodeCommand(entry.data);
        if (!command)
            stopProcess(fmt::format("log entry {} cannot be decoded: {}", entry.index, command.error().message()));
        reply = { GroupStatus::Ok, encodeReply(m_state.apply(*command)), {} };
    }
    const auto [begin, end] = m_pendingCommands.equal_range(entry.index);
    for (auto pending = begin; pending != end; ++pending) {
        const bool isSameTerm = pending->second->term == entry.term;
        pending->second->reply = isSameTerm ? reply : GroupReply { GroupStatus::OutcomeUnknown, {}, {} };
        pending->second->isDone = true;
    }
    m_pendingCommands.erase(begin, end);
}

void ControlGroup::completeRead(const consensus::ReadResult& result)
{
    const auto found = m_pendingReads.find(result.id);
    if (found == m_pendingReads.end())
        return;
    auto& [query, pending] = found->second;
    pending->reply = result.isConfirmed ? GroupReply { GroupStatus::Ok, encodeAnswer(answerQuery(m_state, query)), {} } : notLeaderReply(result.leader);
    pending->isDone = true;
    m_pendingReads.erase(found);
}

void ControlGroup::failCommandsOfOldTerms()
{
    const auto status = m_node->status();
    std::erase_if(m_pendingCommands, [&](const auto& entry) {
        if (status.role == consensus::RaftRole::Leader && entry.second->term == status.term)
            return false;
        entry.second->reply = { GroupStatus::OutcomeUnknown, {}, instanceNameOf(status.leader) };
        entry.second->isDone = true;
        return true;
    });
}

void ControlGroup::takeSnapshotIfDue()
{
    if (m_appliedIndex < m_snapshotIndex + m_options.snapshotInterval)
        return;
    const auto stored = m_node->storeSnapshot(m_appliedIndex, m_state.snapshot());
    if (!stored)
        stopProcess(stored.error().message);
    m_snapshotIndex = m_appliedIndex;
}

void ControlGroup::send(const std::vector<consensus::RaftMessage>& messages)
{
    std::map<InstanceId, RaftEnvelope> envelopes;
    for (const auto& message : messages) {
        auto& envelope = envelopes[message.to];
        envelope.from = m_identity;
        envelope.messages.push_back(message);
    }
    for (const auto& [to, envelope] : envelopes) {
        const auto peer = m_options.peers.find(instanceNameOf(to));
        if (peer != m_options.peers.end())
            m_client.send(peer->second, "raft", codec::encode(envelope), m_clock.now() + raftMessageTimeout);
    }
}

GroupReply ControlGroup::notLeaderReply(const InstanceId& leader) const
{
    return { GroupStatus::NotLeader, {}, instanceNameOf(leader) };
}

GroupReply ControlGroup::waitForReply(std::unique_lock<std::mutex>& lock, const std::shared_ptr<PendingRequest>& pending, TimePoint deadline)
{
    m_hasWork = true;
    m_workAvailable.notify_one();
    while (!pending->isDone) {
        const TimePoint now = m_clock.now();
        if (now >= deadline)
            return { GroupStatus::OutcomeUnknown, {}, {} };
        m_stepDone.wait_for(lock, deadline - now);
    }
    return pending->reply;
}

GroupReply ControlGroup::submit(const std::string& encodedCommand, TimePoint deadline)
{
    auto command = decodeCommand(encodedCommand);
    if (!command)
        return { GroupStatus::Malformed, command.error().message(), {} };
    std::unique_lock lock(m_mutex);
    command->time = m_clock.wallNow().time_since_epoch().count();
    const auto position = m_node->propose(encodeCommand(*command), m_clock.now());
    if (!position) {
        if (position.error().code == consensus::RaftErrorCode::NotLeader)
            return notLeaderReply(position.error().leader);
        return { position.error().code == consensus::RaftErrorCode::TooLarge ? GroupStatus::Malformed : GroupStatus::Busy, position.error().message, {} };
    }
    auto pending = std::make_shared<PendingRequest>();
    pending->term = position->term;
    m_pendingCommands.emplace(position->index, pending);
    return waitForReply(lock, pending, deadline);
}

GroupReply ControlGroup::read(const std::string& encodedQuery, TimePoint deadline)
{
    auto query = decodeQuery(encodedQuery);
    if (!query)
        return { GroupStatus::Malformed, query.error().message(), {} };
    std::unique_lock lock(m_mutex);
    auto pending = std::make_shared<PendingRequest>();
    const std::uint64_t id = m_nextReadId++;
    m_pendingReads.emplace(id, std::make_pair(std::move(*query), pending));
    m_node->requestRead(id, m_clock.now());
    auto reply = waitForReply(lock, pending, deadline);
    m_pendingReads.erase(id);
    return reply;
}

ParticipantStatus ControlGroup::status()
{
    const std::lock_guard lock(m_mutex);
    return { m_node->status(), m_node->committedMembership(), m_state.now(), m_state.configurations().number(), m_state.claims().records().size(), m_state.runs().runs().size(), m_state.suspects().records().size() };
}

}
