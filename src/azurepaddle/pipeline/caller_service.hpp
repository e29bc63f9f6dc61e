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

/// Bounded threads that run streamed requests. Returns false if all are busy and the queue is full.
using RunInBackground = std::function<bool(std::function<void()>)>;

/// The answer to a caller: whole, or a stream of server-sent events.
struct CallerResponse {
    int httpStatus = 200;
    std::string contentType;
    std::string body; ///< Of a whole answer.
    std::vector<WeightVersion> versions; ///< That produced the answer, as known when it begins.
    std::shared_ptr<Channel<std::string>> events; ///< Of a streamed answer; ends when the channel closes.
    std::stop_source stop; ///< Cancels a streamed answer that nobody reads any more.
};

/// What the caller service works with. The references outlive it.
struct CallerParts {
    const SystemClock& clock;
    const RequestValidator& identify;
    const IdempotencyClaims& claims;
    LiveAdmission& admission;
    Dispatcher& dispatcher;
    const Sender& sender;
    metrics::Registry& metrics;
    RunInBackground runInBackground;
    std::size_t streamQueue = 256; ///< Events held for a caller that reads slowly.
};

/// Answers application requests: runs each through the filters identify, claim, limit, queue, choose, send, relay and
/// record. Thread-safe.
class CallerService {
public:
    explicit CallerService(CallerParts parts)
        : m_parts(std::move(parts))
    {
    }

    /// Blocks until the answer is whole or, for a stream, has begun.
    [[nodiscard]] PipelineResult<std::shared_ptr<CallerResponse>> answer(CallerRequest request, std::shared_ptr<const config::Configuration> configuration);

    /// Queues a checked item; for application requests and samples alike.
    [[nodiscard]] PipelineResult<std::shared_ptr<Dispatcher::Entry>> admit(const WorkItem& item);

    /// Records the end of an item: sizes, latency histograms and outcome by tenant and class.
    void record(const WorkItem& item, const Dispatcher::Entry& entry, const PipelineResult<Answer>& result);

    /// Requests in progress, including queued ones.
    [[nodiscard]] std::size_t inProgress() const noexcept { return m_inProgress.load(); }

private:
    struct Stream;

    [[nodiscard]] PipelineResult<std::shared_ptr<CallerResponse>> run(const std::shared_ptr<const WorkItem>& item);
    [[nodiscard]] PipelineResult<std::shared_ptr<CallerResponse>> runWhole(const WorkItem& item, const std::shared_ptr<Dispatcher::Entry>& entry);
    [[nodiscard]] PipelineResult<std::shared_ptr<CallerResponse>> runPlain(const WorkItem& item, const std::shared_ptr<Dispatcher::Entry>& entry);
    [[nodiscard]] PipelineResult<std::shared_ptr<CallerResponse>> runStreamed(const std::shared_ptr<const WorkItem>& item, const std::shared_ptr<Dispatcher::Entry>& entry);
    void produceStream(const std::shared_ptr<Stream>& stream);
    void settleClaim(const WorkItem& item, const PipelineResult<std::shared_ptr<CallerResponse>>& result) const;

    CallerParts m_parts;
    std::atomic<std::size_t> m_inProgress { 0 };
};

}
