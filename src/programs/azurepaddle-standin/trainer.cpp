#include "trainer.hpp"

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/random.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <unistd.h>

namespace azurepaddle::standin {

namespace {

    constexpr std::int64_t retryMs = 100;
    constexpr std::size_t sharedPrefixBytes = 512;

    std::int64_t elapsedMs(TimePoint since)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(SystemClock().now() - since).count();
    }

}

Trainer::Trainer(const TrainerOptions& options, InstanceAccess access)
    : m_options(options)
    , m_access(std::move(access))
    , m_checker(m_violations, options.staleness, options.expectsScores)
    , m_version(options.firstVersion)
    // A trainer that is started again must not repeat the number of an earlier pull.
    , m_pullNumber(static_cast<std::uint64_t>(SystemClock().wallNow().time_since_epoch().count()) * 1000)
{
    loadCursor();
}

Trainer::Group Trainer::makeGroup(std::uint64_t step, std::uint64_t number) const
{
    Random random(m_options.seed * 1000003 + step * 4099 + number);
    Group group { fmt::format("{}-{}-{}", m_options.prefix, step, number), step, {} };
    const std::string shared(sharedPrefixBytes, 's');
    group.expected.prompt = fmt::format("{} run {} group {} task {}", shared, m_options.run, group.id, random.next());
    group.expected.samples = m_options.groupSize;
    group.expected.tokens = random.chance(m_options.longFraction) ? m_options.longTokens : m_options.tokens;
    return group;
}

void Trainer::loadCursor()
{
    if (m_options.cursorFile.empty())
        return;
    std::ifstream file(m_options.cursorFile);
    std::string line;
    while (std::getline(file, line)) {
        const Json entry = Json::parse(line, nullptr, false);
        // A torn last line was never confirmed to the service.
        if (!entry.is_object())
            break;
        m_cursor = entry.at("cursor").get<std::uint64_t>();
        for (const Json& group : entry.at("groups")) {
            m_checker.markReceived(group.at("id").get<std::string>());
            ++m_groupsOfStep[group.at("step").get<std::uint64_t>()];
        }
    }
    m_cursorFile = ::open(m_options.cursorFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (m_cursorFile < 0)
        throw std::runtime_error("cannot write " + m_options.cursorFile);
    while (m_groupsOfStep.contains(m_consumedSteps) && m_groupsOfStep[m_consumedSteps] == m_options.stepGroups)
        ++m_consumedSteps;
    m_submittedSteps = m_consumedSteps;
}

void Trainer::saveCursor(const Delivery& delivery)
{
    if (m_cursorFile < 0)
        return;
    Json groups = Json::array();
    for (const std::string& id : delivery.groups)
        groups.push_back({ { "id", id }, { "step", m_stepOfGroup[id] } });
    const std::string line = Json { { "cursor", delivery.cursor }, { "groups", groups } }.dump() + "\n";
    if (::write(m_cursorFile, line.data(), line.size()) != static_cast<ssize_t>(line.size()) || ::fdatasync(m_cursorFile) != 0)
        throw std::runtime_error("cannot write " + m_options.cursorFile);
}

void Trainer::run()
{
    const TimePoint start = SystemClock().now();
    std::thread versions([this] { announceVersions(); });
    std::thread submitter([this] { submitGroups(); });
    std::thread puller([this] { pullSamples(); });
    std::thread consumer([this] { consumeSteps(); });
    consumer.join();
    stop();
    puller.join();
    submitter.join();
    versions.join();
    m_elapsedMs = elapsedMs(start);
}

void Trainer::submitGroups()
{
    InstanceCaller instances(m_access, {});
    std::unique_lock lock(m_mutex);
    while (!m_isStopping && m_submittedSteps < m_options.steps) {
        if (m_submittedSteps > m_consumedSteps + m_options.stepsAhead) {
            m_changed.wait(lock);
            continue;
        }
        Json groups = Json::array();
        for (std::uint64_t number = 0; number < m_options.stepGroups; ++number) {
            const Group group = makeGroup(m_submittedSteps, number);
            m_checker.expect(group.id, group.expected);
            m_stepOfGroup[group.id] = group.step;
            groups.push_back({ { "id", group.id }, { "step", group.step }, { "prompt", group.expected.prompt },
                { "samples", group.expected.samples }, { "max_tokens", group.expected.tokens } });
        }
        lock.unlock();
        const auto reply = instances.post(fmt::format("/v1/runs/{}/groups", m_options.run), { { "groups", groups } });
        lock.lock();
        if (reply && reply->status == 200) {
            ++m_submittedSteps;
            continue;
        }
        note(reply ? fmt::format("groups-{}", reply->status) : "groups-lost");
        m_changed.wait_for(lock, std::chrono::milliseconds(retryMs));
    }
}

void Trainer::pullSamples()
{
    while (sleepUnlessStopped(0))
        pullOnce();
}

void Trainer::pullOnce()
{
    Pull pull;
    {
        const std::scoped_lock lock(m_mutex);
        pull = { ++m_pullNumber, m_cursor, m_version };
    }
    const std::string& address = m_access.addresses[pull.number % m_access.addresses.size()];
    const CallLimits limits { std::chrono::milliseconds(500), std::chrono::milliseconds(m_options.waitMs + 3000) };
    const auto client = makeClient(m_access, address, limits);
    const Json body { { "cursor", pull.cursor }, { "pull", pull.number }, { "version", pull.version }, { "max_samples", m_options.maxSamples }, { "wait_ms", m_options.waitMs } };
    const auto reply = callOnce(*client, "POST", fmt::format("/v1/runs/{}/pull", m_options.run), {}, body.dump());
    if (reply && reply->status == 200)
        return takeReply(pull, *reply);
    {
        const std::scoped_lock lock(m_mutex);
        note(reply ? fmt::format("pull-{}", reply->status) : "pull-lost");
        if (reply && reply->json().value("type", std::string()).find("cursor-behind") != std::string::npos) {
            m_violations.add("cursor", reply->body);
            m_isStopping = true;
            m_changed.notify_all();
        }
    }
    static_cast<void>(sleepUnlessStopped(retryMs));
}

void Trainer::takeReply(const Pull& pull, const HttpReply& reply)
{
    const std::scoped_lock lock(m_mutex);
    std::optional<Delivery> delivery;
    try {
        delivery = m_checker.accept(pull, reply.json());
    } catch (const Json::exception& error) {
        return m_violations.add("malformed", error.what());
    }
    if (!delivery)
        return note("pull-older-reply");
    if (delivery->cursor == pull.cursor)
        return note("pull-empty");
    saveCursor(*delivery);
    m_cursor = delivery->cursor;
    m_samples += delivery->samples;
    for (const std::uint64_t versions : delivery->staleness)
        ++m_staleness[versions];
    for (const std::string& group : delivery->groups)
        ++m_groupsOfStep[m_stepOfGroup[group]];
    m_changed.notify_all();
}

void Trainer::announceVersions()
{
    announceVersion(m_version);
    while (sleepUnlessStopped(m_options.versionEveryMs)) {
        const std::uint64_t next = m_version + 1;
        announceVersion(next);
        const std::scoped_lock lock(m_mutex);
        m_version = next;
    }
}

void Trainer::announceVersion(std::uint64_t version)
{
    if (!m_options.store.empty()) {
        const auto client = makeClient({}, m_options.store, {});
        const auto reply = callOnce(*client, "PUT", fmt::format("/weights/{}/{}", m_options.service, version), {}, "");
        if (!reply || reply->status != 200) {
            const std::scoped_lock lock(m_mutex);
            note("store-failed");
        }
    }
    InstanceCaller instances(m_access, {});
    while (sleepUnlessStopped(0)) {
        const auto reply = instances.post(fmt::format("/v1/runs/{}/version", m_options.run), { { "version", version } });
        if (reply && reply->status == 200)
            return;
        {
            const std::scoped_lock lock(m_mutex);
            note(reply ? fmt::format("version-{}", reply->status) : "version-lost");
        }
        static_cast<void>(sleepUnlessStopped(retryMs));
    }
}

void Trainer::consumeSteps()
{
    const TimePoint start = SystemClock().now();
    std::unique_lock lock(m_mutex);
    while (!m_isStopping && m_consumedSteps < m_options.steps) {
        const TimePoint waiting = SystemClock().now();
        while (!m_isStopping && m_groupsOfStep[m_consumedSteps] < m_options.stepGroups) {
            if (m_options.durationMs > 0 && elapsedMs(start) > m_options.durationMs)
                m_isStopping = true;
            else
                m_changed.wait_for(lock, std::chrono::milliseconds(retryMs));
        }
        m_idleMs += elapsedMs(waiting);
        if (m_isStopping)
            return;
        lock.unlock();
        static_cast<void>(sleepUnlessStopped(m_options.trainMs));
        lock.lock();
        ++m_consumedSteps;
        m_changed.notify_all();
    }
}

void Trainer::note(const std::string& what)
{
    ++m_notes[what];
}

bool Trainer::sleepUnlessStopped(std::int64_t milliseconds)
{
    std::unique_lock lock(m_mutex);
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
    m_changed.wait_until(lock, end, [&] { return m_isStopping; });
    return !m_isStopping;
}

void Trainer::stop()
{
    const std::scoped_lock lock(m_mutex);
    m_isStopping = true;
    m_changed.notify_all();
}

Json Trainer::report() const
{
    const std::scoped_lock lock(m_mutex);
    Json staleness = Json::object();
    for (const auto& [versions, count] : m_staleness)
        staleness[std::to_string(versions)] = count;
    const double idle = m_elapsedMs > 0 ? static_cast<double>(m_idleMs) / static_cast<double>(m_elapsedMs) : 0;
    return { { "run", m_options.run }, { "steps", m_consumedSteps }, { "samples", m_samples }, { "cursor", m_cursor }, { "version", m_version },
        { "elapsed_ms", m_elapsedMs }, { "idle_ms", m_idleMs }, { "idle_fraction", idle }, { "staleness_versions", staleness },
        { "notes", m_notes }, { "violations", m_violations.toJson() } };
}

bool Trainer::hasSucceeded() const
{
    const std::scoped_lock lock(m_mutex);
    return m_violations.total() == 0 && m_consumedSteps == m_options.steps;
}

}
