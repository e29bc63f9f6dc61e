#pragma once

#include "azurepaddle/admission/budgets.hpp"
#include "azurepaddle/metrics/registry.hpp"
#include "azurepaddle/pipeline/connector.hpp"
#include "azurepaddle/pipeline/dispatcher.hpp"
#include "azurepaddle/pipeline/request.hpp"
#include "azurepaddle/pipeline/suspicion.hpp"

#include <stop_token>

namespace azurepaddle::pipeline {

/// What the sender works with. The references outlive it.
struct SenderParts {
    const SystemClock& clock;
    Dispatcher& dispatcher;
    LiveRouter& router;
    admission::ConcurrencyLimiter& limiter;
    admission::RetryBudget& retries;
    const Connector& connector;
    const SuspectRequestGuard& suspicion;
    metrics::Registry& metrics;
};

/// Receives the pieces of an answer as they arrive. Returns false to cancel, because nobody waits any more.
using OnPiece = std::function<bool(const EngineEvent&)>;

/// Hears of each endpoint that an attempt is sent to.
using OnGranted = std::function<void(const Grant&)>;

/// Sends a request to endpoints until it has a whole answer, may not be repeated, or is out of time.
class Sender {
public:
    explicit Sender(SenderParts parts) noexcept
        : m_parts(parts)
    {
    }

    /// Runs an admitted engine request. When it is repeated, pieces passed on before are not passed on again, and the
    /// repetition must begin with them.
    [[nodiscard]] PipelineResult<Answer> generate(const WorkItem& item, const std::shared_ptr<Dispatcher::Entry>& entry, const OnPiece& onPiece,
        const std::stop_token& stop, const OnGranted& onGranted = {}) const;

    /// Runs an admitted request to a plain service.
    [[nodiscard]] PipelineResult<AttemptResult> call(
        const WorkItem& item, const std::shared_ptr<Dispatcher::Entry>& entry, const std::stop_token& stop) const;

private:
    struct Progress;

    template <typename Try>
    [[nodiscard]] PipelineResult<AttemptResult> repeat(const WorkItem& item, const std::shared_ptr<Dispatcher::Entry>& entry, const Try& tryOnce) const;
    [[nodiscard]] AttemptResult streamOnce(const WorkItem& item, const Grant& grant, unsigned number, Progress& progress, const std::stop_token& stop) const;
    [[nodiscard]] AttemptResult resume(const WorkItem& item, const Grant& grant, const RequestId& id, AttemptResult first, Progress& progress, const std::stop_token& stop) const;
    [[nodiscard]] AttemptResult callOnce(const WorkItem& item, const Grant& grant, const std::stop_token& stop) const;
    [[nodiscard]] bool hasDied(const Grant& grant, const AttemptResult& result) const;
    [[nodiscard]] bool mayRepeat(const WorkItem& item, const AttemptResult& result, unsigned number) const;
    [[nodiscard]] bool onEvent(const Grant& grant, const RequestId& id, EngineEvent&& event, Progress& progress) const;

    SenderParts m_parts;
};

}
