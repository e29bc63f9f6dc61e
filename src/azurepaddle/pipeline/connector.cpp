#include "azurepaddle/pipeline/connector.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace azurepaddle::pipeline {

namespace {

    constexpr int httpOk = 200;
    constexpr int httpRedirect = 300;
    constexpr int httpBadRequest = 400;
    constexpr int httpServerError = 500;
    constexpr int httpTooManyRequests = 429;
    constexpr auto outcomeHeader = "X-Azurepaddle-Outcome";

    bool isSuccess(int status) noexcept { return status >= httpOk && status < httpRedirect; }

    AttemptStatus statusOfError(httplib::Error error, bool isStopped, Duration elapsed, Duration progressDeadline) noexcept
    {
        switch (error) {
        case httplib::Error::Connection:
        case httplib::Error::ConnectionTimeout:
        case httplib::Error::BindIPAddress:
        case httplib::Error::SSLConnection:
        case httplib::Error::SSLLoadingCerts:
        case httplib::Error::SSLServerVerification:
            return AttemptStatus::NotSent;
        case httplib::Error::Canceled:
            return AttemptStatus::Cancelled;
        default:
            break;
        }
        if (isStopped)
            return AttemptStatus::Cancelled;
        return elapsed >= progressDeadline ? AttemptStatus::ProgressTimeout : AttemptStatus::ConnectionLost;
    }

    AttemptStatus statusOfResponse(const httplib::Response& response) noexcept
    {
        if (isSuccess(response.status))
            return AttemptStatus::Complete;
        if (response.get_header_value(outcomeHeader) == outcomeName(Outcome::NotRun))
            return AttemptStatus::NotRun;
        if (response.status >= httpBadRequest && response.status < httpServerError && response.status != httpTooManyRequests)
            return AttemptStatus::Rejected;
        return AttemptStatus::Failed;
    }

    httplib::Request makeRequest(const OutgoingRequest& request)
    {
        httplib::Request outgoing;
        outgoing.method = request.method;
        outgoing.path = request.path;
        outgoing.body = request.body;
        if (!request.body.empty())
            outgoing.set_header("Content-Type", request.contentType);
        for (const auto& [name, value] : request.headers)
            outgoing.set_header(name, value);
        outgoing.set_header("Connection", "close");
        return outgoing;
    }

    void setTimeout(httplib::Client& client, const ConnectorOptions& options, Duration progressDeadline)
    {
        client.set_connection_timeout(options.connectTimeout);
        client.set_write_timeout(options.writeTimeout);
        client.set_read_timeout(progressDeadline);
        client.set_tcp_nodelay(true);
        client.set_keep_alive(false);
        client.set_follow_location(false);
    }

}

Connector::Connector(ConnectorOptions options)
    : m_options(options)
{
}

AttemptResult Connector::attempt(const std::string& address, const OutgoingRequest& request, Duration progressDeadline,
    const std::stop_token& stop, const std::function<bool(std::string_view)>& onBytes) const
{
    if (stop.stop_requested())
        return { AttemptStatus::Cancelled, 0, {}, {}, "cancelled before it was sent" };
    httplib::Client client("http://" + address);
    setTimeout(client, m_options, progressDeadline);
    httplib::Request outgoing = makeRequest(request);

    const SystemClock clock;
    TimePoint lastProgress = clock.now();
    bool isAccepted = true;
    std::string errorBody;
    int status = 0;
    outgoing.response_handler = [&](const httplib::Response& response) {
        status = response.status;
        lastProgress = clock.now();
        return true;
    };
    outgoing.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
        lastProgress = clock.now();
        if (isSuccess(status))
            isAccepted = onBytes({ data, size });
        else if (errorBody.size() < m_options.maxEventBytes)
            errorBody.append(data, size);
        return isAccepted && !stop.stop_requested();
    };

    const std::stop_callback onStop(stop, [&client] { client.stop(); });
    const auto result = client.send(outgoing);
    if (!result) {
        const AttemptStatus failure = statusOfError(result.error(), stop.stop_requested(), clock.now() - lastProgress, progressDeadline);
        return { failure, status, {}, {}, fmt::format("{}: {}", address, httplib::to_string(result.error())) };
    }
    return { statusOfResponse(*result), result->status, result->get_header_value("Content-Type"), std::move(errorBody), {} };
}

AttemptResult Connector::call(
    const std::string& address, const OutgoingRequest& request, Duration progressDeadline, const std::stop_token& stop) const
{
    std::string body;
    bool isTooLarge = false;
    auto result = attempt(address, request, progressDeadline, stop, [&](std::string_view bytes) {
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
    auto result = attempt(address, request, progressDeadline, stop, [&](std::string_view bytes) {
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
