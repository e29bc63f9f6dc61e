#include "azurepaddle/pipeline/connector.hpp"

#include "azurepaddle/pipeline/rawpeer.hpp"

#include <criterion/criterion.h>
#include <latch>

using namespace azurepaddle;
using namespace azurepaddle::pipeline;
using namespace std::chrono_literals;

namespace {

const std::string streamHeaders = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";

OutgoingRequest sampleRequest()
{
    return { "POST", "/v1/completions", "application/json", R"({"prompt":"p"})", {} };
}

AttemptResult streamFrom(const RawPeer& peer, Answer& answer, Duration progressDeadline = 10s)
{
    return Connector({}).stream(peer.address(), sampleRequest(), progressDeadline, {}, [&](EngineEvent&& event) {
        answer.add(event);
        return true;
    });
}

}

// Detects an HTTP client library that resends a request by itself after the peer read it and closed the connection.
Test(Connector, peerReadsAndCloses_called_sendsOnce)
{
    const RawPeer peer([](RawPeer::Socket&, const RawRequest&) {});
    const auto result = Connector({}).call(peer.address(), sampleRequest(), 10s, {});
    cr_assert(result.status == AttemptStatus::ConnectionLost);
    cr_assert(peer.requests() == 1);
}

// Detects that a refused connection is not reported as NotSent. The idempotency key would then remain claimed although
// the request never reached the endpoint.
Test(Connector, closedPort_called_isNotSent)
{
    std::string address;
    {
        const RawPeer peer([](RawPeer::Socket&, const RawRequest&) {});
        address = peer.address();
    }
    cr_assert(Connector({}).call(address, sampleRequest(), 10s, {}).status == AttemptStatus::NotSent);
}

// Detects that a stream that ends without its end marker is accepted as complete.
Test(Connector, streamEndsEarly_read_isConnectionLost)
{
    const RawPeer peer([](RawPeer::Socket& socket, const RawRequest&) { writeAll(socket, streamHeaders + "data: {\"text\":\"a\",\"tokens\":1}\n\n"); });
    Answer answer;
    cr_assert(streamFrom(peer, answer).status == AttemptStatus::ConnectionLost);
    cr_assert(answer.text == "a");
    cr_assert(answer.hasUnversionedTokens);
}

// Detects spans whose weight versions differ from those that the engine reported, also if an event is split over two
// writes.
Test(Connector, versionChangesInStream_read_keepsSpans)
{
    const RawPeer peer([](RawPeer::Socket& socket, const RawRequest&) {
        writeAll(socket, streamHeaders + "data: {\"text\":\"a\",\"tokens\":2,\"weight_version\":4}\n\ndata: {\"text\":\"b\",\"tok");
        writeAll(socket, "ens\":1,\"weight_version\":5,\"finish_reason\":\"stop\"}\n\ndata: [DONE]\n\n");
    });
    Answer answer;
    cr_assert(streamFrom(peer, answer).status == AttemptStatus::Complete);
    cr_assert(answer.text == "ab" && answer.finishReason == "stop");
    cr_assert(answer.spans == (std::vector<Span> { { 4, 2 }, { 5, 1 } }));
}

// Detects that a read without time-out blocks indefinitely if the peer sends nothing after accepting the request.
Test(Connector, silentPeer_read_isProgressTimeout)
{
    std::latch done(1);
    RawPeer peer([&](RawPeer::Socket&, const RawRequest&) { done.wait(); });
    Answer answer;
    const auto result = streamFrom(peer, answer, 50ms);
    done.count_down();
    cr_assert(result.status == AttemptStatus::ProgressTimeout);
}

// Detects unbounded memory use if an endpoint sends an event that never ends.
Test(Connector, oversizedEvent_read_isFailed)
{
    const RawPeer peer([](RawPeer::Socket& socket, const RawRequest&) { writeAll(socket, streamHeaders + "data: " + std::string(4U << 20U, 'x')); });
    Answer answer;
    cr_assert(streamFrom(peer, answer).status == AttemptStatus::Failed);
}

// Detects that a server error is reported as NotRun although the endpoint did not send the outcome header.
Test(Connector, serverError_called_isNotRunOnlyIfAttested)
{
    const RawPeer plain([](RawPeer::Socket& socket, const RawRequest&) { writeAll(socket, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"); });
    const RawPeer attested([](RawPeer::Socket& socket, const RawRequest&) {
        writeAll(socket, "HTTP/1.1 503 Busy\r\nX-Azurepaddle-Outcome: not-run\r\nContent-Length: 0\r\n\r\n");
    });
    cr_assert(Connector({}).call(plain.address(), sampleRequest(), 10s, {}).status == AttemptStatus::Failed);
    cr_assert(Connector({}).call(attested.address(), sampleRequest(), 10s, {}).status == AttemptStatus::NotRun);
}

// Detects that a cancelled request continues to wait for the response.
Test(Connector, stopRequested_whileWaiting_isCancelled)
{
    std::latch received(1);
    std::latch done(1);
    RawPeer peer([&](RawPeer::Socket&, const RawRequest&) {
        received.count_down();
        done.wait();
    });
    std::stop_source source;
    std::thread stopper([&] {
        received.wait();
        source.request_stop();
    });
    const auto result = Connector({}).call(peer.address(), sampleRequest(), 60s, source.get_token());
    done.count_down();
    stopper.join();
    cr_assert(result.status == AttemptStatus::Cancelled);
}
