#pragma once

#include "azurepaddle/core/log.hpp"
#include "azurepaddle/gateway/answer_budget.hpp"
#include "azurepaddle/gateway/balancer.hpp"
#include "azurepaddle/gateway/crash_guard.hpp"
#include "azurepaddle/gateway/retry_policy.hpp"
#include "azurepaddle/gateway/route_table.hpp"
#include "azurepaddle/gateway/send_limiter.hpp"
#include "azurepaddle/http1/client.hpp"
#include "azurepaddle/http1/event_splitter.hpp"
#include "azurepaddle/http1/event_stream.hpp"
#include "azurepaddle/http1/server.hpp"
#include "azurepaddle/metrics/registry.hpp"

#include <limits>
#include <memory>
#include <set>

namespace azurepaddle::gateway {

/// What a response states about the request it answers.
enum class AnswerClass : std::uint8_t {
    OtherRequest, ///< The response belongs to another request.
    NotRun, ///< The endpoint states that it did not run the request.
    WrongEndpoint, ///< Another endpoint uses the address now; it did not run the request.
    Answer,
};

/// Encoding of request identifiers, time limits and endpoint states in the header fields of requests and responses.
template <typename T>
concept EndpointProtocol = requires(const http1::Request& request, const http1::Response& response, const http1::StreamEvent& event, const EndpointId& id, Duration remaining, std::uint64_t number, std::string_view text)
{
    {
        T::requestId(request)
        } -> std::convertible_to<std::string>;
    {
        T::clientTimeout(request)
        } -> std::same_as<std::optional<Duration>>; ///< Time that the client waits for the answer.
    {
        T::forEndpoint(request, id, remaining)
        } -> std::same_as<http1::Request>;
    {
        T::classify(response, text)
        } -> std::same_as<AnswerClass>;
    {
        T::loadOf(response)
        } -> std::same_as<std::optional<LoadReport>>;
    {
        T::isLeaving(response)
        } -> std::same_as<bool>; ///< Whether the endpoint announces its leave.
    {
        T::limitOf(response)
        } -> std::same_as<std::optional<double>>; ///< Requests per second that the endpoint takes from all instances together; empty if unlimited.
    {
        T::eventNumber(event)
        } -> std::same_as<std::optional<std::uint64_t>>; ///< Number of an event in its stream, counted from 1; empty if it has none.
    {
        T::continueAfter(request, number)
        } -> std::same_as<http1::Request>; ///< The request for the part of a stream after the event with this number.
};

/// Receives the events of a streamed answer as they arrive.
class StreamSink {
public:
    virtual ~StreamSink() = default;
    /// Called once, before the first events, with the head of the answer that begins with them.
    virtual void onBegin(const http1::Response& head, const registry::StreamOrigin& origin) = 0;
    /// Called with complete events, as the endpoint sent them.
    virtual void onEvents(std::string bytes) = 0;
};

/// A request to forward.
struct ForwardRequest {
    std::shared_ptr<const http1::Request> request;
    TimePoint receivedAt;
    std::shared_ptr<const RouteTable> table;
    std::shared_ptr<const Route> route;
    /// False for a call on behalf of a batch item. Such a call is never treated as a crash suspect, because the item
    /// must be completed even if endpoints crash.
    bool isCallerRequest = true;
    /// What began the stream that the request continues, which must be continued there; empty for any other request.
    std::optional<registry::StreamOrigin> origin {};
    std::uint64_t directoryRevision = 0; ///< Revision that the endpoints must include to tell which of them have the origin's software.
    std::shared_ptr<StreamSink> sink {}; ///< Receives the events of a successful answer; if null, the answer is returned as a whole.
    std::uint64_t lastEvent = 0; ///< The last event of the stream that the caller holds.
    RetryState earlier {}; ///< Attempts by another instance, or before the request was withdrawn.
    TimePoint deadline = TimePoint::max(); ///< Ends the request earlier than its fields and route do.
    WorkspaceName workspace {}; ///< On whose behalf it runs; empty if workspaces are not configured.
};

/// What a sink has received of an answer.
enum class StreamState : std::uint8_t {
    NotBegun, ///< Nothing; the result contains the whole answer.
    Complete,
    Cut, ///< Only the beginning.
};

/// How a forwarded request ended.
struct ForwardResult {
    http1::Response response; ///< From an endpoint, or a refusal by this instance.
    EndpointId endpoint; ///< The endpoint whose answer ended the request; empty otherwise.
    unsigned internalErrors = 0; ///< Endpoints that answered 500.
    registry::StreamOrigin origin {}; ///< Service and software of that endpoint.
    StreamState stream = StreamState::NotBegun;
    bool isUnreached = false; ///< No endpoint got the request, because connections to them could not be established.
};

using ForwardCallback = std::function<void(ForwardResult)>;

/// The time until which a request must be answered.
template <typename Protocol>
[[nodiscard]] TimePoint deadlineOf(const ForwardRequest& request)
{
    const Duration timeout = request.route->timeout;
    const Duration clientTimeout = Protocol::clientTimeout(*request.request).value_or(timeout);
    return std::min(request.deadline, request.receivedAt + std::min(clientTimeout, timeout));
}

/// A request that is being forwarded.
class ForwardCall {
public:
    virtual ~ForwardCall() = default;
    /// Cancels the request at all endpoints. The result callback is not called.
    virtual void cancel() = 0;
};

/// Forwards requests and calls back with their results, perhaps before `send` returns.
template <typename T>
concept RequestSender = requires(T& sender, const ForwardRequest& request, const ForwardCallback& onResult)
{
    {
        sender.send(request, onResult)
        } -> std::same_as<std::shared_ptr<ForwardCall>>;
};

/// Forwards a caller's request, responds to it, and cancels it if the caller leaves. Keeps a reference to the table until
/// then.
template <RequestSender Sender>
std::shared_ptr<ForwardCall> forwardExchange(Sender& sender, const http1::ExchangePointer& exchange, const ForwardRequest& request, const ForwardCallback& onResult)
{
    auto call = sender.send(request, onResult);
    if (exchange->isOpen()) {
        exchange->setOnClosed([weak = std::weak_ptr(call)] {
            if (const auto activeCall = weak.lock())
                activeCall->cancel();
        });
    }
    return call;
}

/// The request of an exchange, which is kept as long as the request.
[[nodiscard]] inline ForwardRequest requestOf(const http1::ExchangePointer& exchange, const std::shared_ptr<const RouteTable>& table, const Route& route, const WorkspaceName& workspace = {})
{
    ForwardRequest request { { exchange, &exchange->request() }, exchange->receivedAt(), table, { table, &route } };
    request.workspace = workspace;
    return request;
}

/// Sends the response of an endpoint, or a refusal, to the caller.
inline void respond(const http1::ExchangePointer& exchange, http1::Response response)
{
    response.fields.eraseHopByHop();
    exchange->respond(std::move(response));
}

/// Forwards requests of plain routes to endpoints. A request that is not idempotent is run at most once; idempotent
/// ones are retried or hedged within the maximum attempts of their route. A request that crashes endpoints is refused.
/// Endpoints that name a limit get requests only with permits, and only if no other endpoint has a free slot.
template <typename Protocol>
class Forwarder {
public:
    /// All answers that are being received together take at most `maxAnswerBytes` of memory. The bodies of requests in
    /// progress at one endpoint take at most `maxEndpointBytes`, unless there is only one.
    Forwarder(asio::io_context& io, http1::ClientPool& pool, Balancer& balancer, CrashGuard& guard, SendLimiter& limiter, Random& random, metrics::Registry& metrics, std::size_t maxAnswerBytes, std::size_t maxEndpointBytes = std::numeric_limits<std::size_t>::max());

    /// Called once for each endpoint incarnation that announces its leave with an answer.
    void setOnLeaving(std::function<void(const registry::EndpointIncarnation&)> onLeaving) { m_onLeaving = std::move(onLeaving); }
    /// Called once for each caller's request of a workspace that an endpoint may have begun to run, with the time at which
    /// it was first sent.
    void setOnRun(std::function<void(const WorkspaceName&, TimePoint)> onRun) { m_onRun = std::move(onRun); }
    /// Forwards a request. The callback may be called before this function returns.
    std::shared_ptr<ForwardCall> send(const ForwardRequest& request, const ForwardCallback& onResult);
    /// Cancels a request whose result is outstanding, if it may be sent again, and returns its attempts so far. The
    /// callback is then not called.
    [[nodiscard]] std::optional<RetryState> withdraw(ForwardCall& call);
    /// Ends all requests, also later ones, by this time at the latest, with an answer to each.
    void setLatestEnd(TimePoint latestEnd);
    /// Excludes an endpoint that announced its leave in an answer that another instance forwarded.
    void recordLeaving(const EndpointId& endpoint, std::string_view requestId);
    /// Reports requests that were sent before a time and have no answer yet as run, because their usage may be sealed before
    /// the answer arrives. One that turns out not to have run later is counted nonetheless.
    void recordUnanswered(TimePoint sentBefore);
    [[nodiscard]] std::size_t inProgress() const noexcept { return m_requests.size(); }

private:
    static constexpr std::size_t maxEventBytes = 256U * 1024U;

    struct Attempt {
        registry::EndpointRecord endpoint; ///< Its record at the time of sending.
        http1::ClientCallPointer call;
        TimePoint startedAt;
        std::size_t bodyBytes = 0; ///< Of the request.
        http1::Response response; ///< The part received so far.
        AnswerClass answerClass = AnswerClass::Answer;
        http1::EventSplitter splitter { maxEventBytes };
    };

    /// A request that has no result yet.
    struct PendingRequest : ForwardCall, std::enable_shared_from_this<PendingRequest> {
        void cancel() override { forwarder->abandon(this->shared_from_this()); }

        Forwarder* forwarder = nullptr;
        ForwardRequest task;
        ForwardCallback onResult;
        const Service* service = nullptr;
        std::string id;
        registry::RequestFingerprint fingerprint; ///< Computed on first use; empty before.
        TimePoint deadline;
        std::set<EndpointId> excluded;
        std::map<std::uint64_t, Attempt> attempts;
        unsigned runs = 0; ///< Endpoints that may have run the request.
        unsigned refusals = 0;
        unsigned internalErrors = 0; ///< Endpoints that answered 500.
        unsigned failedConnections = 0; ///< Endpoints to which no connection could be established.
        std::uint64_t lastEvent = 0; ///< The last event that the caller holds or that was passed on.
        bool isNumbered = true; ///< All events that were passed on have a number.
        bool isStreaming = false; ///< Events were passed on. The stream continues only with the software that began it.
        bool isDone = false;
        bool isCounted = false; ///< It is known that an endpoint may have begun to run it.
        bool isAwaitingPermit = false; ///< A permit was requested, or the time of the next one is awaited.
        std::optional<http1::Response> endpointFailure; ///< Last 5xx answer of an endpoint, forwarded if no endpoint succeeds.
        std::unique_ptr<asio::steady_timer> deadlineTimer;
        std::unique_ptr<asio::steady_timer> hedgeTimer;
        std::unique_ptr<asio::steady_timer> permitTimer;
    };
    using PendingPointer = std::shared_ptr<PendingRequest>;

    [[nodiscard]] static RetryState makeRetryState(const PendingRequest& pending);
    [[nodiscard]] static const registry::RequestFingerprint& fingerprintOf(PendingRequest& pending);
    [[nodiscard]] bool isSuspect(PendingRequest& pending) const;
    [[nodiscard]] std::optional<Duration> remainingRefusal(PendingRequest& pending) const;
    [[nodiscard]] std::set<EndpointId> excludedFor(const PendingRequest& pending) const;
    void addBytesAt(const EndpointId& endpoint, std::size_t bytes);
    void removeBytesAt(const EndpointId& endpoint, std::size_t bytes);
    [[nodiscard]] const registry::EndpointRecord* chooseUnlimited(const PendingRequest& pending, TimePoint now);
    [[nodiscard]] const registry::EndpointRecord* chooseWithinLimits(const PendingRequest& pending, TimePoint now);
    [[nodiscard]] std::optional<TimePoint> nextPermit(const PendingRequest& pending, TimePoint now) const;
    [[nodiscard]] bool maySendNow(PendingRequest& pending, TimePoint now) const;
    [[nodiscard]] bool sendToNextEndpoint(const PendingPointer& pending);
    void sendTo(const PendingPointer& pending, const registry::EndpointRecord& endpoint);
    void sendWithPermit(const PendingPointer& pending, const registry::EndpointRecord& endpoint);
    [[nodiscard]] bool waitForPermit(const PendingPointer& pending);
    void sendNextOrFail(const PendingPointer& pending);
    void startDeadlineTimer(const PendingPointer& pending);
    void startHedgeTimer(const PendingPointer& pending);
    [[nodiscard]] http1::CallEvents makeCallEvents(const PendingPointer& pending, std::uint64_t number);
    [[nodiscard]] bool onHead(const PendingPointer& pending, std::uint64_t number, const http1::Response& head);
    void recordRun(PendingRequest& pending, TimePoint sentAt);
    void recordLimit(const Attempt& attempt, AnswerClass answerClass, const http1::Response& head);
    void onBody(const PendingPointer& pending, std::uint64_t number, const std::string& bytes);
    [[nodiscard]] static bool isStreamed(const PendingRequest& pending, const Attempt& attempt);
    void onStreamBytes(const PendingPointer& pending, std::uint64_t number, const std::string& bytes);
    [[nodiscard]] bool passOn(PendingRequest& pending, const Attempt& attempt, const std::vector<http1::RawEvent>& events);
    void failAttempt(const PendingPointer& pending, std::uint64_t number, const std::string& cause);
    void onEnd(const PendingPointer& pending, std::uint64_t number, const http1::CallEnd& end);
    void onAnswer(const PendingPointer& pending, Attempt attempt);
    void failRequest(const PendingPointer& pending, std::string_view reason);
    void finish(const PendingPointer& pending, http1::Response response, std::string_view outcome, const registry::EndpointRecord& endpoint = {});
    [[nodiscard]] static bool isUnreached(const PendingRequest& pending) { return pending.runs == 0 && pending.refusals == 0 && pending.failedConnections > 0; }
    void abandon(const PendingPointer& pending);
    void cancelAttempts(const PendingPointer& pending, RequestOutcome outcome);

    asio::io_context& m_io;
    http1::ClientPool& m_pool;
    Balancer& m_balancer;
    CrashGuard& m_guard;
    SendLimiter& m_limiter;
    Random& m_random;
    metrics::Registry& m_metrics;
    const Log m_log { "forward" };
    const SystemClock m_clock {};
    std::function<void(const registry::EndpointIncarnation&)> m_onLeaving;
    std::function<void(const WorkspaceName&, TimePoint)> m_onRun;
    AnswerBudget m_budget;
    std::size_t m_maxEndpointBytes;
    std::map<EndpointId, std::size_t> m_bytesAtEndpoints; ///< Request bodies of attempts in progress.
    std::map<std::uint64_t, std::weak_ptr<PendingRequest>> m_attempts; ///< Requests of all attempts in progress, by attempt number.
    std::uint64_t m_nextAttempt = 1;
    std::set<PendingRequest*> m_requests; ///< All requests in progress.
    TimePoint m_latestEnd = TimePoint::max();
};

}

#include "azurepaddle/gateway/forwarder_impl.hpp" // IWYU pragma: export
#include "azurepaddle/gateway/forwarder_limits.hpp" // IWYU pragma: export
#include "azurepaddle/gateway/forwarder_streams.hpp" // IWYU pragma: export
