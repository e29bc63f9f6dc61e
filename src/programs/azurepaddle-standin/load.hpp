#pragma once

#include "answer_checker.hpp"
#include "latencies.hpp"
#include "options.hpp"
#include "violations.hpp"

#include "azurepaddle/core/random.hpp"

#include <condition_variable>
#include <deque>

namespace azurepaddle::standin {

struct LoadOptions {
    std::string service;
    std::string plainService;
    std::string plainPath = "call";
    std::string poisonMarker = "crash-engine";
    std::string prefix = "load";
    double rate = 50; ///< Requests a second.
    std::uint64_t requests = 500;
    std::size_t concurrency = 64;
    std::uint64_t seed = 1;
    double longFraction = 0.1;
    double plainFraction = 0;
    double streamFraction = 0.5;
    std::uint64_t poisonRequests = 0;
    std::uint64_t shortTokens = 20;
    std::uint64_t longTokens = 400;
    std::uint64_t resends = 2; ///< After a lost answer.
    std::int64_t deadlineMs = 30000;
    std::int64_t timeoutMs = 60000;
};

struct LoadTenant {
    std::string name;
    std::string token;
    double weight = 1;
};

/// One request of a caller.
struct Job {
    std::string kind; ///< short, long, plain or poison.
    std::size_t tenant = 0;
    bool isStreamed = false;
    std::string prompt; ///< For plain calls, the body.
    std::uint64_t tokens = 0;
    std::string key;
    std::size_t instance = 0;
    std::chrono::steady_clock::time_point start;
};

/// Callers with a fixed seed that check every answer. Requests start on schedule whether or not earlier ones have ended;
/// times count from the schedule.
class CallerLoad {
public:
    CallerLoad(const LoadOptions& options, InstanceAccess access, std::vector<LoadTenant> tenants);

    void run();
    [[nodiscard]] Json report() const;
    [[nodiscard]] bool hasSucceeded() const { return m_violations.total() == 0; }

private:
    /// What one sending of a request came to: "ok", "lost", "cut", or the status and outcome of a refusal.
    using Result = std::string;

    [[nodiscard]] Job makeJob(std::uint64_t number);
    void work();
    void perform(const Job& job);
    [[nodiscard]] Result sendCompletion(const Job& job, std::size_t instance);
    [[nodiscard]] Result judgeStream(const Job& job, const httplib::Result& result, const StreamReader& reader, const std::string& body);
    [[nodiscard]] Result judgeWhole(const Job& job, const httplib::Result& result);
    [[nodiscard]] Result judgeAnswer(const Job& job, const Answer& answer, const httplib::Headers& headers);
    [[nodiscard]] Result sendPlain(const Job& job, std::size_t instance);
    [[nodiscard]] Result judgeRefusal(const Job& job, int status, const std::string& body);
    [[nodiscard]] httplib::Headers headersOf(const Job& job) const;
    void finish(const Job& job, const Result& result, std::uint64_t sent);

    const LoadOptions m_options;
    const InstanceAccess m_access;
    const std::vector<LoadTenant> m_tenants;
    Random m_random;
    Violations m_violations;
    Latencies m_latencies;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Job> m_jobs;
    bool m_isFinished = false;
    std::map<std::string, std::map<std::string, std::uint64_t>> m_results; ///< By kind, then result.
    std::map<std::string, std::uint64_t> m_tenantTokens;
    std::map<std::string, std::vector<std::string>> m_keys; ///< Keys of plain calls by final result.
    std::vector<std::string> m_notRunPrompts; ///< Digests of prompts that were only ever refused as not-run.
    std::uint64_t m_resent = 0;
    double m_elapsedMs = 0;
};

}
