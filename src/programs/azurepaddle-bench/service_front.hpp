#pragma once

#include "azurepaddle/admission/budgets.hpp"
#include "azurepaddle/admission/concurrency_limiter.hpp"
#include "azurepaddle/admission/controller.hpp"
#include "azurepaddle/routing/router.hpp"
#include "azurepaddle/routing/suspect_tracker.hpp"
#include "world.hpp"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace azurepaddle::bench {

/// Settings of the modules under test.
struct ServiceSettings {
    routing::RouterSettings router;
    admission::AdmissionSettings admission;
    admission::HedgeSettings hedge;
    double shareSmoothing = 0.5; ///< Of the parts of the slots, per exchange.
};

/// The instances of the service: the real admission and routing modules, wired as the daemon wires them.
class ServiceFront {
public:
    ServiceFront(World& world, const ServiceSettings& settings);

    void start();

private:
    using Controller = admission::AdmissionController<ManualClock>;
    using EndpointRouter = routing::Router<ManualClock, Random>;

    struct Instance {
        Instance(const ManualClock& clock, const ServiceSettings& settings, std::size_t index, const DataCentreName& here);

        Controller admission;
        EndpointRouter router;
        admission::ConcurrencyLimiter limiter;
        admission::HedgePolicy hedge;
        admission::RetryBudget retries;
        routing::SuspectTracker suspects;
        std::vector<TimePoint> lastReport; ///< By engine; no report counts that is older than a loss.
        std::vector<bool> isKnown;
        routing::InstanceShare share;
    };

    /// A request at its instance.
    struct Request {
        std::uint64_t key = 0;
        JobPointer job;
        admission::Ticket ticket;
        std::vector<std::uint64_t> copies; ///< Executions in progress, by number.
    };

    struct Sent {
        ExecutionPointer execution;
        routing::AttemptId attempt = 0;
        TimePoint sent {};
        TimePoint lastToken {};
    };

    void submit(const JobPointer& job);
    void dispatch(std::size_t instance, std::size_t service);
    [[nodiscard]] bool sendNext(std::size_t instance, std::size_t service, admission::AllowedClasses& allowed);
    [[nodiscard]] bool sendTo(Request& request, const std::vector<EndpointId>& avoid);
    [[nodiscard]] routing::RequestProfile profileOf(const Request& request) const;
    void onToken(const ExecutionPointer& execution);
    void onFinished(const ExecutionPointer& execution);
    void onLost(const ExecutionPointer& execution);
    void onEngineLost(std::size_t instance, std::size_t engine);
    void retry(Request& request, bool hasRun);
    void endCopies(Request& request);
    void endRequest(const Request& request);
    void onReport(std::size_t instance, std::size_t engine, const EngineReport& report);
    void tick();
    void hedge(std::size_t instance, const routing::SlowAttempt& slow);
    void checkSilence();
    void expire(std::size_t instance);
    void exchange();
    void applyShares(std::size_t service, const std::vector<std::vector<admission::InstanceDemand>>& demands);
    void startTrials();
    [[nodiscard]] bool startTrial(Request& request);
    void endTrial(const Request& request);
    [[nodiscard]] routing::Fingerprint fingerprintOf(const Job& job) const;
    [[nodiscard]] ServiceName serviceName(std::size_t service) const { return ServiceName(m_world.deployment().services[service].name); }
    [[nodiscard]] double utilisation(std::size_t instance) const;

    World& m_world;
    ServiceSettings m_settings;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::unordered_map<admission::TicketId, std::unique_ptr<Request>> m_requests; ///< By instance and ticket.
    std::map<std::uint64_t, Sent> m_sent; ///< By number of the execution.
    std::map<std::pair<std::size_t, routing::AttemptId>, std::uint64_t> m_numbers; ///< By instance and attempt.
    std::uint64_t m_nextNumber = 1;
    std::map<routing::Fingerprint, int> m_crashes; ///< Stands for the log: crashes by fingerprint.
    std::deque<std::uint64_t> m_trials; ///< Suspects that wait for the trial lease.
    std::map<std::uint64_t, std::size_t> m_trialEngines; ///< Engine of each trial in progress, by request.
};

}
