#pragma once

#include "azurepaddle/core/random.hpp"
#include "engine.hpp"
#include "result.hpp"
#include "scenario.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace azurepaddle::bench {

/// What the world calls on the instances under test.
struct Front {
    std::function<void(const JobPointer&)> submit;
    std::function<void(const ExecutionPointer&)> token; ///< Tokens arrived; the execution may be complete.
    std::function<void(const ExecutionPointer&)> lost; ///< The engine refused the connection or died.
    std::function<void(std::size_t instance, std::size_t engine, const EngineReport&)> report;
    std::function<void(std::size_t engine)> slowChanged; ///< For the oracle only.
};

/// Options of a run.
struct RunOptions {
    std::uint64_t seed = 1;
    double seconds = 180;
    double warmUp = 20;
};

/// Engines, network and callers around the instances under test, in virtual time.
class World {
public:
    World(const DeploymentSpec& deployment, const ScenarioSpec& scenario, const RunOptions& options);

    [[nodiscard]] Simulator& simulator() noexcept { return m_simulator; }
    [[nodiscard]] const DeploymentSpec& deployment() const noexcept { return m_deployment; }
    [[nodiscard]] const ScenarioSpec& scenario() const noexcept { return m_scenario; }
    [[nodiscard]] const RunOptions& options() const noexcept { return m_options; }
    [[nodiscard]] std::size_t engineCount() const noexcept { return m_engines.size(); }
    [[nodiscard]] const Engine& engine(std::size_t index) const { return *m_engines[index]; }
    [[nodiscard]] std::size_t serviceOf(std::size_t engine) const { return m_serviceOf[engine]; }
    [[nodiscard]] const std::vector<std::string>& tenants() const noexcept { return m_tenants; }
    [[nodiscard]] std::size_t tenantIndex(const std::string& name);
    [[nodiscard]] double delay(std::size_t instance, std::size_t engine) const;
    [[nodiscard]] Result& result() noexcept { return m_result; }

    void setFront(Front front) { m_front = std::move(front); }
    void setSampleSink(std::function<void(const Job&, const Execution&)> sink) { m_sampleSink = std::move(sink); }
    void setRefusedSink(std::function<void(const JobPointer&)> sink) { m_refusedSink = std::move(sink); }

    /// A job arrives at its instance.
    void arrive(const JobPointer& job);

    /// Called by the instances.
    void send(const ExecutionPointer& execution);
    void cancel(const ExecutionPointer& execution);
    void finish(const ExecutionPointer& execution);
    void refuse(const JobPointer& job);
    void fail(const JobPointer& job);
    /// Asks the engine over a new connection and takes over what it generated meanwhile.
    void resolve(const ExecutionPointer& execution);

    /// Called by the faults.
    void setSlow(std::size_t engine, double factor);
    void crash(std::size_t engine, double downSeconds);
    void restartAll(); ///< Those that a request crashed.
    void silence(std::size_t instance, std::size_t engine);
    void swap(std::size_t engine, WeightVersion version, double pause);

    /// Starts the load reports and the accounting of shares.
    void start();
    void complete();
    [[nodiscard]] bool isMeasured() const { return m_simulator.seconds() >= m_options.warmUp; }

private:
    struct Delivery {
        ExecutionPointer execution;
        std::uint32_t generated;
        WeightVersion version;
    };

    void addEngines();
    void onOutput(const std::vector<ExecutionPointer>& executions);
    void onLost(const ExecutionPointer& execution);
    void deliver(const std::vector<Delivery>& deliveries);
    void takeOver(const Delivery& delivery);
    void publishReport(std::size_t engine);
    void recordFinished(const Job& job);
    void closeWindow();

    DeploymentSpec m_deployment;
    ScenarioSpec m_scenario;
    RunOptions m_options;
    Simulator m_simulator;
    Random m_random;
    std::vector<std::unique_ptr<Engine>> m_engines;
    std::vector<std::size_t> m_serviceOf;
    std::vector<std::string> m_tenants;
    Front m_front;
    std::function<void(const Job&, const Execution&)> m_sampleSink;
    std::function<void(const JobPointer&)> m_refusedSink;
    std::vector<std::deque<ExecutionPointer>> m_open; ///< Executions by engine, for silent connections.
    std::vector<JobPointer> m_jobs;
    std::vector<double> m_windowTokens; ///< By tenant.
    std::vector<bool> m_isDownByFault; ///< By engine.
    Result m_result;
    metrics::LatencyHistogram m_shortHistogram;
};

}
