#include "azurepaddle/consensus/simulation.hpp"

#include <algorithm>
#include <charconv>

namespace azurepaddle::consensus {

namespace {

    constexpr std::size_t stateBytes = 16;

    std::string nextState(const std::string& state, const LogEntry& entry)
    {
        // The hash need not be strong: it only has to tell apart different logs of one run.
        const std::size_t hash = std::hash<std::string> {}(state + codec::encode(entry));
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
            report("the group could not be founded");
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

void SimulatedCluster::report(std::string violation)
{
    if (m_violation.empty())
        m_violation = std::move(violation);
}

void SimulatedCluster::start(std::size_t index)
{
    Host& host = m_hosts[index];
    host.store = std::make_unique<Store>(*host.files);
    auto loaded = host.store->load(fmt::format("{}-{}", index, ++host.generation));
    if (!loaded) {
        if (!host.files->isCrashed())
            report(fmt::format("host {} cannot load: {}", index, loaded.error().message()));
        return stop(index);
    }
    host.identity = InstanceId(loaded->identity);
    host.appliedIndex = 0;
    host.snapshotIndex = 0;
    host.state.clear();
    host.proposed.clear();
    host.random = std::make_unique<Random>(m_random.next());
    host.node = std::make_unique<Node>(*host.store, *host.random, m_settings.raft, std::move(*loaded), localNow(host));
    pump(index);
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
        if (!isAwake(m_hosts[i]))
            continue;
        m_hosts[i].node->tick(localNow(m_hosts[i]));
        pump(i);
    }
}

void SimulatedCluster::deliver(const Event& event)
{
    Host& host = m_hosts[event.host];
    if (!host.node)
        return;
    if (!isAwake(host)) {
        Event later = event;
        later.time = host.awakeAt;
        later.sequence = m_nextSequence++;
        m_events.push(std::move(later));
        return;
    }
    // The encoding is part of what is simulated.
    const auto message = codec::decode<RaftMessage>(codec::encode(event.message));
    if (!message || *message != event.message)
        return report("a message changes when it is encoded");
    ++m_delivered;
    host.node->receive(event.from, *message, localNow(host));
    pump(event.host);
}

void SimulatedCluster::pump(std::size_t index)
{
    while (m_violation.empty()) {
        Host& host = m_hosts[index];
        auto ready = host.node->takeReady();
        if (!ready)
            return stop(index);
        checkLeaders(index);
        if (ready->empty())
            return;
        if (ready->snapshot)
            install(index, *ready->snapshot);
        for (const LogEntry& entry : ready->committed)
            apply(index, entry);
        for (const ReadResult& result : ready->reads)
            answer(index, result);
        for (const RaftMessage& message : ready->messages)
            sendMessage(index, message);
        takeSnapshot(index);
    }
}

void SimulatedCluster::apply(std::size_t index, const LogEntry& entry)
{
    Host& host = m_hosts[index];
    if (entry.index != host.appliedIndex + 1)
        report(fmt::format("host {} applies entry {} after {}", index, entry.index, host.appliedIndex));
    host.appliedIndex = entry.index;
    host.state = nextState(host.state, entry);
    const auto [known, isNew] = m_states.try_emplace(entry.index, host.state);
    if (known->second != host.state)
        report(fmt::format("host {} applies another entry {}", index, entry.index));
    if (host.proposed.erase({ entry.index, entry.term }) > 0)
        m_ackedIndex = std::max(m_ackedIndex, entry.index);
}

void SimulatedCluster::install(std::size_t index, const ApplicationSnapshot& snapshot)
{
    Host& host = m_hosts[index];
    if (snapshot.index < host.appliedIndex)
        report(fmt::format("host {} goes back to entry {}", index, snapshot.index));
    const auto known = m_states.find(snapshot.index);
    const std::string state = snapshot.bytes.substr(0, stateBytes);
    if (known == m_states.end() || known->second != state)
        report(fmt::format("host {} installs another state at entry {}", index, snapshot.index));
    host.appliedIndex = snapshot.index;
    host.snapshotIndex = snapshot.index;
    host.state = state;
    ++m_installedSnapshots;
}

void SimulatedCluster::answer(std::size_t index, const ReadResult& result)
{
    const auto asked = m_reads.extract(result.id);
    if (asked.empty())
        return report(fmt::format("read {} is answered twice", result.id));
    if (!result.isConfirmed)
        return;
    ++m_confirmedReads;
    if (result.index < asked.mapped() || m_hosts[index].appliedIndex < result.index)
        report(fmt::format("host {} reads at {} what was acknowledged at {}", index, result.index, asked.mapped()));
}

void SimulatedCluster::sendMessage(std::size_t from, const RaftMessage& message)
{
    const auto to = hostOf(message.to);
    if (!to || m_blocked.contains({ from, *to }) || m_random.chance(m_settings.lossChance))
        return;
    const int copies = m_random.chance(m_settings.duplicateChance) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const bool isLate = m_random.chance(m_settings.lateChance);
        const auto spread = static_cast<double>((isLate ? m_settings.maxLateness : m_settings.maxDelay - m_settings.minDelay).count());
        const Duration delay = m_settings.minDelay + Duration(static_cast<Duration::rep>(m_random.uniform() * spread));
        m_events.push({ m_now + delay, m_nextSequence++, m_hosts[from].identity, *to, message });
    }
}

void SimulatedCluster::takeSnapshot(std::size_t index)
{
    Host& host = m_hosts[index];
    if (m_settings.snapshotInterval == 0 || host.appliedIndex < host.snapshotIndex + m_settings.snapshotInterval)
        return;
    host.snapshotIndex = host.appliedIndex;
    // Several parts, so that a transfer can be interrupted.
    const std::string bytes = host.state + std::string(2 * m_settings.raft.snapshotPartBytes, 's');
    (void)host.node->storeSnapshot(host.appliedIndex, bytes);
}

void SimulatedCluster::checkLeaders(std::size_t index)
{
    const RaftStatus status = m_hosts[index].node->status();
    if (status.role != RaftRole::Leader)
        return;
    const auto [known, isNew] = m_leaders.try_emplace(status.term, status.id);
    if (known->second != status.id)
        report(fmt::format("{} and {} lead in term {}", known->second, status.id, status.term));
    // A lease holds only for clocks within the assumed drift. Everything else holds for any clocks.
    if (!isNew || 2 * m_settings.clockDrift > m_settings.raft.clockDrift)
        return;
    for (const Host& other : m_hosts) {
        if (!other.node || other.identity == status.id)
            continue;
        const RaftStatus old = other.node->status();
        // A candidate that slept may still win its old term. It cannot commit there.
        if (old.role == RaftRole::Leader && old.term < status.term && old.leaseEnd > localNow(other))
            report(fmt::format("{} is elected during the lease of {}", status.id, old.id));
    }
}

bool SimulatedCluster::append(Host& host, std::size_t bytes)
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
    if (!isAwake(m_hosts[index]))
        return false;
    const bool isAccepted = append(m_hosts[index], bytes);
    pump(index);
    return isAccepted;
}

void SimulatedCluster::proposeMany(std::size_t index, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        (void)append(m_hosts[index], 16);
    pump(index);
}

bool SimulatedCluster::change(std::size_t index, const MembershipChange& change)
{
    Host& host = m_hosts[index];
    if (!isAwake(host))
        return false;
    const auto position = host.node->proposeChange(change, localNow(host));
    if (position)
        host.proposed.insert(*position);
    pump(index);
    return position.has_value();
}

void SimulatedCluster::read(std::size_t index)
{
    Host& host = m_hosts[index];
    if (!isAwake(host))
        return;
    const std::uint64_t id = ++m_nextCommand;
    m_reads[id] = m_ackedIndex;
    host.node->requestRead(id, localNow(host));
    pump(index);
}

bool SimulatedCluster::transfer(std::size_t from, std::size_t to)
{
    Host& host = m_hosts[from];
    if (!isAwake(host))
        return false;
    const auto accepted = host.node->transferLeadership(m_hosts[to].identity, localNow(host));
    pump(from);
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
    m_hosts[host].awakeAt = m_now;
    start(host);
}

void SimulatedCluster::wipe(std::size_t host)
{
    m_hosts[host].files->restart();
    m_hosts[host].files->wipe();
}

void SimulatedCluster::sleep(std::size_t host, Duration time)
{
    m_hosts[host].awakeAt = m_now + time;
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
        if (!isAwake(m_hosts[i]))
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
    const auto lead = leader();
    if (!lead)
        return false;
    const RaftStatus status = m_hosts[*lead].node->status();
    return std::all_of(m_hosts.begin(), m_hosts.end(), [&](const Host& host) {
        return !host.node || !status.membership.contains(host.identity) || host.appliedIndex >= std::max(m_ackedIndex, status.commitIndex);
    });
}

}
