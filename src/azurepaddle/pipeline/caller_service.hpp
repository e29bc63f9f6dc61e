#pragma once

#include "azurepaddle/metrics/registry.hpp"
#include "azurepaddle/pipeline/channel.hpp"
#include "azurepaddle/pipeline/claims.hpp"
#include "azurepaddle/pipeline/identify.hpp"
#include "azurepaddle/pipeline/sender.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <stop_token>

namespace azurepaddle::pipeline {

/// Runs a task for a streamed request on a bounded thread pool. Returns false if all threads are busy and the queue is
/// full.
using RunInBackground = std::function<bool(std::function<void()>)>;

/// The response to a client: a complete body, or a stream of server-sent events.
struct CallerResponse {
    int httpStatus = 200;
    std::string contentType;
    std::string body; ///< Set for a complete response only.
    std::vector<WeightVersion> versions; ///< Weight versions of the answer, as far as known when the response begins.
    std::shared_ptr<Channel<std::string>> events; ///< Set for a streamed response, which ends when the channel is closed.
    std::stop_source stop; ///< Cancels a streamed response whose client has disconnected.
};

/// Dependencies of the caller service. The referenced objects must outlive it.
struct CallerServiceDependencies {
    const SystemClock& clock;
    const RequestValidator& validateRequest;
    const IdempotencyClaims& claims;
    LiveAdmission& admission;
    Dispatcher& dispatcher;
    const Sender& sender;
    metrics::Registry& metrics;
    RunInBackground runInBackground;
    std::size_t streamQueueCapacity = 256; ///< Maximum number of events buffered for a slow client.
};

/// Serves application requests. Each passes through these stages: validation, claim of the idempotency key, admission
/// limits, queueing, choice of an endpoint, sending, relay of the answer, and recording. Thread-safe.
class CallerService {
public:
    explicit CallerService(CallerServiceDependencies dependencies)
        : m_dependencies(std::move(dependencies))
    {
    }

    /// Blocks until the response is complete or, for a stream, has begun.
    [[nodiscard]] PipelineResult<std::shared_ptr<CallerResponse>> answer(CallerRequest request, std::shared_ptr<const config::Configuration> configuration);

    /// Admits a validated item to the queue. Used for application requests and samples.
    [[nodiscard]] PipelineResult<std::shared_ptr<Dispatcher::Entry>> admit(const WorkItem& item);

    /// Records the end of an item: token counts, latency and outcome, by tenant and work class.
    void record(const WorkItem& item, const Dispatcher::Entry& entry, const PipelineResult<Answer>& result);

    /// Number of requests in progress, including queued ones.
    [[nodiscard]] std::size_t inProgress() const noexcept { return m_inProgress.load(); }

private:
    struct Stream;

    [[nodiscard]] PipelineResult<std::shared_ptr<CallerResponse>> run(const std::shared_ptr<const WorkItem>& item);
    [[nodiscard]] PipelineResult<std::shared_ptr<CallerResponse>> runBuffered(const WorkItem& item, const std::shared_ptr<Dispatcher::Entry>& entry);
    [[nodiscard]] PipelineResult<std::shared_ptr<CallerResponse>> runPlain(const WorkItem& item, const std::shared_ptr<Dispatcher::Entry>& entry);
    [[nodiscard]] PipelineResult<std::shared_ptr<CallerResponse>> runStreamed(const std::shared_ptr<const WorkItem>& item, const std::shared_ptr<Dispatcher::Entry>& entry);
    void produceStream(const std::shared_ptr<Stream>& stream);
    void finishClaim(const WorkItem& item, const PipelineResult<std::shared_ptr<CallerResponse>>& result) const;

    CallerServiceDependencies m_dependencies;
    std::atomic<std::size_t> m_inProgress { 0 };
};

}
