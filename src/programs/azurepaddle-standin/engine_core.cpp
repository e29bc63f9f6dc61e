#include "engine_core.hpp"

#include "azurepaddle/core/digest.hpp"

#include <algorithm>
#include <unistd.h>

namespace azurepaddle::standin {

namespace {

    constexpr std::size_t maxEnded = 4096;
    // A sequence without a reader runs on for a while, so that a caller can resume it.
    constexpr Duration orphanTime = std::chrono::seconds(10);
    constexpr int crashExitCode = 70;

    Duration milliseconds(double value)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
    }

    std::int64_t wallMs(const SystemClock& clock)
    {
        return clock.wallNow().time_since_epoch().count();
    }

}

EngineCore::EngineCore(const EngineOptions& options, RanLog& ran)
    : m_options(options)
    , m_ran(ran)
    , m_slots(options.slots)
    , m_cache(options.cacheBlocks)
    , m_weights { { options.version }, { options.version }, {}, options.role }
    , m_random(options.seed)
{
    planSlowMoment(m_clock.now());
    m_thread = std::thread([this] { runSteps(); });
}

EngineCore::~EngineCore()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopping = true;
        for (const auto& [id, sequence] : m_sequences)
            sequence->changed.notify_all();
    }
    m_work.notify_all();
    m_thread.join();
}

tl::expected<std::shared_ptr<Sequence>, SubmitError> EngineCore::submit(EngineRequest request)
{
    const std::scoped_lock lock(m_mutex);
    if (m_sequences.contains(request.id))
        return tl::unexpected(SubmitError::KnownId);
    if (m_queue.size() >= m_options.maxQueued)
        return tl::unexpected(SubmitError::QueueFull);
    const auto& adapters = m_weights.adapters;
    if (!request.adapter.empty() && std::find(adapters.begin(), adapters.end(), request.adapter) == adapters.end())
        return tl::unexpected(SubmitError::NoAdapter);
    if (*std::min_element(m_weights.active.begin(), m_weights.active.end()) < request.minVersion)
        return tl::unexpected(SubmitError::OldVersion);
    auto sequence = std::make_shared<Sequence>();
    sequence->promptDigest = sha256Hex(request.prompt);
    sequence->promptTokens = (request.prompt.size() + promptBytesPerToken - 1) / promptBytesPerToken;
    sequence->request = std::move(request);
    sequence->arrival = ++m_arrivals;
    sequence->lastRead = m_clock.now();
    m_sequences.emplace(sequence->request.id, sequence);
    m_queue.emplace(std::pair(sequence->request.priority, sequence->arrival), sequence);
    m_work.notify_all();
    return sequence;
}

std::shared_ptr<Sequence> EngineCore::find(const std::string& id) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_sequences.find(id);
    return found == m_sequences.end() ? nullptr : found->second;
}

bool EngineCore::cancel(const std::string& id)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_sequences.find(id);
    if (found == m_sequences.end() || found->second->hasEnded())
        return false;
    finish(*found->second, SequenceState::Cancelled);
    return true;
}

void EngineCore::drain(Duration timeout)
{
    const TimePoint end = m_clock.now() + timeout;
    std::unique_lock lock(m_mutex);
    const auto hasWork = [](const auto& entry) { return !entry.second->hasEnded(); };
    while (m_clock.now() < end && std::any_of(m_sequences.begin(), m_sequences.end(), hasWork))
        m_work.wait_for(lock, std::chrono::milliseconds(20));
    std::vector<std::shared_ptr<Sequence>> left;
    for (const auto& [id, sequence] : m_sequences) {
        if (!sequence->hasEnded())
            left.push_back(sequence);
    }
    for (const auto& sequence : left)
        finish(*sequence, SequenceState::Cancelled);
}

Progress EngineCore::wait(Sequence& sequence, std::uint64_t from, Duration timeout)
{
    std::unique_lock lock(m_mutex);
    sequence.changed.wait_for(lock, timeout, [&] { return m_isStopping || sequence.produced > from || sequence.hasEnded(); });
    sequence.lastRead = m_clock.now();
    return { sequence.produced, sequence.state, sequence.spans };
}

void EngineCore::addReader(Sequence& sequence)
{
    const std::scoped_lock lock(m_mutex);
    ++sequence.readers;
}

void EngineCore::removeReader(Sequence& sequence)
{
    const std::scoped_lock lock(m_mutex);
    --sequence.readers;
    sequence.lastRead = m_clock.now();
}

EngineLoad EngineCore::load() const
{
    const std::scoped_lock lock(m_mutex);
    EngineLoad load { wallMs(m_clock), 0, m_queue.size(), 0 };
    for (const auto& [key, sequence] : m_queue)
        load.outstandingTokens += sequence->promptTokens + sequence->request.maxTokens;
    for (const auto& sequence : m_slots) {
        if (!sequence)
            continue;
        ++load.running;
        load.outstandingTokens += sequence->request.maxTokens - sequence->produced;
    }
    return load;
}

double EngineCore::stepMs() const
{
    const std::scoped_lock lock(m_mutex);
    return m_stepMs;
}

void EngineCore::runSteps()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        const bool isIdle = m_queue.empty() && std::none_of(m_slots.begin(), m_slots.end(), [](const auto& slot) { return slot != nullptr; });
        if (isIdle) {
            m_work.wait_for(lock, std::chrono::milliseconds(100));
            forgetOld();
            continue;
        }
        const TimePoint now = m_clock.now();
        const double prefill = admitQueued();
        const auto batch = static_cast<double>(std::count_if(m_slots.begin(), m_slots.end(), [](const auto& slot) { return slot != nullptr; }));
        m_stepMs = m_options.timeScale * slowFactor(now) * (m_options.baseMs + m_options.perSequenceMs * batch + prefill);
        const Duration pause = std::max(Duration::zero(), m_pausedUntil - now);
        const auto wake = std::chrono::steady_clock::now() + milliseconds(m_stepMs) + pause;
        while (!m_isStopping && m_work.wait_until(lock, wake) != std::cv_status::timeout) { }
        if (!m_isStopping)
            produceTokens();
    }
}

double EngineCore::admitQueued()
{
    double prefill = 0;
    for (std::size_t slot = 0; slot < m_slots.size() && !m_queue.empty(); ++slot) {
        if (m_slots[slot])
            continue;
        const std::shared_ptr<Sequence> sequence = m_queue.begin()->second;
        m_queue.erase(m_queue.begin());
        const auto hashes = prefixHashes(sequence->request.prompt);
        const std::size_t cached = m_cache.use(hashes, wallMs(m_clock)) * prefixBlockBytes / promptBytesPerToken;
        prefill += m_options.prefillMs * static_cast<double>(sequence->promptTokens - cached);
        sequence->state = SequenceState::Running;
        sequence->slot = slot;
        m_slots[slot] = sequence;
        m_ran.record({ { "request_id", sequence->request.id }, { "prompt_digest", sequence->promptDigest }, { "index", sequence->request.index } },
            { { "prompts", sequence->promptDigest }, { "request_ids", sequence->request.id } });
    }
    return prefill;
}

void EngineCore::produceTokens()
{
    const TimePoint now = m_clock.now();
    for (std::size_t slot = 0; slot < m_slots.size(); ++slot) {
        const std::shared_ptr<Sequence> sequence = m_slots[slot];
        if (!sequence)
            continue;
        produceToken(*sequence);
        if (sequence->produced >= sequence->request.maxTokens)
            finish(*sequence, SequenceState::Finished);
        else if (sequence->readers == 0 && now - sequence->lastRead > orphanTime)
            finish(*sequence, SequenceState::Cancelled);
        sequence->changed.notify_all();
    }
}

void EngineCore::produceToken(Sequence& sequence)
{
    const bool isMarked = !m_options.crashMarker.empty() && sequence.request.prompt.find(m_options.crashMarker) != std::string::npos;
    if (isMarked && sequence.produced >= m_options.crashAfterTokens)
        _exit(crashExitCode);
    const std::uint64_t version = m_weights.active[sequence.slot % m_weights.active.size()];
    if (sequence.spans.empty() || sequence.spans.back().version != version)
        sequence.spans.push_back({ sequence.produced, 0, version });
    ++sequence.spans.back().tokens;
    ++sequence.produced;
}

void EngineCore::finish(Sequence& sequence, SequenceState state)
{
    if (sequence.state == SequenceState::Queued)
        m_queue.erase(std::pair(sequence.request.priority, sequence.arrival));
    else
        m_slots[sequence.slot] = nullptr;
    sequence.state = state;
    sequence.endTime = m_clock.now();
    m_ended.push_back(sequence.request.id);
    sequence.changed.notify_all();
    forgetOld();
}

void EngineCore::forgetOld()
{
    while (m_ended.size() > maxEnded) {
        m_sequences.erase(m_ended.front());
        m_ended.pop_front();
    }
}

void EngineCore::slowDown(double factor, Duration duration)
{
    const std::scoped_lock lock(m_mutex);
    m_slowFactor = factor;
    m_slowUntil = m_clock.now() + duration;
}

double EngineCore::slowFactor(TimePoint now)
{
    if (m_options.slowEveryMs > 0 && now >= m_nextSlow) {
        m_slowFactor = m_options.slowFactor;
        m_slowUntil = now + milliseconds(m_options.slowForMs);
        planSlowMoment(m_slowUntil);
    }
    return now < m_slowUntil ? m_slowFactor : 1;
}

void EngineCore::planSlowMoment(TimePoint now)
{
    m_nextSlow = now + milliseconds(m_random.exponential(m_options.slowEveryMs));
}

}
