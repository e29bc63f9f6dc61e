#include "azurepaddle/gateway/caller_stream.hpp"

#include "../http1/fixture.hpp"

using namespace azurepaddle::gateway;
using namespace fixture;

namespace {

/// A forwarded request that only records whether it was cancelled.
struct RecordedCall : ForwardCall {
    void cancel() override { isCancelled = true; }
    bool isCancelled = false;
};

/// A caller whose stream has begun and waits to be opened.
struct CallerStreamFixture {
    asio::io_context io;
    ClientPool caller { io, {} };
    std::shared_ptr<CallerStream> stream;
    std::shared_ptr<RecordedCall> forwarded = std::make_shared<RecordedCall>();
    Server server { io, [this](const ExchangePointer& exchange) {
                       stream = std::make_shared<CallerStream>(exchange, [](const auto&...) {});
                       stream->setCall(forwarded);
                       stream->onBegin({ 200, {}, {}, {} }, {});
                   } };
    Received received;
    ClientCallPointer call;

    CallerStreamFixture()
    {
        cr_assert(server.listen({ "127.0.0.1", 0 }).has_value());
        call = caller.send(server.address(), { "POST", "/x", { { "Host", "h" } }, {} }, {}, received.events());
        cr_assert(runUntil(io, [&] { return stream != nullptr; }));
    }
};

}

// Guards against an endpoint that sends without end and takes all memory before its stream may be passed on.
Test(CallerStream, endpointSendsWithoutEnd_streamNotOpen_isCut)
{
    CallerStreamFixture fixture;
    for (int part = 0; part < 64 && !fixture.forwarded->isCancelled; ++part)
        fixture.stream->onEvents(std::string(64U * 1024U, 'x'));
    cr_assert(fixture.forwarded->isCancelled);
    cr_assert(runUntil(fixture.io, [&] { return fixture.received.end.has_value(); }));
    cr_assert(fixture.received.end->kind != CallEndKind::Complete);
}

// Guards against events that are lost or reordered because they arrived before the stream was opened.
Test(CallerStream, eventsArriveBeforeOpening_arePassedOnInOrder)
{
    CallerStreamFixture fixture;
    fixture.stream->onEvents("id: 1\ndata: a\n\n");
    fixture.stream->open();
    fixture.stream->onEvents("id: 2\ndata: b\n\n");
    fixture.stream->end(StreamState::Complete);
    cr_assert(runUntil(fixture.io, [&] { return fixture.received.end.has_value(); }));
    cr_assert(fixture.received.end->kind == CallEndKind::Complete);
    cr_assert(fixture.received.response.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against a stream that reads as complete although its end came before it was opened and it was cut.
Test(CallerStream, cutBeforeOpening_keptEventsArrive_answerIsNotComplete)
{
    CallerStreamFixture fixture;
    fixture.stream->onEvents("id: 1\ndata: a\n\n");
    fixture.stream->end(StreamState::Cut);
    fixture.stream->open();
    cr_assert(runUntil(fixture.io, [&] { return fixture.received.end.has_value(); }));
    cr_assert(fixture.received.end->kind != CallEndKind::Complete);
    cr_assert(fixture.received.response.body == "id: 1\ndata: a\n\n");
}
