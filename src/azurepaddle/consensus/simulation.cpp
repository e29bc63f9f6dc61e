#include "azurepaddle/consensus/simulation.hpp"

#include <algorithm>
#include <charconv>

namespace azurepaddle::consensus {

namespace {

    constexpr std::size_t digestBytes = 16;

    std::string nextDigest(const std::string& digest, const LogEntry& entry)
    {
        // The hash need not be cryptographic: it only distinguishes the logs of one run.
        const std::size_t hash = std::hash<std::string> {}(digest + codec::encode(entry));
        return fmt::format("{:016x}", hash);
    }

}

SimulatedCluster::SimulatedCluster(std::uint64_t seed, std::size_t count, std::size_t voters, const SimulationSettings& settings)
    : m_settings(settings)
    , m_random(seed)
    , m_hosts(count)
    , m_nextTick(m_now)
{
    Membership membership;
    for (std::size_t i = 0; i < count; ++i) {
        m_hosts[i].files = std::make_unique<storage::MemoryFileSystem>(m_random.next());
        m_hosts[i].clockSpeed = 1.0 + m_settings.clockDrift * (2 * m_random.uniform() - 1);
        m_hosts[i].clockOffset = std::chrono::seconds(m_random.below(1000));
        start(i);
        if (i < voters)
            membership.voters.insert(m_hosts[i].identity);
    }
    for (std::size_t i = 0; i < voters; ++i) {
        if (!m_hosts[i].node->bootstrap(membership))
            recordViolation("the group cannot be bootstrapped");
    }
}

TimePoint SimulatedCluster::localNow(const Host& host) const
{
    const auto local = static_cast<double>(m_now.time_since_epoch().count()) * host.clockSpeed;
    return TimePoint(Duration(static_cast<Duration::rep>(local)) + host.clockOffset);
}

std::optional<std::size_t> SimulatedCluster::hostOf(const InstanceId& identity) const
{
    const std::string& name = identity.value();
    std::size_t host = 0;
    const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), host);
    if (error != std::errc {} || host >= m_hosts.size())
        return std::nullopt;
    return host;
}

void SimulatedCluster::recordViolation(std::string violation)
{
    if (m_violation.empty())
        m_violation = std::move(violation);
}

void SimulatedCluster::start(std::size_t index)
{
    Host& host = m_hosts[index];
    host.store = std::make_unique<Store>(*host.files);
    auto loaded = host.store->load(fmt::format("{}-{}", index, ++host.startCount));
    if (!loaded) {
        if (!host.files->isCrashed())
            recordViolation(fmt::format("host {} cannot load: {}", index, loaded.error().message()));
        return stop(index);
    }
    host.identity = InstanceId(loaded->identity);
    host.appliedIndex = 0;
    host.appliedTerm = 0;
    host.snapshotIndex = 0;
    host.digest.clear();
    host.proposed.clear();
    host.random = std::make_unique<Random>(m_random.next());
    host.node = std::make_unique<Node>(*host.store, *host.random, m_settings.raft, std::move(*loaded), localNow(host));
    processReady(index);
}

void SimulatedCluster::stop(std::size_t index)
{
    Host& host = m_hosts[index];
    host.files->crash();
    host.node.reset();
    host.store.reset();
}

void SimulatedCluster::run(Duration time)
{
    const TimePoint end = m_now + time;
    while (m_violation.empty() && (m_now < end))
        step();
}

bool SimulatedCluster::runUntil(const std::function<bool()>& condition, Duration limit)
{
    const TimePoint end = m_now + limit;
    while (m_violation.empty() && m_now < end) {
        if (condition())
            return m_violation.empty();
        step();
    }
    return false;
}

void SimulatedCluster::step()
{
    if (!m_events.empty() && m_events.top().time <= m_nextTick) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, event.time);
        return deliver(event);
    }
    m_now = m_nextTick;
    m_nextTick += m_settings.tickInterval;
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        if (!isRunning(m_hosts[i]))
            continue;
        m_hosts[i].node->tick(localNow(m_hosts[i]));
        processReady(i);
    }
}

void SimulatedCluster::deliver(const Event& event)
{
    Host& host = m_hosts[event.host];
    if (!host.node)
        return;
    if (!isRunning(host)) {
        Event deferred = event;
        deferred.time = host.pausedUntil;
        deferred.sequence = m_nextSequence++;
        m_events.push(std::move(deferred));
        return;
    }
    // The message is encoded and decoded so that the simulation covers the codec.
    const auto message = codec::decode<RaftMessage>(codec::encode(event.message));
    if (!message || *message != event.message)
        return recordViolation("a message changes when it is encoded and decoded");
    ++m_deliveredMessages;
    host.node->receive(event.from, *message, localNow(host));
    processReady(event.host);
}

void SimulatedCluster::processReady(std::size_t index)
{
    while (m_violation.empty()) {
        Host& host = m_hosts[index];
        auto ready = host.node->takeReady();
        if (!ready)
            return stop(index);
        checkLeaders(index);
        if (ready->empty())
            return checkFreshness(index);
        if (ready->snapshot)
            install(index, *ready->snapshot);
        for (const LogEntry& entry : ready->committed)
            apply(index, entry);
        for (const ReadResult& result : ready->reads)
            checkReadResult(index, result);
        for (const RaftMessage& message : ready->messages)
            sendMessage(index, message);
        takeSnapshot(index);
    }
}

void SimulatedCluster::apply(std::size_t index, const LogEntry& entry)
{
    Host& host = m_hosts[index];
    if (entry.index != host.appliedIndex + 1)
        recordViolation(fmt::format("host {} applies entry {} after {}", index, entry.index, host.appliedIndex));
    host.appliedIndex = entry.index;
    host.appliedTerm = entry.term;
    host.digest = nextDigest(host.digest, entry);
    const auto [known, isNew] = m_digests.try_emplace(entry.index, host.digest);
    if (known->second != host.digest)
        recordViolation(fmt::format("host {} applies a different entry at index {}", index, entry.index));
    if (host.proposed.erase({ entry.index, entry.term }) > 0)
        recordAcknowledgement(entry.index);
}

void SimulatedCluster::install(std::size_t index, const ApplicationSnapshot& snapshot)
{
    Host& host = m_hosts[index];
    if (snapshot.index < host.appliedIndex)
        recordViolation(fmt::format("host {} installs an older snapshot at entry {}", index, snapshot.index));
    const auto known = m_digests.find(snapshot.index);
    const std::string digest = snapshot.bytes.substr(0, digestBytes);
    if (known == m_digests.end() || known->second != digest)
        recordViolation(fmt::format("host {} installs a different state at entry {}", index, snapshot.index));
    host.appliedIndex = snapshot.index;
    host.appliedTerm = snapshot.term;
    host.snapshotIndex = snapshot.index;
    host.digest = digest;
    ++m_installedSnapshots;
}

void SimulatedCluster::checkReadResult(std::size_t index, const ReadResult& result)
{
    const auto pendingRead = m_reads.extract(result.id);
    if (pendingRead.empty())
        return recordViolation(fmt::format("read {} has no pending request or is answered twice", result.id));
    if (!result.isConfirmed)
        return;
    ++m_confirmedReads;
    if (result.index < pendingRead.mapped() || m_hosts[index].appliedIndex < result.index)
        recordViolation(fmt::format("host {} confirms a read at index {}, but entry {} was acknowledged before", index, result.index, pendingRead.mapped()));
}

void SimulatedCluster::sendMessage(std::size_t from, const RaftMessage& message)
{
    const auto to = hostOf(message.to);
    if (!to || m_blocked.contains({ from, *to }) || m_random.chance(m_settings.lossChance))
        return;
    const int copies = m_random.chance(m_settings.duplicateChance) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const bool isLongDelay = m_random.chance(m_settings.longDelayChance);
        const auto delayRange = static_cast<double>((isLongDelay ? m_settings.maxLongDelay : m_settings.maxDelay - m_settings.minDelay).count());
        const Duration delay = m_settings.minDelay + Duration(static_cast<Duration::rep>(m_random.uniform() * delayRange));
        m_events.push({ m_now + delay, m_nextSequence++, m_hosts[from].identity, *to, message });
    }
}

void SimulatedCluster::takeSnapshot(std::size_t index)
{
    Host& host = m_hosts[index];
    if (m_settings.snapshotInterval == 0 || host.appliedIndex < host.snapshotIndex + m_settings.snapshotInterval)
        return;
    host.snapshotIndex = host.appliedIndex;
    // The padding makes the snapshot span several chunks, so that a transfer can be interrupted.
    const std::string bytes = host.digest + std::string(2 * m_settings.raft.snapshotChunkBytes, 's');
    (void)host.node->storeSnapshot(host.appliedIndex, bytes);
}

void SimulatedCluster::checkLeaders(std::size_t index)
{
    const RaftStatus status = m_hosts[index].node->status();
    if (status.role != RaftRole::Leader)
        return;
    const auto [known, isNew] = m_leaders.try_emplace(status.term, status.id);
    if (known->second != status.id)
        recordViolation(fmt::format("{} and {} are both leader in term {}", known->second, status.id, status.term));
    // Leases are only valid if the clocks stay within the assumed drift. All other guarantees hold for any clocks.
    if (!isNew || 2 * m_settings.clockDrift > m_settings.raft.clockDrift)
        return;
    for (const Host& other : m_hosts) {
        if (!other.node || other.identity == status.id)
            continue;
        const RaftStatus old = other.node->status();
        // A paused candidate may still win the election of its old term, but it cannot commit entries in that term.
        if (old.role == RaftRole::Leader && old.term < status.term && old.leaseEnd > localNow(other))
            recordViolation(fmt::format("{} is elected during the lease of {}", status.id, old.id));
    }
}

void SimulatedCluster::recordAcknowledgement(std::uint64_t index)
{
    if (index <= m_ackedIndex)
        return;
    m_ackedIndex = index;
    m_acknowledgements[m_now] = index;
}

/// The highest index that was acknowledged until a time.
std::uint64_t SimulatedCluster::ackedIndexAt(TimePoint time) const
{
    const auto later = m_acknowledgements.upper_bound(time);
    return later == m_acknowledgements.begin() ? 0 : std::prev(later)->second;
}

/// Checks that a host has applied everything that was acknowledged until the time for which it claims so.
void SimulatedCluster::checkFreshness(std::size_t index)
{
    const Host& host = m_hosts[index];
    if (!m_settings.checksFreshness)
        return;
    const bool isCurrentLeader = host.node->role() == RaftRole::Leader && host.appliedTerm == host.node->term() && localNow(host) < host.node->leaseEnd();
    const TimePoint claimed = isCurrentLeader ? m_now : virtualTime(host, host.node->caughtUpAt());
    const std::uint64_t acked = ackedIndexAt(claimed);
    if (host.appliedIndex < acked)
        recordViolation(fmt::format("host {} counts its state as recent with entry {} in term {}, but entry {} was acknowledged before", index, host.appliedIndex, host.node->term(), acked));
}

bool SimulatedCluster::proposeCommand(Host& host, std::size_t bytes)
{
    std::string command = fmt::format("{}:", ++m_nextCommand);
    command.resize(std::max(bytes, command.size()), 'c');
    const auto position = host.node->propose(std::move(command), localNow(host));
    if (position)
        host.proposed.insert(*position);
    return position.has_value();
}

bool SimulatedCluster::propose(std::size_t index, std::size_t bytes)
{
    if (!isRunning(m_hosts[index]))
        return false;
    const bool isAccepted = proposeCommand(m_hosts[index], bytes);
    processReady(index);
    return isAccepted;
}

void SimulatedCluster::proposeMany(std::size_t index, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        (void)proposeCommand(m_hosts[index], 16);
    processReady(index);
}

bool SimulatedCluster::proposeChange(std::size_t index, const MembershipChange& change)
{
    Host& host = m_hosts[index];
    if (!isRunning(host))
        return false;
    const auto position = host.node->proposeChange(change, localNow(host));
    if (position)
        host.proposed.insert(*position);
    processReady(index);
    return position.has_value();
}

void SimulatedCluster::requestRead(std::size_t index)
{
    Host& host = m_hosts[index];
    if (!isRunning(host))
        return;
    const std::uint64_t id = ++m_nextCommand;
    m_reads[id] = m_ackedIndex;
    host.node->requestRead(id, localNow(host));
    processReady(index);
}

bool SimulatedCluster::transferLeadership(std::size_t from, std::size_t to)
{
    Host& host = m_hosts[from];
    if (!isRunning(host))
        return false;
    const auto accepted = host.node->transferLeadership(m_hosts[to].identity, localNow(host));
    processReady(from);
    return accepted.has_value();
}

void SimulatedCluster::crash(std::size_t host)
{
    if (isUp(host))
        stop(host);
}

void SimulatedCluster::crashDuringDiskOperation(std::size_t host, std::uint64_t operations)
{
    m_hosts[host].files->crashAfter(operations);
}

void SimulatedCluster::restart(std::size_t host)
{
    if (isUp(host))
        return;
    m_hosts[host].files->restart();
    m_hosts[host].pausedUntil = m_now;
    start(host);
}

void SimulatedCluster::replaceDisk(std::size_t host)
{
    m_hosts[host].files->restart();
    m_hosts[host].files->wipe();
}

void SimulatedCluster::pause(std::size_t host, Duration time)
{
    m_hosts[host].pausedUntil = m_now + time;
}

void SimulatedCluster::block(std::size_t from, std::size_t to)
{
    m_blocked.insert({ from, to });
}

void SimulatedCluster::isolate(std::size_t host)
{
    for (std::size_t other = 0; other < m_hosts.size(); ++other) {
        block(host, other);
        block(other, host);
    }
}

std::optional<std::size_t> SimulatedCluster::leader() const
{
    std::optional<std::size_t> found;
    std::uint64_t highest = 0;
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        if (!isRunning(m_hosts[i]))
            continue;
        const RaftStatus status = m_hosts[i].node->status();
        if (status.role == RaftRole::Leader && status.term > highest) {
            found = i;
            highest = status.term;
        }
    }
    return found;
}

bool SimulatedCluster::hasConverged() const
{
    const auto leaderHost = leader();
    if (!leaderHost)
        return false;
    const RaftStatus status = m_hosts[*leaderHost].node->status();
    return std::all_of(m_hosts.begin(), m_hosts.end(), [&](const Host& host) {
        return !host.node || !status.membership.contains(host.identity) || host.appliedIndex >= std::max(m_ackedIndex, status.commitIndex);
    });
}

}
