#pragma once

#include "azurepaddle/gateway/caller_stream.hpp"
#include "azurepaddle/gateway/forwarder.hpp"
#include "azurepaddle/gateway/take_up.hpp"
#include "azurepaddle/registry/directory_progress.hpp"
#include "azurepaddle/registry/stream_recorder.hpp"

namespace azurepaddle::gateway {

/// Encoding of requests that continue a stream.
template <typename T>
concept StreamProtocol = EndpointProtocol<T> && requires(const http1::Request& request)
{
    {
        T::takeUpOf(request)
        } -> std::same_as<tl::expected<TakeUp, std::string>>; ///< An error message if its fields cannot be read.
};

/// Forwards callers' requests for event streams and passes their events on as they arrive. A stream that broke off is
/// continued only by the software that began it, because the output of two versions does not fit together and endpoints
/// do not check this. What began a stream is recorded at the leader before its first event is passed on, so that any
/// instance can continue the stream, also after all of them have restarted. A take-up waits until this instance has
/// received the endpoints as they were when the leader named what began the stream.
template <typename Protocol, typename Sender>
class StreamForwarder {
public:
    StreamForwarder(Sender& sender, const Balancer& balancer, registry::StreamRecorder& recorder, registry::DirectoryProgress& directory, metrics::Registry& metrics)
        : m_sender(sender)
        , m_balancer(balancer)
        , m_recorder(recorder)
        , m_directory(directory)
        , m_metrics(metrics)
    {
        static_assert(StreamProtocol<Protocol> && RequestSender<Sender>);
    }

    /// Forwards a caller's request for a stream and responds to it. Keeps a reference to the table until then.
    void forward(const http1::ExchangePointer& exchange, const ForwardRequest& task);

private:
    void lookUp(const http1::ExchangePointer& exchange, const ForwardRequest& task, const TakeUp& takeUp);
    void onOrigin(const http1::ExchangePointer& exchange, ForwardRequest task, const TakeUp& takeUp, OriginState state, const registry::FindStreamReply& found);
    void start(const http1::ExchangePointer& exchange, const ForwardRequest& task);
    void record(const http1::ExchangePointer& exchange, const registry::StreamOrigin& origin, const std::function<void()>& onDone);
    void send(const http1::ExchangePointer& exchange, ForwardRequest task, const CallerStream::BeginHandler& onBegin, const ForwardCallback& respondWhole);
    void refuse(const http1::ExchangePointer& exchange, const ForwardRequest& task, const TakeUp& takeUp, TakeUpDecision decision, std::string_view reason);

    Sender& m_sender;
    const Balancer& m_balancer;
    registry::StreamRecorder& m_recorder;
    registry::DirectoryProgress& m_directory;
    metrics::Registry& m_metrics;
    const Log m_log { "streams" };
    const SystemClock m_clock {};
};

namespace internal {

    // A caller that takes a stream up waits at most this long for the look-up of its origin.
    constexpr Duration lookUpTimeout = std::chrono::seconds(1);

}

template <typename Protocol, typename Sender>
void StreamForwarder<Protocol, Sender>::forward(const http1::ExchangePointer& exchange, const ForwardRequest& task)
{
    const auto takeUp = Protocol::takeUpOf(exchange->request());
    if (!takeUp)
        return refuse(exchange, task, {}, TakeUpDecision::RefuseForGood, takeUp.error());
    const TakeUpDecision decision = decideTakeUp(*task.route, *takeUp);
    if (decision == TakeUpDecision::Start)
        return start(exchange, task);
    if (decision == TakeUpDecision::LookUp)
        return lookUp(exchange, task, *takeUp);
    refuse(exchange, task, *takeUp, decision, "streams of this route cannot be continued");
}

/// Forwards a new stream, whose origin is recorded before its first event is passed on.
template <typename Protocol, typename Sender>
void StreamForwarder<Protocol, Sender>::start(const http1::ExchangePointer& exchange, const ForwardRequest& task)
{
    // An answer that another entry forwarded arrives as a whole.
    const auto respondWhole = [this, exchange, isResumable = task.route->isResumable](ForwardResult result) {
        constexpr unsigned ok = 200;
        if (result.endpoint.empty() || result.response.status != ok || !isResumable)
            return respond(exchange, std::move(result.response));
        record(exchange, result.origin, [exchange, response = std::move(result.response)] { respond(exchange, response); });
    };
    const auto onBegin = [this, exchange, isResumable = task.route->isResumable](const registry::StreamOrigin& origin, const std::function<void()>& open) {
        return isResumable ? record(exchange, origin, open) : open();
    };
    send(exchange, task, onBegin, respondWhole);
}

/// Records the origin of a stream and calls back once its first event may be passed on.
template <typename Protocol, typename Sender>
void StreamForwarder<Protocol, Sender>::record(const http1::ExchangePointer& exchange, const registry::StreamOrigin& origin, const std::function<void()>& onDone)
{
    const registry::StreamRecord record { registry::StreamId(Protocol::requestId(exchange->request())), origin };
    m_recorder.record(record, [this, record, onDone](bool isRecorded) {
        m_metrics.counter(isRecorded ? "gateway_streams_recorded_total" : "gateway_streams_unrecorded_total").add();
        m_log.info("stream={} service={} software={} outcome={}", record.id, record.origin.service, record.origin.software, isRecorded ? "recorded" : "not-recorded");
        onDone();
    });
}

/// Forwards a request and passes the events of its answer on as they arrive, from when `onBegin` opens the stream.
template <typename Protocol, typename Sender>
void StreamForwarder<Protocol, Sender>::send(const http1::ExchangePointer& exchange, ForwardRequest task, const CallerStream::BeginHandler& onBegin, const ForwardCallback& respondWhole)
{
    const auto sink = std::make_shared<CallerStream>(exchange, onBegin);
    task.sink = sink;
    const auto call = forwardExchange(m_sender, exchange, task, [sink, respondWhole](ForwardResult result) {
        if (result.stream == StreamState::NotBegun)
            return respondWhole(std::move(result));
        sink->end(result.stream);
    });
    sink->setCall(call);
}

template <typename Protocol, typename Sender>
void StreamForwarder<Protocol, Sender>::lookUp(const http1::ExchangePointer& exchange, const ForwardRequest& task, const TakeUp& takeUp)
{
    const Duration clientTimeout = Protocol::clientTimeout(exchange->request()).value_or(task.route->timeout);
    const TimePoint deadline = std::min(task.receivedAt + clientTimeout, m_clock.now() + internal::lookUpTimeout);
    m_recorder.find({ takeUp.stream, soleServiceOf(*task.route) }, deadline, [this, exchange, task, takeUp, deadline](const registry::LeaderResult<registry::FindStreamReply>& reply) {
        if (!reply || !reply->isKnown)
            return onOrigin(exchange, task, takeUp, reply ? OriginState::Unknown : OriginState::Unavailable, {});
        m_directory.wait(reply->directoryRevision, deadline, [this, exchange, task, takeUp, found = *reply](bool isReached) {
            onOrigin(exchange, task, takeUp, isReached ? OriginState::Known : OriginState::EndpointsOutdated, found);
        });
    });
}

template <typename Protocol, typename Sender>
void StreamForwarder<Protocol, Sender>::onOrigin(const http1::ExchangePointer& exchange, ForwardRequest task, const TakeUp& takeUp, OriginState state, const registry::FindStreamReply& found)
{
    if (!exchange->isOpen())
        return;
    const registry::StreamOrigin& origin = found.origin;
    const TakeUpDecision decision = decideTakeUp(*task.route, state, origin, m_balancer.endpointCount(origin));
    if (decision != TakeUpDecision::Continue)
        return refuse(exchange, task, takeUp, decision, refusalReason(state));
    task.origin = origin;
    task.directoryRevision = found.directoryRevision;
    task.lastEvent = takeUp.lastEvent;
    m_metrics.counter("gateway_streams_continued_total").add();
    m_log.info("id={} stream={} last-event={} service={} software={} outcome=taken-up", Protocol::requestId(exchange->request()), takeUp.stream, takeUp.lastEvent, origin.service, origin.software);
    const auto onBegin = [](const registry::StreamOrigin&, const std::function<void()>& open) { open(); };
    send(exchange, task, onBegin, [exchange](ForwardResult result) { respond(exchange, std::move(result.response)); });
}

template <typename Protocol, typename Sender>
void StreamForwarder<Protocol, Sender>::refuse(const http1::ExchangePointer& exchange, const ForwardRequest& task, const TakeUp& takeUp, TakeUpDecision decision, std::string_view reason)
{
    m_metrics.counter("gateway_take_ups_refused_total").add();
    m_log.info("id={} route={} stream={} last-event={} outcome=refused cause=\"{}\"", Protocol::requestId(exchange->request()), task.route->name, takeUp.stream, takeUp.lastEvent, reason);
    exchange->respond(makeTakeUpRefusal(decision, reason));
}

}
