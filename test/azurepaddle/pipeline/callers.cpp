#include "azurepaddle/control/control_state.hpp"
#include "azurepaddle/pipeline/background_pool.hpp"
#include "azurepaddle/pipeline/caller_service.hpp"
#include "azurepaddle/pipeline/endpoint_service.hpp"
#include "azurepaddle/pipeline/rawpeer.hpp"

#include "azurepaddle/config/configuration.hpp"
#include "azurepaddle/core/digest.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace azurepaddle;
using namespace azurepaddle::pipeline;
using namespace std::chrono_literals;

namespace {

/// The request path over the state machine of the log, without a log around it.
struct Fixture {
    const SystemClock clock {};
    Random random { 1 };
    std::mutex mutex;
    control::ControlState state;
    std::uint64_t commands = 0;
    metrics::Registry metrics;
    LiveDirectory directory { { InstanceId("i1"), DataCentreName("a") }, clock, random };
    LiveRouter router { clock, Random(1), DataCentreName("a") };
    LiveAdmission admission { clock };
    admission::ConcurrencyLimiter limiter;
    admission::RetryBudget retries;
    routing::SuspectTracker suspects;
    Dispatcher dispatcher { clock, admission, router, limiter, directory };
    ControlPort port { [this](control::ControlAction action, TimePoint) { return apply(std::move(action)); }, { InstanceId("i1"), 1 } };
    SuspectRequestGuard suspicion { port, suspects, [](const routing::Fingerprint&) {} };
    Connector connector { ConnectorOptions {} };
    Sender sender { { clock, dispatcher, router, limiter, retries, connector, suspicion, metrics } };
    RequestValidator identify { clock };
    IdempotencyClaims claims { port };
    BackgroundPool background { 8 };
    CallerService callers { { clock, identify, claims, admission, dispatcher, sender, metrics, [this](std::function<void()> task) { return background.run(std::move(task)); }, 16 } };
    EndpointService endpoints { directory, router, dispatcher };
    std::shared_ptr<const config::Configuration> configuration = makeConfiguration();

    PipelineResult<control::ControlReply> apply(control::ControlAction action)
    {
        const std::lock_guard lock(mutex);
        const auto now = clock.wallNow().time_since_epoch().count();
        return state.apply({ control::CommandId(std::to_string(++commands)), now, now, std::move(action) });
    }

    static std::shared_ptr<const config::Configuration> makeConfiguration()
    {
        const std::string text = fmt::format("[configuration]\nnumber = 1\n[tenant red]\ntoken_sha256 = {}\n[service model]\nkind = engine\n"
                                             "[service desk]\nkind = plain\nidempotent = no\n",
            sha256Hex("token"));
        return std::make_shared<const config::Configuration>(config::parseConfiguration(text, "test").value());
    }

    void announce(const std::string& id, const std::string& address, const std::string& service)
    {
        cr_assert(endpoints.announce(fmt::format(R"({{"id":"{}","address":"{}","service":"{}","data_centre":"a","slots":4,"incarnation":1,"versions":[1]}})", id, address, service)).has_value());
    }

    CallerRequest callDesk(const std::string& key, const std::string& body = "{}") const
    {
        CallerRequest request;
        request.id = RequestId(randomHex(8));
        request.token = "token";
        request.service = ServiceName("desk");
        request.path = "/call";
        request.contentType = "application/json";
        request.body = body;
        request.idempotencyKey = key;
        request.isEngine = false;
        return request;
    }

    CallerRequest complete(bool streamed) const
    {
        CallerRequest request;
        request.id = RequestId(randomHex(8));
        request.token = "token";
        request.path = "/v1/completions";
        request.body = fmt::format(R"({{"model":"model","prompt":"p","max_tokens":4,"stream":{}}})", streamed);
        return request;
    }

    PipelineResult<std::shared_ptr<CallerResponse>> answer(CallerRequest request) { return callers.answer(std::move(request), configuration); }
};

std::string whole(const std::string& body)
{
    return fmt::format("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
}

std::string event(const std::string& id, const std::string& text)
{
    return fmt::format("data: {{\"request_id\":\"{}\",\"text\":\"{}\",\"tokens\":1,\"weight_version\":1}}\n\n", id, text);
}

const std::string streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";

std::string readAll(const CallerResponse& answer)
{
    std::string text;
    while (const auto piece = answer.events->pop())
        text += *piece;
    return text;
}

}

// Guards against a second run of a non-idempotent call whose answer was lost.
Test(CallerService, claimedCall_answerLost_isUnknownAndNeverSentAgain, .timeout = 60)
{
    const RawPeer desk([](RawPeer::Socket&, const RawRequest&) {});
    Fixture fixture;
    fixture.announce("d1", desk.address(), "desk");
    cr_assert(fixture.answer(fixture.callDesk("k")).error().outcome() == Outcome::Unknown);
    cr_assert(fixture.answer(fixture.callDesk("k")).error().outcome() == Outcome::Unknown);
    cr_assert(desk.requests() == 1);
}

// Guards against a repeated key that runs again, or gets another answer, after the first one was answered.
Test(CallerService, claimedCall_repeated_getsTheRecordedAnswer, .timeout = 60)
{
    const RawPeer desk([](RawPeer::Socket& socket, const RawRequest& request) { writeAll(socket, whole(fmt::format(R"({{"run":{}}})", request.number))); });
    Fixture fixture;
    fixture.announce("d1", desk.address(), "desk");
    cr_assert(fixture.answer(fixture.callDesk("k")).value()->body == R"({"run":1})");
    cr_assert(fixture.answer(fixture.callDesk("k")).value()->body == R"({"run":1})");
    cr_assert(fixture.answer(fixture.callDesk("k", R"({"other":1})")).error().code() == PipelineErrorCode::Conflict);
    cr_assert(desk.requests() == 1);
}

// Guards against a key that stays claimed although no byte of the request was sent.
Test(CallerService, claimedCall_connectRefused_releasesTheKey, .timeout = 60)
{
    std::string closed;
    {
        const RawPeer gone([](RawPeer::Socket&, const RawRequest&) {});
        closed = gone.address();
    }
    Fixture fixture;
    fixture.announce("d1", closed, "desk");
    auto request = fixture.callDesk("k");
    request.timeout = 2s;
    cr_assert(fixture.answer(request).error().outcome() == Outcome::NotRun);
    const RawPeer desk([](RawPeer::Socket& socket, const RawRequest&) { writeAll(socket, whole("{}")); });
    fixture.announce("d2", desk.address(), "desk");
    cr_assert(fixture.answer(fixture.callDesk("k")).has_value());
    cr_assert(desk.requests() == 1);
}

// Guards against a call without a key that is sent a second time after its answer was lost.
Test(CallerService, callWithoutKey_answerLost_isSentOnce, .timeout = 60)
{
    const RawPeer desk([](RawPeer::Socket&, const RawRequest&) {});
    Fixture fixture;
    fixture.announce("d1", desk.address(), "desk");
    cr_assert(fixture.answer(fixture.callDesk("")).error().outcome() == Outcome::Unknown);
    cr_assert(desk.requests() == 1);
}

// Guards against an answer put together from two that differ.
Test(CallerService, repeatedStream_withOtherText_endsWithAnError, .timeout = 60)
{
    const RawPeer engine([](RawPeer::Socket& socket, const RawRequest& request) {
        const bool first = request.number == 1;
        writeAll(socket, streamHead + event(request.id, first ? "one " : "two ") + (first ? "" : "data: [DONE]\n\n"));
    });
    Fixture fixture;
    fixture.announce("e1", engine.address(), "model");
    const auto answer = fixture.answer(fixture.complete(true));
    cr_assert(answer.has_value());
    const std::string text = readAll(**answer);
    cr_assert(text.find("one ") != std::string::npos && text.find("two ") == std::string::npos);
    cr_assert(text.find("event: error") != std::string::npos && text.find("[DONE]") == std::string::npos);
}

// Guards against pieces that the caller gets twice when a stream is repeated.
Test(CallerService, repeatedStream_withSameText_goesOnWhereItBroke, .timeout = 60)
{
    const RawPeer engine([](RawPeer::Socket& socket, const RawRequest& request) {
        const std::string rest = request.number == 1 ? "" : event(request.id, "two ") + "data: [DONE]\n\n";
        writeAll(socket, streamHead + event(request.id, "one ") + rest);
    });
    Fixture fixture;
    fixture.announce("e1", engine.address(), "model");
    const std::string text = readAll(**fixture.answer(fixture.complete(true)));
    cr_assert(text.find("one ") == text.rfind("one ") && text.find("two ") != std::string::npos);
    cr_assert(text.ends_with("data: [DONE]\n\n"));
}

// Guards against an answer that belongs to another request.
Test(CallerService, eventOfAnotherRequest_received_isNotPassedOn, .timeout = 60)
{
    const RawPeer engine([](RawPeer::Socket& socket, const RawRequest& request) {
        writeAll(socket, streamHead + event(request.number == 1 ? "other" : request.id, request.number == 1 ? "foreign " : "own ") + "data: [DONE]\n\n");
    });
    Fixture fixture;
    fixture.announce("e1", engine.address(), "model");
    const auto answer = fixture.answer(fixture.complete(false));
    cr_assert(answer.has_value());
    cr_assert((*answer)->body.find("foreign") == std::string::npos && (*answer)->body.find("own ") != std::string::npos);
}
