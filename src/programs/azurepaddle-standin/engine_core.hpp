#pragma once

#include "engine_types.hpp"
#include "prefix_cache.hpp"
#include "ran_log.hpp"

#include "azurepaddle/core/random.hpp"

#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <tl/expected.hpp>
#include <unordered_map>

namespace azurepaddle::standin {

/// Weights as an engine holds them.
struct EngineWeights {
    std::vector<std::uint64_t> active; ///< One version, or two after a partial switch: even slots, odd slots.
    std::vector<std::uint64_t> loaded; ///< Held and ready to switch to, the active ones included; oldest first.
    std::vector<std::string> adapters;
    std::string role;
};

/// Generates tokens for a batch of sequences in steps whose time grows with the batch. Thread-safe.
class EngineCore {
public:
    EngineCore(const EngineOptions& options, RanLog& ran);
    ~EngineCore();
    EngineCore(const EngineCore&) = delete;
    EngineCore& operator=(const EngineCore&) = delete;

    [[nodiscard]] tl::expected<std::shared_ptr<Sequence>, SubmitError> submit(EngineRequest request);
    [[nodiscard]] std::shared_ptr<Sequence> find(const std::string& id) const;
    bool cancel(const std::string& id);
    /// Cancels all work once none is left or the time is over.
    void drain(Duration timeout);

    /// Waits until there are tokens beyond `from` or the sequence has ended, at most for the timeout.
    [[nodiscard]] Progress wait(Sequence& sequence, std::uint64_t from, Duration timeout);
    void addReader(Sequence& sequence);
    void removeReader(Sequence& sequence);

    [[nodiscard]] EngineLoad load() const;
    [[nodiscard]] EngineWeights weights() const;
    [[nodiscard]] double stepMs() const;

    /// Holds a version that was fetched; the oldest one that is not active is dropped if too many are held.
    void addLoaded(std::uint64_t version);
    /// Makes a held version active for all slots, or for the even ones only. False if it is not held.
    [[nodiscard]] bool switchTo(std::uint64_t version, bool isPartial);
    [[nodiscard]] bool addAdapter(const std::string& adapter);
    void removeAdapter(const std::string& adapter);
    void setRole(const std::string& role);

    /// Multiplies the time of steps for a while.
    void slowDown(double factor, Duration duration);

    [[nodiscard]] std::vector<CacheEvent> takeCacheEvents(std::int64_t untilMs);
    [[nodiscard]] std::size_t cachedBlocks() const;
    /// Puts prefixes into the cache, as an import from another engine does.
    void importPrefixes(const std::vector<std::uint64_t>& prefixes);

private:
    void runSteps();
    [[nodiscard]] double admitQueued();
    void produceTokens();
    void produceToken(Sequence& sequence);
    void finish(Sequence& sequence, SequenceState state);
    void forgetOld();
    [[nodiscard]] double slowFactor(TimePoint now);
    void planSlowMoment(TimePoint now);

    const EngineOptions m_options;
    RanLog& m_ran;
    const SystemClock m_clock {};
    mutable std::mutex m_mutex;
    std::condition_variable m_work;
    std::unordered_map<std::string, std::shared_ptr<Sequence>> m_sequences;
    std::map<std::pair<std::int64_t, std::uint64_t>, std::shared_ptr<Sequence>> m_queue; // By priority, then arrival.
    std::vector<std::shared_ptr<Sequence>> m_slots;
    std::deque<std::string> m_ended;
    std::uint64_t m_arrivals = 0;
    PrefixCache m_cache;
    EngineWeights m_weights;
    TimePoint m_pausedUntil {};
    TimePoint m_slowUntil {};
    double m_slowFactor = 1;
    TimePoint m_nextSlow {};
    Random m_random;
    double m_stepMs = 0;
    bool m_isStopping = false;
    std::thread m_thread;
};

}
