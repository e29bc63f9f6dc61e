#include "azurepaddle/http1/event_stream.hpp"
#include "azurepaddle/http1/message.hpp"
#include "azurepaddle/http1/parser.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::http1;

namespace {

RequestParser parserOf(MessageLimits limits = {})
{
    return RequestParser(limits);
}

ParseErrorCode refusalOf(std::string_view bytes, MessageLimits limits = {})
{
    RequestParser parser(limits);
    const auto taken = parser.feed(bytes);
    cr_assert(!taken, "the request was accepted");
    return taken.error().code();
}

std::vector<StreamEvent> eventsOf(std::string_view bytes, std::size_t part)
{
    EventStreamParser parser(1024);
    std::vector<StreamEvent> events;
    for (std::size_t at = 0; at < bytes.size(); at += part)
        cr_assert(parser.feed(bytes.substr(at, part), [&](StreamEvent event) { events.push_back(std::move(event)); }));
    return events;
}

}

// Guards against fields that are not found because a client writes their names in another case.
Test(Fields, nameInOtherCase_found_givesValue)
{
    const Fields fields { { "X-Thing", "7" } };
    cr_assert(fields.find("x-thing") == "7");
    cr_assert(!fields.contains("x-thin"));
}

// Guards against forwarding hop-by-hop fields to an endpoint or a client.
Test(Fields, hopByHop_erased_keepsOnlyEndToEndFields)
{
    Fields fields { { "Connection", "close, X-Private" }, { "X-Private", "1" }, { "Keep-Alive", "timeout=3" }, { "Transfer-Encoding", "chunked" }, { "Content-Length", "3" }, { "X-Kept", "2" } };
    fields.eraseHopByHop();
    cr_assert(fields == Fields({ { "X-Kept", "2" } }));
}

// Guards against a query parameter that is read from the path or from another parameter.
Test(Message, queryParameter_read_decodesItsValue)
{
    cr_assert(queryParameter("/a?after=12&id=x%2Fy", "id") == "x/y");
    cr_assert(queryParameter("/a?after=12", "after") == "12");
    cr_assert(!queryParameter("/a?after=12", "aft"));
    cr_assert(pathOf("/a/b?c=/d") == "/a/b");
}

// Guards against bodies that are truncated or joined when a request is received in several parts.
Test(RequestParser, requestInSingleBytes_fed_isWhole)
{
    const std::string bytes = "POST /a%20b?c HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";
    RequestParser parser = parserOf();
    for (const char byte : bytes)
        cr_assert(parser.feed(std::string_view(&byte, 1)) == 1U);
    cr_assert(parser.isDone());
    cr_assert(parser.request().target == "/a%20b?c");
    cr_assert(parser.request().body == "hello");
}

// Guards against a second request that is consumed with the body of the first one.
Test(RequestParser, twoRequests_fed_stopsBehindTheFirst)
{
    const std::string first = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi";
    RequestParser parser = parserOf();
    cr_assert(parser.feed(first + "GET /b HTTP/1.1\r\n\r\n") == first.size());
    cr_assert(parser.isDone());
}

// Guards against chunked bodies whose framing reaches the endpoint.
Test(RequestParser, chunkedBody_fed_isJoined)
{
    RequestParser parser = parserOf();
    cr_assert(parser.feed("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"));
    cr_assert(parser.isDone());
    cr_assert(parser.request().body == "abcde");
}

// Guards against a request smuggled in the body of another one that two parsers delimit differently.
Test(RequestParser, ambiguousLength_fed_isRefused)
{
    cr_assert(refusalOf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab") == ParseErrorCode::Malformed);
    cr_assert(refusalOf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") == ParseErrorCode::Malformed);
    cr_assert(refusalOf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n") == ParseErrorCode::Malformed);
}

// Guards against a client that exhausts the memory of an instance with a large header or body.
Test(RequestParser, tooLargeMessage_fed_isRefused)
{
    cr_assert(refusalOf("GET / HTTP/1.1\r\nA: " + std::string(500, 'a') + "\r\n\r\n", { 100, 100 }) == ParseErrorCode::HeaderTooLarge);
    cr_assert(refusalOf("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n" + std::string(101, 'a'), { 100, 100 }) == ParseErrorCode::BodyTooLarge);
}

// Guards against a truncated response that is treated as complete.
Test(ResponseParser, answerEndsEarly_fed_isTruncated)
{
    ResponseParser parser({});
    cr_assert(parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel"));
    cr_assert(!parser.isDone());
    cr_assert(parser.feedEnd().error().code() == ParseErrorCode::Truncated);
}

// Guards against an answer that ends within its head, or before its stated length, and is taken for a complete one.
Test(ResponseParser, answerEndsAnywhereWithin_fed_isNeverComplete)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Stamp: s\r\n";
    for (const std::string& answer : { head + "Content-Length: 4\r\n\r\nbody", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", head + "Content-Length: 0\r\n\r\n" }) {
        for (std::size_t size = 1; size < answer.size(); ++size) {
            ResponseParser parser({});
            cr_assert(parser.feed(std::string_view(answer).substr(0, size)).has_value());
            cr_assert(!parser.isDone() && !parser.feedEnd(), "the first %zu bytes are taken for the answer", size);
        }
    }
    for (std::size_t size = 1; size <= head.size() + 1; ++size) {
        ResponseParser parser({});
        cr_assert(parser.feed((head + "\r\nbody").substr(0, size)).has_value());
        cr_assert(!parser.feedEnd(), "the first %zu bytes are taken for an answer without a length", size);
    }
}

// Guards against responses without a length that are never treated as complete.
Test(ResponseParser, answerWithoutLength_connectionEnds_isComplete)
{
    ResponseParser parser({});
    cr_assert(parser.feed("HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\nhello"));
    cr_assert(!parser.isDone());
    cr_assert(parser.feedEnd().has_value());
    cr_assert(parser.takeBody() == "hello");
    cr_assert(!parser.keepsAlive());
}

// Guards against reusing a connection on which extra bytes of the last response would be parsed as the next response.
Test(ResponseParser, bytesBehindAnswer_fed_areLeft)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
    ResponseParser parser({});
    cr_assert(parser.feed(answer + "HTTP/1.1 200 OK\r\n") == answer.size());
    cr_assert(parser.isDone());
}

// Guards against events that are split at the boundaries of received parts.
Test(EventStreamParser, streamInPieces_fed_givesSameEvents)
{
    const std::string stream = "id: 1\ndata: one\n\nx-weight-versions: 7\nid: 2\ndata: two\ndata: more\n\n: comment\n\nid: 3\ndata: cu";
    const std::vector<StreamEvent> expected { { "1", "one", {} }, { "2", "two\nmore", { { "x-weight-versions", "7" } } } };
    cr_assert(eventsOf(stream, 1) == expected);
    cr_assert(eventsOf(stream, stream.size()) == expected);
}

// Guards against an endpoint that exhausts the memory with one event.
Test(EventStreamParser, endlessEvent_fed_isRefused)
{
    EventStreamParser parser(16);
    cr_assert(!parser.feed("data: 0123456789abcdef", [](StreamEvent) {}));
}

// Guards against a message whose length does not match its body.
Test(Message, requestAndResponse_serialized_stateTheirLength)
{
    cr_assert(serialize(Request { "POST", "/a", { { "Host", "h" } }, "xy" }) == "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxy");
    cr_assert(serializeHead(Response { 404, {}, {}, "abc" }, Framing::Length) == "HTTP/1.1 404 Not Found\r\nContent-Length: 3\r\n\r\n");
    cr_assert(serializeChunk("abc") == "3\r\nabc\r\n");
}

// Guards against a chunk line or a trailer without end, which would exhaust the memory.
Test(ResponseParser, endlessLineInChunkedBody_fed_isRefused)
{
    for (const std::string begin : { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" }) {
        ResponseParser parser({ 1024, 1024 });
        cr_assert(parser.feed(begin).has_value());
        const std::string more(256, 'x');
        int fed = 0;
        while (parser.feed(more) && fed < 100)
            ++fed;
        cr_assert(fed < 8);
    }
}
