#include "fixture.hpp"

#include <algorithm>
#include <atomic>
#include <criterion/criterion.h>
#include <future>
#include <vector>

using namespace fixture;

// Guards against a server or client that runs open to everybody because the settings forgot the secret.
Test(Calls, neitherSecretNorTls_started_isRefused)
{
    ServerOptions forServer = serverOptions();
    forServer.secret.clear();
    cr_assert(PeerServer(forServer).start().error().code() == TransportErrorCode::Setup);
    cr_assert(PeerClient(ClientOptions {}).start().error().code() == TransportErrorCode::Setup);
}

// Guards against bodies that are changed or cut on the way, of sizes around frame and window limits.
Test(Calls, bodiesOfManySizes_sent_areEchoed)
{
    Pair pair;
    cr_assert(pair.start());
    for (const std::size_t size : { 0UL, 1UL, 16384UL, 65535UL, 65536UL, 1048577UL, 9000000UL }) {
        std::string body(size, 'x');
        for (std::size_t i = 0; i < size; ++i)
            body[i] = static_cast<char>(i * 31 % 251);
        const CallResult result = pair.call("echo", body);
        cr_assert(result.has_value() && *result == body, "%zu bytes", size);
    }
}

// Guards against errors of the peer that the caller cannot tell apart.
Test(Calls, refusals_received_carryThePeersError)
{
    ServerOptions forServer = serverOptions();
    forServer.maxMessageBytes = 1000;
    Pair pair(forServer);
    cr_assert(pair.start());
    const CallResult failed = pair.call("fail", "");
    const PeerError expected { PeerErrorCode::Failed, "no leader" };
    cr_assert(failed.error().peerError() == expected);
    cr_assert(failed.error().outcome() == Outcome::Failed);
    const CallResult unknown = pair.call("nothing", "");
    cr_assert(unknown.error().peerError()->code == PeerErrorCode::UnknownMethod);
    cr_assert(unknown.error().outcome() == Outcome::NotRun);
    const CallResult large = pair.call("echo", std::string(5000000, 'x'));
    cr_assert(large.error().peerError()->code == PeerErrorCode::TooLarge);
    cr_assert(pair.call("echo", "after").value() == "after");
}

// Guards against memory exhaustion by many requests whose bodies are within the limit of one message each.
Test(Calls, requestBuffersFull_sent_isRefusedAsOverloaded)
{
    ServerOptions forServer = serverOptions();
    forServer.maxBufferedBytes = 1000;
    Pair pair(forServer);
    cr_assert(pair.start());
    cr_assert(pair.call("echo", std::string(2000, 'x')).error().peerError()->code == PeerErrorCode::Overloaded);
    cr_assert(pair.call("echo", std::string(900, 'x')).has_value());
    cr_assert(pair.call("echo", std::string(900, 'x')).has_value(), "the buffers must be released");
}

// Guards against a request that is sent although it or its response exceeds the client's own limit.
Test(Calls, clientLimitExceeded_called_isReported)
{
    ClientOptions forClient = clientOptions();
    forClient.maxMessageBytes = 1000;
    Pair pair(serverOptions(), forClient);
    pair.server.handle("large", [](const PeerRequest&) -> PeerReply { return std::string(5000, 'x'); });
    cr_assert(pair.start());
    cr_assert(pair.call("echo", std::string(1001, 'x')).error().code() == TransportErrorCode::NotSent);
    cr_assert(pair.call("large", "").error().code() == TransportErrorCode::Unknown);
    cr_assert(pair.call("echo", "after").value() == "after");
}

// Guards against a caller without the secret that reaches a handler.
Test(Calls, wrongSecret_called_isUnauthorized)
{
    ClientOptions forClient = clientOptions();
    forClient.secret = "the shared secreT";
    std::atomic<int> runs = 0;
    Pair pair(serverOptions(), forClient);
    pair.server.handle("count", [&runs](const PeerRequest&) -> PeerReply { ++runs; return std::string(); });
    cr_assert(pair.start());
    cr_assert(pair.call("count", "").error().peerError()->code == PeerErrorCode::Unauthorized);
    cr_assert(pair.call("count", std::string(3000000, 'x')).error().peerError()->code == PeerErrorCode::Unauthorized);
    cr_assert(runs == 0);
}

// Guards against a slow handler that stalls other requests of its connection, and against crossed responses.
Test(Calls, manyStreamsWithSlowHandlers_answered_getTheirOwnResponses)
{
    constexpr int count = 2000;
    Pair pair;
    std::promise<void> release;
    const std::shared_future<void> released(release.get_future());
    pair.server.handle("slow", [released](const PeerRequest& request) -> PeerReply { released.wait(); return "slow " + request.body; });
    ClientOptions forClient = clientOptions();
    forClient.maxCallsPerPeer = 2 * count;
    PeerClient client(forClient);
    cr_assert(pair.server.start() && client.start());
    std::atomic<int> right = 0;
    const auto send = [&](const std::string& method, const std::string& body, const std::string& expected) {
        client.send(pair.server.address(), method, body, soon(), [&right, expected](const CallResult& result) { right += result == expected ? 1 : 0; });
    };
    for (int i = 0; i < 20; ++i)
        send("slow", std::to_string(i), "slow " + std::to_string(i));
    for (int i = 0; i < count; ++i)
        send("echo", std::to_string(i), std::to_string(i));
    cr_assert(waitUntil([&] { return right == count; }));
    release.set_value();
    cr_assert(waitUntil([&] { return right == count + 20; }));
    cr_assert(client.traffic().connectionsOpened == 1);
}

// Guards against data races between threads that share a client.
Test(Calls, severalThreads_call_getTheirOwnResponses)
{
    Pair pair;
    cr_assert(pair.start());
    std::atomic<int> right = 0;
    std::vector<std::thread> threads;
    for (int t = 0; t < 8; ++t) {
        threads.emplace_back([&pair, &right, t] {
            for (int i = 0; i < 100; ++i) {
                const std::string body = std::to_string(t * 1000 + i);
                right += pair.call("echo", body) == body ? 1 : 0;
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    cr_assert(right == 800);
}

// Guards against a response that arrives after its deadline and is taken for that of another request.
Test(Calls, lateResponse_arrives_isDropped)
{
    Pair pair;
    std::promise<void> release;
    const std::shared_future<void> released(release.get_future());
    pair.server.handle("late", [released](const PeerRequest&) -> PeerReply { released.wait(); return std::string("late"); });
    cr_assert(pair.start());
    cr_assert(pair.call("echo", "").has_value());
    std::atomic<int> completions = 0;
    std::promise<CallResult> result;
    pair.client.send(pair.server.address(), "late", "", soon(std::chrono::milliseconds(50)), [&](CallResult reply) {
        ++completions;
        result.set_value(std::move(reply));
    });
    const CallResult expired = result.get_future().get();
    cr_assert(expired.error().code() == TransportErrorCode::Deadline);
    cr_assert(expired.error().outcome() == Outcome::Unknown);
    release.set_value();
    for (int i = 0; i < 50; ++i)
        cr_assert(pair.call("echo", std::to_string(i)).value() == std::to_string(i));
    cr_assert(completions == 1);
}

// Guards against a handler that runs for a caller that has given up already.
Test(Calls, queuedPastItsDeadline_dispatched_doesNotRun)
{
    Pair pair;
    std::promise<void> release;
    const std::shared_future<void> released(release.get_future());
    std::atomic<int> runs = 0;
    const auto handler = [&runs, released](const PeerRequest&) -> PeerReply { ++runs; released.wait(); return std::string(); };
    pair.server.handle("block", handler, { .threads = 1, .maxQueued = 2 });
    cr_assert(pair.start());
    std::atomic<int> completions = 0;
    pair.client.send(pair.server.address(), "block", "", soon(), [&](const CallResult&) { ++completions; });
    cr_assert(waitUntil([&] { return runs == 1; }));
    cr_assert(pair.client.call(pair.server.address(), "block", "", soon(std::chrono::milliseconds(50))).error().code() == TransportErrorCode::Deadline);
    release.set_value();
    cr_assert(waitUntil([&] { return completions == 1; }));
    cr_assert(pair.call("echo", "").has_value());
    pair.server.stop();
    cr_assert(runs == 1);
}

// Guards against an unbounded queue before a method that does not keep up.
Test(Calls, queueOfMethodFull_called_isRefusedAsOverloaded)
{
    Pair pair;
    std::promise<void> release;
    const std::shared_future<void> released(release.get_future());
    std::atomic<int> runs = 0;
    const auto handler = [&runs, released](const PeerRequest&) -> PeerReply { ++runs; released.wait(); return std::string(); };
    pair.server.handle("block", handler, { .threads = 1, .maxQueued = 1 });
    cr_assert(pair.start());
    std::atomic<int> overloaded = 0;
    std::atomic<int> completions = 0;
    const auto completion = [&](const CallResult& result) {
        overloaded += !result && result.error().peerError() && result.error().peerError()->code == PeerErrorCode::Overloaded ? 1 : 0;
        ++completions;
    };
    pair.client.send(pair.server.address(), "block", "", soon(), completion);
    cr_assert(waitUntil([&] { return runs == 1; }));
    for (int i = 0; i < 3; ++i)
        pair.client.send(pair.server.address(), "block", "", soon(), completion);
    cr_assert(waitUntil([&] { return completions == 2; }));
    release.set_value();
    cr_assert(waitUntil([&] { return completions == 4; }));
    cr_assert(overloaded == 2);
}

// Guards against a graceful stop that loses the responses of requests in progress.
Test(Calls, serverStops_whileRequestsRun_completesThem)
{
    Pair pair;
    std::promise<void> release;
    const std::shared_future<void> released(release.get_future());
    std::atomic<int> runs = 0;
    pair.server.handle("slow", [&](const PeerRequest&) -> PeerReply { ++runs; released.wait(); return std::string(3000000, 'x'); });
    cr_assert(pair.start());
    std::atomic<int> right = 0;
    for (int i = 0; i < 2; ++i)
        pair.client.send(pair.server.address(), "slow", "", soon(), [&right](const CallResult& result) { right += result && result->size() == 3000000 ? 1 : 0; });
    cr_assert(waitUntil([&] { return runs == 2; }));
    std::thread stopper([&pair] { pair.server.stop(); });
    const bool refused = waitUntil([&] { return !pair.call("echo", "").has_value(); });
    release.set_value();
    stopper.join();
    cr_assert(refused);
    cr_assert(waitUntil([&right] { return right == 2; }));
}

// Guards against traffic figures that miss or double a message.
Test(Calls, traffic_counted_matchesWhatWasSent)
{
    Pair pair;
    cr_assert(pair.start());
    for (int i = 0; i < 10; ++i)
        cr_assert(pair.call("echo", std::string(100, 'x')).has_value());
    const MethodTraffic expected { 10, 10, 1000, 1000 };
    cr_assert(pair.client.traffic().methods.at("echo") == expected);
    cr_assert(waitUntil([&] { return pair.server.traffic().methods.at("echo") == expected; }));
    cr_assert(pair.client.traffic().wireBytesOut > 1000);
}

// Guards against a handler that answers later and whose caller is never told, or told twice.
Test(PeerServer, deferredHandler_answersLater_orFailsWhenDropped)
{
    fixture::Pair pair;
    std::vector<PeerResponder> held;
    std::mutex mutex;
    pair.server.handleDeferred("later", [&](const PeerRequest& request, PeerResponder respond) {
        if (request.body == "drop")
            return;
        const std::lock_guard lock(mutex);
        held.push_back(std::move(respond));
    });
    cr_assert(pair.start());
    std::thread answering([&] {
        cr_assert(fixture::waitUntil([&] {
            const std::lock_guard lock(mutex);
            return !held.empty();
        }));
        held.front()(std::string("done"));
        held.front()(std::string("again"));
    });
    cr_assert(pair.call("later", "wait") == "done");
    answering.join();
    held.clear();
    const auto dropped = pair.call("later", "drop");
    cr_assert(!dropped && dropped.error().peerError()->code == PeerErrorCode::Failed);
}

// Guards against a use of freed memory when a process ends: work that was never done is dropped after the server, and with
// it the responders of its requests.
Test(PeerServer, respondersOutliveServer_calledOrDropped_haveNoEffect)
{
    std::vector<PeerResponder> held;
    std::mutex mutex;
    {
        fixture::Pair pair;
        pair.server.handleDeferred("later", [&](const PeerRequest&, PeerResponder respond) {
            const std::lock_guard lock(mutex);
            held.push_back(std::move(respond));
        });
        cr_assert(pair.start());
        for (int i = 0; i < 20; ++i)
            cr_assert(!pair.client.call(pair.server.address(), "later", "wait", SystemClock().now() + std::chrono::milliseconds(20)).has_value());
    }
    cr_assert(!held.empty());
    held.front()(std::string("done"));
    held.clear();
}

// Guards against tests that fail because an outgoing connection or another test takes a port between its choice and the
// start of its server, or while that server is stopped.
Test(PeerServer, portReserved_serverStartedAndStopped_isNotGivenToOthers)
{
    fixture::ServerOptions options = fixture::serverOptions();
    options.listen.port = fixture::reservePort();
    asio::io_context io;
    const auto isGivenToOthers = [&] {
        asio::ip::tcp::socket other(io, asio::ip::tcp::v4());
        std::error_code error;
        other.bind({ asio::ip::make_address(options.listen.ip), options.listen.port }, error);
        return !error;
    };
    cr_assert(!isGivenToOthers());
    for (int starts = 0; starts < 2; ++starts) {
        PeerServer server(options);
        cr_assert(server.start().has_value());
        cr_assert(!isGivenToOthers());
        server.stop();
        cr_assert(!isGivenToOthers());
    }
}
