#include "azurepaddle/http/caller_routes.hpp"

#include "azurepaddle/core/digest.hpp"

#include <charconv>
#include <fmt/ranges.h>
#include <limits>

namespace azurepaddle::http {

namespace {

    using pipeline::CallerRequest;
    using pipeline::CallerResponse;
    using pipeline::PipelineErrorCode;
    using pipeline::PipelineResult;
    using pipeline::refuse;

    constexpr std::size_t requestIdBytes = 12;
    constexpr std::int64_t maxDeadlineMs = 24LL * 3600 * 1000;
    constexpr std::int64_t msPerSecond = 1000;

    PipelineResult<std::optional<std::int64_t>> numberHeader(const httplib::Request& request, const char* name, std::int64_t maximum)
    {
        if (!request.has_header(name))
            return std::optional<std::int64_t>();
        const std::string text = request.get_header_value(name);
        std::int64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size() || value < 1 || value > maximum)
            return refuse(PipelineErrorCode::BadRequest, fmt::format("{} is not a whole number from 1 to {}", name, maximum));
        return std::optional(value);
    }

    PipelineResult<void> readClass(const httplib::Request& request, CallerRequest& caller)
    {
        const std::string name = request.get_header_value("X-Azurepaddle-Class");
        if (name == workClassName(WorkClass::Short))
            caller.workClass = WorkClass::Short;
        else if (name == workClassName(WorkClass::Long))
            caller.workClass = WorkClass::Long;
        else if (!name.empty())
            return refuse(PipelineErrorCode::BadRequest, "X-Azurepaddle-Class is neither short nor long");
        return {};
    }

    PipelineResult<void> readMark(const httplib::Request& request, CallerRequest& caller)
    {
        const std::string mark = request.get_header_value("X-Azurepaddle-Non-Idempotent");
        if (!mark.empty() && mark != "true" && mark != "false")
            return refuse(PipelineErrorCode::BadRequest, "X-Azurepaddle-Non-Idempotent is neither true nor false");
        if (!mark.empty())
            caller.nonIdempotent = mark == "true";
        return {};
    }

    PipelineResult<CallerRequest> readRequest(const httplib::Request& request)
    {
        CallerRequest caller;
        caller.id = RequestId(randomHex(requestIdBytes));
        caller.token = bearerToken(request);
        caller.path = request.path;
        caller.contentType = request.get_header_value("Content-Type");
        caller.body = request.body;
        caller.idempotencyKey = request.get_header_value("Idempotency-Key");
        if (const auto read = readClass(request, caller); !read)
            return tl::unexpected(read.error());
        if (const auto read = readMark(request, caller); !read)
            return tl::unexpected(read.error());
        const auto deadline = numberHeader(request, "X-Azurepaddle-Deadline-Ms", maxDeadlineMs);
        if (!deadline)
            return tl::unexpected(deadline.error());
        if (*deadline)
            caller.timeout = std::chrono::milliseconds(**deadline);
        const auto firstSeen = numberHeader(request, "X-Azurepaddle-Key-First-Seen", std::numeric_limits<std::int64_t>::max() / msPerSecond);
        if (!firstSeen)
            return tl::unexpected(firstSeen.error());
        caller.keyFirstSeenMs = firstSeen->value_or(0) * msPerSecond;
        return caller;
    }

    std::string joinVersions(const std::vector<WeightVersion>& versions)
    {
        return fmt::format("{}", fmt::join(versions, ","));
    }

    void answerStream(httplib::Response& response, const std::shared_ptr<CallerResponse>& answer)
    {
        response.set_chunked_content_provider(
            answer->contentType,
            [answer](std::size_t, httplib::DataSink& sink) {
                const auto event = answer->events->pop();
                if (!event) {
                    sink.done();
                    return true;
                }
                return sink.write(event->data(), event->size());
            },
            [answer](bool) {
                answer->stop.request_stop();
                answer->events->close();
            });
    }

    void serve(CallerRequest caller, httplib::Response& response, pipeline::CallerService& callers, const pipeline::ConfigurationHolder& configuration)
    {
        response.set_header("X-Azurepaddle-Request-Id", caller.id.value());
        const auto current = configuration.current();
        if (!current)
            return answerProblem(response, pipeline::PipelineError(PipelineErrorCode::ControlUnavailable, Outcome::NotRun, "this instance has no configuration yet", std::chrono::seconds(1)));
        const auto answer = callers.answer(std::move(caller), current);
        if (!answer)
            return answerProblem(response, answer.error());
        response.status = (*answer)->httpStatus;
        if (!(*answer)->versions.empty())
            response.set_header("X-Azurepaddle-Weight-Versions", joinVersions((*answer)->versions));
        if ((*answer)->events)
            answerStream(response, *answer);
        else
            response.set_content((*answer)->body, (*answer)->contentType);
    }

}

void addCallerRoutes(HttpServer& server, pipeline::CallerService& callers, const pipeline::ConfigurationHolder& configuration)
{
    const auto serveEngine = [&](const httplib::Request& request, httplib::Response& response) {
        auto caller = readRequest(request);
        if (!caller)
            return answerProblem(response, caller.error());
        serve(std::move(*caller), response, callers, configuration);
    };
    server.routes().Post("/v1/completions", serveEngine);
    server.routes().Post("/v1/chat/completions", serveEngine);
    server.routes().Post(R"(/v1/services/([^/]+)(/.*))", [&](const httplib::Request& request, httplib::Response& response) {
        auto caller = readRequest(request);
        if (!caller)
            return answerProblem(response, caller.error());
        caller->isEngine = false;
        caller->service = ServiceName(request.matches[1]);
        caller->path = request.matches[2];
        serve(std::move(*caller), response, callers, configuration);
    });
}

}
