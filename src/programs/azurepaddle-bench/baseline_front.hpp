#pragma once

#include "world.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace azurepaddle::bench {

enum class Policy : unsigned char {
    Service, ///< The modules under test.
    Random,
    RoundRobin,
    LeastReported,
    TwoChoices,
    Fifo,
    Oracle,
    OracleWithoutSizes, ///< Knows the true state, but not how many tokens a request will generate.
};

constexpr Policy allPolicies[] = { Policy::Service, Policy::Random, Policy::RoundRobin, Policy::LeastReported, Policy::TwoChoices, Policy::Fifo, Policy::Oracle,
    Policy::OracleWithoutSizes };

[[nodiscard]] std::string_view policyName(Policy policy) noexcept;

/// The baselines and the oracle. A baseline sends each request at once (the FIFO queue holds it back while
/// its instance has as many requests at every endpoint as these have slots), retries repeatable work after a failure and resends it after a silence of 10 s. The oracle knows the
/// true state of all engines and the true sizes, has one queue for all instances and moves work at once.
class BaselineFront {
public:
    BaselineFront(World& world, Policy policy);

    void start();

private:
    struct Known {
        double load = 0; ///< Requests by the last report.
        double own = 0; ///< Requests in progress of this instance.
        TimePoint lastReport {};
        bool isUp = true;
    };

    struct Sent {
        ExecutionPointer execution;
        TimePoint lastToken {};
    };

    void submit(const JobPointer& job);
    void trySend(const JobPointer& job);
    void send(const JobPointer& job, std::size_t engine);
    [[nodiscard]] std::optional<std::size_t> choose(const Job& job);
    [[nodiscard]] std::optional<std::size_t> chooseTrueBest(const Job& job, std::optional<std::size_t> avoid);
    [[nodiscard]] std::vector<std::size_t> candidates(const Job& job) const;
    [[nodiscard]] double trueSeconds(const Job& job, std::size_t engine) const;
    void drainQueue();
    void onToken(const ExecutionPointer& execution);
    void onLost(const ExecutionPointer& execution);
    void end(const ExecutionPointer& execution);
    void onReport(std::size_t instance, std::size_t engine, const EngineReport& report);
    void onSlowChanged(std::size_t engine);
    void tick();

    World& m_world;
    bool m_knowsSizes; ///< Of the oracles, the one that knows the sizes.
    Policy m_policy;
    azurepaddle::Random m_random;
    std::vector<std::vector<Known>> m_known; ///< By instance and engine.
    std::vector<std::size_t> m_next; ///< Of the round robin, by instance.
    std::deque<JobPointer> m_queue; ///< Of the oracle, or of all instances of the FIFO queue.
    std::map<std::uint64_t, Sent> m_sent;
    std::unordered_map<std::uint64_t, std::vector<std::uint64_t>> m_copies; ///< Executions by job.
    std::vector<std::size_t> m_assigned; ///< Executions by engine, those on their way included.
    std::uint64_t m_nextNumber = 1;
};

}
