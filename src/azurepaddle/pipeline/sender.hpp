#pragma once

#include "azurepaddle/admission/budgets.hpp"
#include "azurepaddle/metrics/registry.hpp"
#include "azurepaddle/pipeline/connector.hpp"
#include "azurepaddle/pipeline/dispatcher.hpp"
#include "azurepaddle/pipeline/request.hpp"
#include "azurepaddle/pipeline/suspicion.hpp"

#include <stop_token>

namespace azurepaddle::pipeline {

/// Dependencies of the sender. The referenced objects must outlive it.
struct SenderDependencies {
    const SystemClock& clock;
    Dispatcher& dispatcher;
    LiveRouter& router;
    admission::ConcurrencyLimiter& limiter;
    admission::RetryBudget& retryBudget;
    const Connector& connector;
    const SuspectRequestGuard& suspectGuard;
    metrics::Registry& metrics;
};

/// Receives the chunks of an answer as they arrive. Returns false to cancel the request once the client has
/// disconnected.
using OnChunk = std::function<bool(const EngineEvent&)>;

/// Called with the grant before each attempt is sent.
using OnGranted = std::function<void(const Grant&)>;

/// Sends a request to endpoints until the answer is complete, the request may not be retried, or the deadline passes.
class Sender {
public:
    explicit Sender(SenderDependencies dependencies) noexcept
        : m_dependencies(dependencies)
    {
    }

    /// Runs an admitted engine request. On a retry, text that was already passed on is not passed on again, and the new
    /// answer must begin with that text.
    [[nodiscard]] PipelineResult<Answer> generate(const WorkItem& item, const std::shared_ptr<Dispatcher::Entry>& entry, const OnChunk& onChunk,
        const std::stop_token& stop, const OnGranted& onGranted = {}) const;

    /// Runs an admitted request to a plain service.
    [[nodiscard]] PipelineResult<AttemptResult> call(
        const WorkItem& item, const std::shared_ptr<Dispatcher::Entry>& entry, const std::stop_token& stop) const;

private:
    struct Progress;

    template <typename SendAttempt>
    [[nodiscard]] PipelineResult<AttemptResult> runWithRetries(const WorkItem& item, const std::shared_ptr<Dispatcher::Entry>& entry, const SendAttempt& sendAttempt) const;
    [[nodiscard]] AttemptResult streamAttempt(const WorkItem& item, const Grant& grant, unsigned attemptNumber, Progress& progress, const std::stop_token& stop) const;
    [[nodiscard]] AttemptResult resumeStream(const WorkItem& item, const Grant& grant, const RequestId& id, AttemptResult lostResult, Progress& progress, const std::stop_token& stop) const;
    [[nodiscard]] AttemptResult callAttempt(const WorkItem& item, const Grant& grant, const std::stop_token& stop) const;
    [[nodiscard]] bool detectCrash(const Grant& grant, const AttemptResult& result) const;
    [[nodiscard]] bool mayRetry(const WorkItem& item, const AttemptResult& result, unsigned attemptNumber) const;
    [[nodiscard]] bool onEvent(const Grant& grant, const RequestId& id, EngineEvent&& event, Progress& progress) const;

    SenderDependencies m_dependencies;
};

}
