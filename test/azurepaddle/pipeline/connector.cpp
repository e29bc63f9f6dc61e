#include "azurepaddle/pipeline/connector.hpp"

#include "azurepaddle/pipeline/rawpeer.hpp"

#include <criterion/criterion.h>
#include <latch>

using namespace azurepaddle;
using namespace azurepaddle::pipeline;
using namespace std::chrono_literals;

namespace {

const std::string streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";

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

// Guards against a client library that sends a request again on its own after the peer read it and closed.
Test(Connector, peerReadsAndCloses_called_sendsOnce)
{
    const RawPeer peer([](RawPeer::Socket&, const RawRequest&) {});
    const auto result = Connector({}).call(peer.address(), sampleRequest(), 10s, {});
    cr_assert(result.status == AttemptStatus::Broken);
    cr_assert(peer.requests() == 1);
}

// Guards against a claim that is kept although the endpoint was never reached.
Test(Connector, closedPort_called_isNotSent)
{
    std::string address;
    {
        const RawPeer peer([](RawPeer::Socket&, const RawRequest&) {});
        address = peer.address();
    }
    cr_assert(Connector({}).call(address, sampleRequest(), 10s, {}).status == AttemptStatus::NotSent);
}

// Guards against a stream without its end mark that is taken for whole.
Test(Connector, streamEndsEarly_read_isBroken)
{
    const RawPeer peer([](RawPeer::Socket& socket, const RawRequest&) { writeAll(socket, streamHead + "data: {\"text\":\"a\",\"tokens\":1}\n\n"); });
    Answer answer;
    cr_assert(streamFrom(peer, answer).status == AttemptStatus::Broken);
    cr_assert(answer.text == "a");
    cr_assert(answer.hasUnversionedTokens);
}

// Guards against labels that differ from what the engine stated.
Test(Connector, versionChangesInStream_read_keepsSpans)
{
    const RawPeer peer([](RawPeer::Socket& socket, const RawRequest&) {
        writeAll(socket, streamHead + "data: {\"text\":\"a\",\"tokens\":2,\"weight_version\":4}\n\ndata: {\"text\":\"b\",\"tok");
        writeAll(socket, "ens\":1,\"weight_version\":5,\"finish_reason\":\"stop\"}\n\ndata: [DONE]\n\n");
    });
    Answer answer;
    cr_assert(streamFrom(peer, answer).status == AttemptStatus::Complete);
    cr_assert(answer.text == "ab" && answer.finishReason == "stop");
    cr_assert(answer.spans == (std::vector<Span> { { 4, 2 }, { 5, 1 } }));
}

// Guards against a caller that waits for ever on a connection that went silent.
Test(Connector, silentPeer_read_isSilent)
{
    std::latch done(1);
    RawPeer peer([&](RawPeer::Socket&, const RawRequest&) { done.wait(); });
    Answer answer;
    const auto result = streamFrom(peer, answer, 50ms);
    done.count_down();
    cr_assert(result.status == AttemptStatus::Silent);
}

// Guards against endless memory use by an endpoint that sends an event without end.
Test(Connector, oversizedEvent_read_isFailed)
{
    const RawPeer peer([](RawPeer::Socket& socket, const RawRequest&) { writeAll(socket, streamHead + "data: " + std::string(4U << 20U, 'x')); });
    Answer answer;
    cr_assert(streamFrom(peer, answer).status == AttemptStatus::Failed);
}

// Guards against a "not-run" that the endpoint did not attest.
Test(Connector, serverError_called_isNotRunOnlyIfAttested)
{
    const RawPeer plain([](RawPeer::Socket& socket, const RawRequest&) { writeAll(socket, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"); });
    const RawPeer attested([](RawPeer::Socket& socket, const RawRequest&) {
        writeAll(socket, "HTTP/1.1 503 Busy\r\nX-Azurepaddle-Outcome: not-run\r\nContent-Length: 0\r\n\r\n");
    });
    cr_assert(Connector({}).call(plain.address(), sampleRequest(), 10s, {}).status == AttemptStatus::Failed);
    cr_assert(Connector({}).call(attested.address(), sampleRequest(), 10s, {}).status == AttemptStatus::NotRun);
}

// Guards against a cancelled request that goes on reading.
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
