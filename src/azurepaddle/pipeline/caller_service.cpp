#include "azurepaddle/pipeline/caller_service.hpp"

#include "azurepaddle/config/configuration.hpp"
#include "azurepaddle/pipeline/answer_format.hpp"

#include <condition_variable>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace azurepaddle::pipeline {

namespace {

    constexpr double bytesPerToken = 4;
    constexpr std::size_t prefixBlockBytes = 256;
    constexpr std::size_t maxPrefixHashes = 64;
    constexpr Duration overloadRetryAfter = std::chrono::milliseconds(500);
    constexpr auto streamContentType = "text/event-stream";

    /// Returns the hashes of the prompt's prefixes of one, two and more blocks, in the form that engines report: XXH64
    /// of the last block, seeded with the hash of the preceding prefix.
    std::vector<std::uint64_t> prefixHashes(const std::string& prompt)
    {
        std::vector<std::uint64_t> hashes;
        std::uint64_t previous = 0;
        for (std::size_t begin = 0; begin + prefixBlockBytes <= prompt.size() && hashes.size() < maxPrefixHashes; begin += prefixBlockBytes) {
            previous = XXH64(prompt.data() + begin, prefixBlockBytes, previous);
            hashes.push_back(previous);
        }
        return hashes;
    }

    admission::RequestProfile admissionProfile(const WorkItem& item)
    {
        admission::RequestProfile profile;
        profile.tenant = item.tenant;
        profile.run = item.run;
        profile.service = item.service;
        profile.bytes = item.body.size() + item.generation.fields.size();
        profile.promptTokens = static_cast<double>(item.isEngine ? item.generation.prompt.size() : item.body.size()) / bytesPerToken;
        profile.maxTokens = item.isEngine ? item.generation.maxTokens : std::optional<double>(1);
        profile.workClass = item.workClass;
        profile.deadline = item.deadline;
        return profile;
    }

    routing::RequestProfile routingProfile(const WorkItem& item)
    {
        routing::RequestProfile profile;
        profile.service = item.service;
        profile.prefixes = prefixHashes(item.generation.prompt);
        profile.tokensPerPrefix = prefixBlockBytes / bytesPerToken;
        profile.adapter = item.generation.adapter;
        profile.minVersion = item.minVersion;
        if (item.avoidedEndpoint)
            profile.avoidedEndpoints.push_back(*item.avoidedEndpoint);
        return profile;
    }

}

/// State of a streamed response, shared by the thread that produces it and the thread that waits for its start.
struct CallerService::Stream {
    std::shared_ptr<const WorkItem> item;
    std::shared_ptr<Dispatcher::Entry> entry;
    std::shared_ptr<CallerResponse> response;
    std::mutex mutex;
    std::condition_variable changed;
    bool hasBegun = false;
    bool hasEnded = false;
    std::optional<PipelineError> error; ///< Set if the request failed before the response began.

    void signal(bool begun, bool ended)
    {
        const std::lock_guard lock(mutex);
        hasBegun = hasBegun || begun;
        hasEnded = hasEnded || ended;
        changed.notify_all();
    }
};

PipelineResult<std::shared_ptr<CallerResponse>> CallerService::answer(CallerRequest request, std::shared_ptr<const config::Configuration> configuration)
{
    ++m_inProgress;
    auto item = m_dependencies.validateRequest(std::move(request), std::move(configuration));
    if (!item) {
        --m_inProgress;
        return tl::unexpected(item.error());
    }
    const auto sharedItem = std::make_shared<const WorkItem>(std::move(*item));
    const bool needsClaim = IdempotencyClaims::isNeeded(*sharedItem);
    if (needsClaim) {
        const auto claimResult = m_dependencies.claims.claim(*sharedItem);
        if (!claimResult || *claimResult) {
            --m_inProgress;
            if (!claimResult)
                return tl::unexpected(claimResult.error());
            auto recorded = std::make_shared<CallerResponse>();
            recorded->httpStatus = (*claimResult)->httpStatus;
            recorded->contentType = (*claimResult)->contentType;
            recorded->body = (*claimResult)->body;
            return recorded;
        }
    }
    auto result = run(sharedItem);
    if (needsClaim)
        finishClaim(*sharedItem, result);
    if (!result || !(*result)->events)
        --m_inProgress;
    return result;
}

PipelineResult<std::shared_ptr<Dispatcher::Entry>> CallerService::admit(const WorkItem& item)
{
    auto entry = m_dependencies.dispatcher.admit(admissionProfile(item), routingProfile(item));
    if (!entry)
        m_dependencies.metrics.counter("azurepaddle_requests_refused_total", { item.tenant, item.workClass }).add();
    return entry;
}

PipelineResult<std::shared_ptr<CallerResponse>> CallerService::run(const std::shared_ptr<const WorkItem>& item)
{
    auto entry = admit(*item);
    if (!entry)
        return tl::unexpected(entry.error());
    if (!item->isEngine)
        return runPlain(*item, *entry);
    // A request with a claim is not streamed, so that its complete response is recorded before the client receives it.
    if (item->generation.isStreamed && !IdempotencyClaims::isNeeded(*item))
        return runStreamed(item, *entry);
    return runBuffered(*item, *entry);
}

PipelineResult<std::shared_ptr<CallerResponse>> CallerService::runBuffered(const WorkItem& item, const std::shared_ptr<Dispatcher::Entry>& entry)
{
    const auto result = m_dependencies.sender.generate(
        item, entry, [](const EngineEvent&) { return true; }, {});
    record(item, *entry, result);
    if (!result)
        return tl::unexpected(result.error());
    auto response = std::make_shared<CallerResponse>();
    response->contentType = "application/json";
    response->body = completionBody(item, *result);
    response->versions = versionsOf(*result);
    return response;
}

PipelineResult<std::shared_ptr<CallerResponse>> CallerService::runPlain(const WorkItem& item, const std::shared_ptr<Dispatcher::Entry>& entry)
{
    auto result = m_dependencies.sender.call(item, entry, {});
    if (!result) {
        record(item, *entry, tl::unexpected(result.error()));
        return tl::unexpected(result.error());
    }
    Answer accountedAnswer;
    accountedAnswer.tokens = 1;
    record(item, *entry, accountedAnswer);
    auto response = std::make_shared<CallerResponse>();
    response->httpStatus = result->httpStatus;
    response->contentType = std::move(result->contentType);
    response->body = std::move(result->body);
    return response;
}

PipelineResult<std::shared_ptr<CallerResponse>> CallerService::runStreamed(const std::shared_ptr<const WorkItem>& item, const std::shared_ptr<Dispatcher::Entry>& entry)
{
    auto stream = std::make_shared<Stream>();
    stream->item = item;
    stream->entry = entry;
    stream->response = std::make_shared<CallerResponse>();
    stream->response->contentType = streamContentType;
    stream->response->events = std::make_shared<Channel<std::string>>(m_dependencies.streamQueueCapacity);
    if (!m_dependencies.runInBackground([this, stream] { produceStream(stream); })) {
        m_dependencies.dispatcher.cancel(entry);
        return refuse(PipelineErrorCode::Overloaded, "this instance carries its maximum of streams", overloadRetryAfter);
    }
    std::unique_lock lock(stream->mutex);
    stream->changed.wait(lock, [&] { return stream->hasBegun || stream->hasEnded; });
    if (stream->error) {
        ++m_inProgress; // Offsets the decrement in answer(); produceStream() has already decremented.
        return tl::unexpected(*stream->error);
    }
    return stream->response;
}

void CallerService::produceStream(const std::shared_ptr<Stream>& stream)
{
    const WorkItem& item = *stream->item;
    CallerResponse& response = *stream->response;
    bool begun = false;
    const auto onChunk = [&](const EngineEvent& event) {
        if (!begun) {
            begun = true;
            if (event.version)
                response.versions.push_back(*event.version);
            stream->signal(true, false);
        }
        return response.events->push(chunkEvent(item, event));
    };
    const auto result = m_dependencies.sender.generate(item, stream->entry, onChunk, response.stop.get_token());
    record(item, *stream->entry, result);
    if (result) {
        if (!begun)
            response.versions = versionsOf(*result);
        stream->signal(true, false);
        static_cast<void>(response.events->push(finalEvents(item, *result)));
    } else if (begun) {
        static_cast<void>(response.events->push(errorEvent(item, result.error())));
    } else {
        stream->error = result.error();
    }
    --m_inProgress;
    response.events->close();
    stream->signal(false, true);
}

void CallerService::record(const WorkItem& item, const Dispatcher::Entry& entry, const PipelineResult<Answer>& result)
{
    const metrics::Labels labels { item.tenant, entry.ticket.size.workClass };
    const Duration total = m_dependencies.clock.now() - item.arrived;
    if (result) {
        m_dependencies.admission.onFinished(entry.ticket, result->tokens, total);
        m_dependencies.metrics.histogram("azurepaddle_request_seconds", labels).record(total);
        m_dependencies.metrics.counter("azurepaddle_requests_answered_total", labels).add();
        m_dependencies.metrics.counter("azurepaddle_tokens_total", labels).add(result->tokens);
        return;
    }
    m_dependencies.admission.onFailed(entry.ticket, 0);
    switch (result.error().outcome()) {
    case Outcome::NotRun:
        m_dependencies.metrics.counter("azurepaddle_requests_not_run_total", labels).add();
        return;
    case Outcome::Unknown:
        m_dependencies.metrics.counter("azurepaddle_requests_unknown_total", labels).add();
        return;
    case Outcome::Failed:
        m_dependencies.metrics.counter("azurepaddle_requests_failed_total", labels).add();
        return;
    }
}

void CallerService::finishClaim(const WorkItem& item, const PipelineResult<std::shared_ptr<CallerResponse>>& result) const
{
    if (!result && result.error().outcome() == Outcome::NotRun) {
        m_dependencies.claims.release(item);
        return;
    }
    control::ClaimResult outcome;
    if (result) {
        outcome.outcome = control::ClaimOutcome::Succeeded;
        outcome.httpStatus = static_cast<std::uint32_t>((*result)->httpStatus);
        outcome.contentType = (*result)->contentType;
        outcome.body = (*result)->body;
    } else {
        outcome.outcome = result.error().outcome() == Outcome::Failed ? control::ClaimOutcome::Failed : control::ClaimOutcome::Unknown;
    }
    m_dependencies.claims.complete(item, std::move(outcome));
}

}
