#include "azurepaddle/pipeline/connector.hpp"

#include "azurepaddle/pipeline/endpoint_call.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace azurepaddle::pipeline {

namespace {

    constexpr unsigned httpOk = 200;
    constexpr unsigned httpRedirect = 300;
    constexpr unsigned httpBadRequest = 400;
    constexpr unsigned httpServerError = 500;
    constexpr unsigned httpTooManyRequests = 429;
    constexpr auto outcomeHeader = "X-Azurepaddle-Outcome";

    bool isSuccess(unsigned status) noexcept { return status >= httpOk && status < httpRedirect; }

    // Larger heads of answers are not accepted.
    constexpr std::uint32_t maxHeadBytes = 32U * 1024U;

    AttemptStatus statusOfEnd(CallEnd end) noexcept
    {
        switch (end) {
        case CallEnd::Complete:
            return AttemptStatus::Complete;
        case CallEnd::NotConnected:
            return AttemptStatus::NotSent;
        case CallEnd::Lost:
            return AttemptStatus::ConnectionLost;
        case CallEnd::TimedOut:
            return AttemptStatus::ProgressTimeout;
        case CallEnd::Invalid:
            return AttemptStatus::Failed;
        case CallEnd::Stopped:
            return AttemptStatus::Cancelled;
        }
        return AttemptStatus::Failed;
    }

    AttemptStatus statusOfResponse(const http1::Response& response) noexcept
    {
        if (isSuccess(response.status))
            return AttemptStatus::Complete;
        if (response.fields.find(outcomeHeader) == outcomeName(Outcome::NotRun))
            return AttemptStatus::NotRun;
        if (response.status >= httpBadRequest && response.status < httpServerError && response.status != httpTooManyRequests)
            return AttemptStatus::Rejected;
        return AttemptStatus::Failed;
    }

    http1::Request makeRequest(const std::string& address, const OutgoingRequest& request)
    {
        http1::Request outgoing { request.method, request.path, { { "Host", address } }, request.body };
        if (!request.body.empty())
            outgoing.fields.add("Content-Type", request.contentType);
        for (const auto& [name, value] : request.headers)
            outgoing.fields.add(name, value);
        outgoing.fields.add("Connection", "close");
        return outgoing;
    }

}

Connector::Connector(ConnectorOptions options)
    : m_options(options)
    , m_io(std::make_unique<asio::io_context>())
{
}

AttemptResult Connector::attempt(const std::string& address, const OutgoingRequest& request, const WaitLimits& waits,
    const std::stop_token& stop, const std::function<bool(std::string_view)>& onBytes) const
{
    if (stop.stop_requested())
        return { AttemptStatus::Cancelled, 0, {}, {}, "cancelled before it was sent" };
    EndpointCall call(*m_io, { m_options.connectTimeout, m_options.writeTimeout, waits.progressDeadline, waits.end, { maxHeadBytes, m_options.maxAnswerBytes } });
    std::string errorBody;
    const CallEnd end = call.run(address, makeRequest(address, request), stop, [&](const http1::Response& head, std::string_view bytes) {
        if (isSuccess(head.status))
            return onBytes(bytes);
        errorBody.append(bytes.substr(0, m_options.maxEventBytes - std::min(errorBody.size(), m_options.maxEventBytes)));
        return true;
    });
    const bool hasStatus = call.hasHead() && end != CallEnd::Invalid;
    const int status = hasStatus ? static_cast<int>(call.head().status) : 0;
    if (end != CallEnd::Complete)
        return { statusOfEnd(end), status, {}, {}, fmt::format("{}: {}", address, call.message()) };
    return { statusOfResponse(call.head()), status, std::string(call.head().fields.find("Content-Type")), std::move(errorBody), {} };
}

AttemptResult Connector::call(
    const std::string& address, const OutgoingRequest& request, Duration deadline, const std::stop_token& stop) const
{
    std::string body;
    bool isTooLarge = false;
    auto result = attempt(address, request, { deadline, SystemClock().now() + deadline }, stop, [&](std::string_view bytes) {
        isTooLarge = body.size() + bytes.size() > m_options.maxAnswerBytes;
        if (!isTooLarge)
            body.append(bytes);
        return !isTooLarge;
    });
    if (isTooLarge)
        return { AttemptStatus::Failed, result.httpStatus, {}, {}, fmt::format("{}: the answer exceeds {} bytes", address, m_options.maxAnswerBytes) };
    if (result.status == AttemptStatus::Complete)
        result.body = std::move(body);
    return result;
}

AttemptResult Connector::stream(const std::string& address, const OutgoingRequest& request, Duration progressDeadline,
    const std::stop_token& stop, const std::function<bool(EngineEvent&&)>& onEvent) const
{
    ServerSentEventReader reader(m_options.maxEventBytes);
    bool hasEndMarker = false;
    bool isMalformed = false;
    auto result = attempt(address, request, { progressDeadline, TimePoint::max() }, stop, [&](std::string_view bytes) {
        bool isStopped = false;
        const bool canContinue = reader.feed(bytes, [&](std::string_view payload) {
            auto event = parseEngineEvent(payload);
            if (!event) {
                isMalformed = true;
                return false;
            }
            hasEndMarker = hasEndMarker || event->isLast;
            isStopped = !onEvent(std::move(*event));
            return !isStopped;
        });
        isMalformed = isMalformed || (!canContinue && !isStopped);
        return canContinue;
    });
    if (isMalformed)
        return { AttemptStatus::Failed, result.httpStatus, {}, {}, fmt::format("{}: the endpoint sent a malformed event", address) };
    if (result.status == AttemptStatus::Complete && !hasEndMarker)
        return { AttemptStatus::ConnectionLost, result.httpStatus, {}, {}, fmt::format("{}: the stream ended early", address) };
    return result;
}

RequestState Connector::query(const std::string& address, const RequestId& request) const
{
    const OutgoingRequest outgoing { "GET", "/requests/" + request.value(), {}, {}, {} };
    const auto result = call(address, outgoing, m_options.queryTimeout, {});
    if (result.httpStatus == 404) // NOLINT(readability-magic-numbers)
        return RequestState::Unknown;
    if (result.status != AttemptStatus::Complete)
        return RequestState::Unreachable;
    const auto object = nlohmann::json::parse(result.body, nullptr, false);
    const std::string state = object.is_object() ? object.value("state", std::string()) : std::string();
    if (state == "running")
        return RequestState::Running;
    if (state == "finished")
        return RequestState::Finished;
    return state == "unknown" ? RequestState::Unknown : RequestState::Unreachable;
}

void Connector::cancel(const std::string& address, const RequestId& request) const
{
    const OutgoingRequest outgoing { "POST", "/requests/" + request.value() + "/cancel", "application/json", "{}", {} };
    static_cast<void>(call(address, outgoing, m_options.queryTimeout, {}));
}

}
