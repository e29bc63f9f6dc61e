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
    constexpr std::size_t maxPrefixes = 64;
    constexpr Duration overloadRetry = std::chrono::milliseconds(500);
    constexpr auto streamContentType = "text/event-stream";

    /// Hashes of the prompt's prefixes of one, two and more blocks, as engines report them: XXH64 of a block, seeded with
    /// the hash of the prefix before it.
    std::vector<std::uint64_t> prefixHashes(const std::string& prompt)
    {
        std::vector<std::uint64_t> hashes;
        std::uint64_t previous = 0;
        for (std::size_t begin = 0; begin + prefixBlockBytes <= prompt.size() && hashes.size() < maxPrefixes; begin += prefixBlockBytes) {
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

/// A streamed answer between the thread that produces it and the one that waits for its beginning.
struct CallerService::Stream {
    std::shared_ptr<const WorkItem> item;
    std::shared_ptr<Dispatcher::Entry> entry;
    std::shared_ptr<CallerResponse> answer;
    std::mutex mutex;
    std::condition_variable changed;
    bool hasBegun = false;
    bool hasEnded = false;
    std::optional<PipelineError> error; ///< Before it had begun.

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
    auto item = m_parts.identify(std::move(request), std::move(configuration));
    if (!item) {
        --m_inProgress;
        return tl::unexpected(item.error());
    }
    const auto shared = std::make_shared<const WorkItem>(std::move(*item));
    const bool needsClaim = IdempotencyClaims::isNeeded(*shared);
    if (needsClaim) {
        const auto claimed = m_parts.claims.claim(*shared);
        if (!claimed || *claimed) {
            --m_inProgress;
            if (!claimed)
                return tl::unexpected(claimed.error());
            auto recorded = std::make_shared<CallerResponse>();
            recorded->httpStatus = (*claimed)->httpStatus;
            recorded->contentType = (*claimed)->contentType;
            recorded->body = (*claimed)->body;
            return recorded;
        }
    }
    auto result = run(shared);
    if (needsClaim)
        settleClaim(*shared, result);
    if (!result || !(*result)->events)
        --m_inProgress;
    return result;
}

PipelineResult<std::shared_ptr<Dispatcher::Entry>> CallerService::admit(const WorkItem& item)
{
    auto entry = m_parts.dispatcher.admit(admissionProfile(item), routingProfile(item));
    if (!entry)
        m_parts.metrics.counter("azurepaddle_requests_refused_total", { item.tenant, item.workClass }).add();
    return entry;
}

PipelineResult<std::shared_ptr<CallerResponse>> CallerService::run(const std::shared_ptr<const WorkItem>& item)
{
    auto entry = admit(*item);
    if (!entry)
        return tl::unexpected(entry.error());
    if (!item->isEngine)
        return runPlain(*item, *entry);
    // A claimed request is answered whole, so that its answer can be recorded before the caller gets it.
    if (item->generation.isStreamed && !IdempotencyClaims::isNeeded(*item))
        return runStreamed(item, *entry);
    return runWhole(*item, *entry);
}

PipelineResult<std::shared_ptr<CallerResponse>> CallerService::runWhole(const WorkItem& item, const std::shared_ptr<Dispatcher::Entry>& entry)
{
    const auto result = m_parts.sender.generate(
        item, entry, [](const EngineEvent&) { return true; }, {});
    record(item, *entry, result);
    if (!result)
        return tl::unexpected(result.error());
    auto answer = std::make_shared<CallerResponse>();
    answer->contentType = "application/json";
    answer->body = wholeAnswerBody(item, *result);
    answer->versions = versionsOf(*result);
    return answer;
}

PipelineResult<std::shared_ptr<CallerResponse>> CallerService::runPlain(const WorkItem& item, const std::shared_ptr<Dispatcher::Entry>& entry)
{
    auto result = m_parts.sender.call(item, entry, {});
    if (!result) {
        record(item, *entry, tl::unexpected(result.error()));
        return tl::unexpected(result.error());
    }
    Answer counted;
    counted.tokens = 1;
    record(item, *entry, counted);
    auto answer = std::make_shared<CallerResponse>();
    answer->httpStatus = result->httpStatus;
    answer->contentType = std::move(result->contentType);
    answer->body = std::move(result->body);
    return answer;
}

PipelineResult<std::shared_ptr<CallerResponse>> CallerService::runStreamed(const std::shared_ptr<const WorkItem>& item, const std::shared_ptr<Dispatcher::Entry>& entry)
{
    auto stream = std::make_shared<Stream>();
    stream->item = item;
    stream->entry = entry;
    stream->answer = std::make_shared<CallerResponse>();
    stream->answer->contentType = streamContentType;
    stream->answer->events = std::make_shared<Channel<std::string>>(m_parts.streamQueue);
    if (!m_parts.runInBackground([this, stream] { produceStream(stream); })) {
        m_parts.dispatcher.abandon(entry);
        return refuse(PipelineErrorCode::Overloaded, "this instance carries its maximum of streams", overloadRetry);
    }
    std::unique_lock lock(stream->mutex);
    stream->changed.wait(lock, [&] { return stream->hasBegun || stream->hasEnded; });
    if (stream->error) {
        ++m_inProgress; // The producer counted it down already.
        return tl::unexpected(*stream->error);
    }
    return stream->answer;
}

void CallerService::produceStream(const std::shared_ptr<Stream>& stream)
{
    const WorkItem& item = *stream->item;
    CallerResponse& answer = *stream->answer;
    bool begun = false;
    const auto onPiece = [&](const EngineEvent& event) {
        if (!begun) {
            begun = true;
            if (event.version)
                answer.versions.push_back(*event.version);
            stream->signal(true, false);
        }
        return answer.events->push(pieceEvent(item, event));
    };
    const auto result = m_parts.sender.generate(item, stream->entry, onPiece, answer.stop.get_token());
    record(item, *stream->entry, result);
    if (result) {
        if (!begun)
            answer.versions = versionsOf(*result);
        stream->signal(true, false);
        static_cast<void>(answer.events->push(endEvents(item, *result)));
    } else if (begun) {
        static_cast<void>(answer.events->push(errorEvent(item, result.error())));
    } else {
        stream->error = result.error();
    }
    --m_inProgress;
    answer.events->close();
    stream->signal(false, true);
}

void CallerService::record(const WorkItem& item, const Dispatcher::Entry& entry, const PipelineResult<Answer>& result)
{
    const metrics::Labels labels { item.tenant, entry.ticket.size.workClass };
    const Duration total = m_parts.clock.now() - item.arrived;
    if (result) {
        m_parts.admission.onFinished(entry.ticket, result->tokens, total);
        m_parts.metrics.histogram("azurepaddle_request_seconds", labels).record(total);
        m_parts.metrics.counter("azurepaddle_requests_answered_total", labels).add();
        m_parts.metrics.counter("azurepaddle_tokens_total", labels).add(result->tokens);
        return;
    }
    m_parts.admission.onFailed(entry.ticket, 0);
    switch (result.error().outcome()) {
    case Outcome::NotRun:
        m_parts.metrics.counter("azurepaddle_requests_not_run_total", labels).add();
        return;
    case Outcome::Unknown:
        m_parts.metrics.counter("azurepaddle_requests_unknown_total", labels).add();
        return;
    case Outcome::Failed:
        m_parts.metrics.counter("azurepaddle_requests_failed_total", labels).add();
        return;
    }
}

void CallerService::settleClaim(const WorkItem& item, const PipelineResult<std::shared_ptr<CallerResponse>>& result) const
{
    if (!result && result.error().outcome() == Outcome::NotRun) {
        m_parts.claims.release(item);
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
    m_parts.claims.complete(item, std::move(outcome));
}

}
