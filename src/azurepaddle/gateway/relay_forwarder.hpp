#pragma once

#include "azurepaddle/gateway/forwarder.hpp"
#include "azurepaddle/gateway/link_prober.hpp"
#include "azurepaddle/gateway/relay.hpp"
#include "azurepaddle/gateway/relay_peers.hpp"
#include "azurepaddle/http1/grammar.hpp"
#include "azurepaddle/registry/entry_finder.hpp"

#include <limits>
#include <set>

namespace azurepaddle::gateway {

/// Forwards requests to endpoints, or through another entry instance while this one is cut off from the endpoints. A
/// request is handed over once, and only if it is certain that sending it again is allowed: what may have run counts as
/// a run at the other entry. Deadline, identifier and cancellation go along.
template <typename Protocol>
class RelayForwarder {
public:
    /// A request with a body of more than `maxBodyBytes` is not handed over: it is copied on the way, and the other
    /// instance would refuse it.
    RelayForwarder(asio::io_context& io, Forwarder<Protocol>& local, LinkProber& links, RelayPeers& peers, registry::EntryFinder& finder, transport::PeerClient& client, std::string instance, metrics::Registry& metrics, std::size_t maxBodyBytes = std::numeric_limits<std::size_t>::max());

    /// Forwards a request. The callback may be called before this function returns.
    std::shared_ptr<ForwardCall> send(const ForwardRequest& request, const ForwardCallback& onResult);
    /// Hands over the requests in progress that may be sent again. Call it when the links are found to be cut.
    void onLinksCut();

private:
    /// A request that has no result yet.
    struct PendingRequest : ForwardCall, std::enable_shared_from_this<PendingRequest> {
        void cancel() override { forwarder->abandon(this->shared_from_this()); }

        RelayForwarder* forwarder = nullptr;
        ForwardRequest task;
        ForwardCallback onResult;
        TimePoint deadline;
        std::shared_ptr<ForwardCall> local; ///< Set while this instance forwards the request itself.
        std::optional<InstanceAddress> peer; ///< Set while another entry forwards the request.
        std::string relayId;
        std::set<InstanceAddress> tried;
        bool isDone = false;
    };
    using PendingPointer = std::shared_ptr<PendingRequest>;

    void sendLocally(const PendingPointer& pending);
    void findPeer(const PendingPointer& pending);
    void sendToBestPeer(const PendingPointer& pending);
    void sendToPeer(const PendingPointer& pending, const InstanceAddress& peer);
    void onReply(const PendingPointer& pending, const InstanceAddress& peer, const transport::CallResult& result);
    void finishUnknown(const PendingPointer& pending, const InstanceAddress& peer, std::string_view reason, std::string_view outcome);
    void refuse(const PendingPointer& pending);
    void finish(const PendingPointer& pending, ForwardResult result, std::string_view outcome);
    void abandon(const PendingPointer& pending);
    [[nodiscard]] RelayRequest encode(const PendingRequest& pending) const;

    asio::io_context& m_io;
    Forwarder<Protocol>& m_local;
    LinkProber& m_links;
    RelayPeers& m_peers;
    registry::EntryFinder& m_finder;
    transport::PeerClient& m_client;
    const std::string m_instance;
    metrics::Registry& m_metrics;
    const std::size_t m_maxBodyBytes;
    const Log m_log { "relay" };
    const SystemClock m_clock {};
    std::set<PendingPointer> m_localRequests; ///< Requests that this instance forwards itself.
    std::uint64_t m_nextId = 1;
};

namespace internal {

    // A request is offered to at most this many other entries.
    constexpr std::size_t maxRelayPeers = 3;
    // The other entry responds this long before the deadline that it is given.
    constexpr Duration relayMargin = std::chrono::milliseconds(5);

}

template <typename Protocol>
RelayForwarder<Protocol>::RelayForwarder(asio::io_context& io, Forwarder<Protocol>& local, LinkProber& links, RelayPeers& peers, registry::EntryFinder& finder, transport::PeerClient& client, std::string instance, metrics::Registry& metrics, std::size_t maxBodyBytes)
    : m_io(io)
    , m_local(local)
    , m_links(links)
    , m_peers(peers)
    , m_finder(finder)
    , m_client(client)
    , m_instance(std::move(instance))
    , m_metrics(metrics)
    , m_maxBodyBytes(maxBodyBytes)
{
}

template <typename Protocol>
std::shared_ptr<ForwardCall> RelayForwarder<Protocol>::send(const ForwardRequest& request, const ForwardCallback& onResult)
{
    const auto pending = std::make_shared<PendingRequest>();
    pending->forwarder = this;
    pending->task = request;
    pending->onResult = onResult;
    pending->deadline = deadlineOf<Protocol>(request);
    if (m_links.areCut())
        findPeer(pending);
    else
        sendLocally(pending);
    return pending;
}

template <typename Protocol>
void RelayForwarder<Protocol>::sendLocally(const PendingPointer& pending)
{
    m_localRequests.insert(pending);
    auto call = m_local.send(pending->task, [this, pending](ForwardResult result) {
        m_localRequests.erase(pending);
        pending->local = nullptr;
        if (pending->isDone)
            return;
        if (result.isUnreached && m_links.areSuspected())
            return findPeer(pending);
        finish(pending, std::move(result), {});
    });
    if (m_localRequests.contains(pending))
        pending->local = std::move(call);
}

template <typename Protocol>
void RelayForwarder<Protocol>::onLinksCut()
{
    const std::set<PendingPointer> requests = m_localRequests;
    for (const PendingPointer& pending : requests) {
        const auto state = pending->local ? m_local.withdraw(*pending->local) : std::nullopt;
        if (!state)
            continue;
        m_localRequests.erase(pending);
        pending->local = nullptr;
        pending->task.earlier = *state;
        findPeer(pending);
    }
}

/// Chooses another entry, after searching for entries if none was found lately.
template <typename Protocol>
void RelayForwarder<Protocol>::findPeer(const PendingPointer& pending)
{
    if (pending->tried.size() >= internal::maxRelayPeers || pending->task.request->body.size() > m_maxBodyBytes)
        return refuse(pending);
    if (!pending->tried.empty() || m_peers.isCurrent(m_clock.now()))
        return sendToBestPeer(pending);
    m_finder.find([this, pending] {
        if (!pending->isDone)
            sendToBestPeer(pending);
    });
}

template <typename Protocol>
void RelayForwarder<Protocol>::sendToBestPeer(const PendingPointer& pending)
{
    const auto peer = m_peers.choose(pending->tried, m_clock.now());
    return peer ? sendToPeer(pending, *peer) : refuse(pending);
}

template <typename Protocol>
RelayRequest RelayForwarder<Protocol>::encode(const PendingRequest& pending) const
{
    const http1::Request& request = *pending.task.request;
    http1::Fields fields = request.fields;
    fields.eraseHopByHop();
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(pending.deadline - m_clock.now());
    return { pending.relayId, request.method, request.target, toRelayFields(fields), request.body, static_cast<std::uint64_t>(std::max<std::int64_t>(remaining.count(), 0)),
        pending.task.earlier.runs, pending.task.earlier.refusals, pending.task.origin.has_value(), pending.task.origin.value_or(registry::StreamOrigin {}), pending.task.directoryRevision, pending.task.workspace };
}

template <typename Protocol>
void RelayForwarder<Protocol>::sendToPeer(const PendingPointer& pending, const InstanceAddress& peer)
{
    pending->relayId = m_instance + "/" + std::to_string(m_nextId++);
    pending->peer = peer;
    pending->tried.insert(peer);
    m_peers.onStarted(peer);
    m_metrics.counter("gateway_relayed_total").add();
    m_log.info("id={} relay={} entry={} runs={} outcome=handed-over", Protocol::requestId(*pending->task.request), pending->relayId, formatAddress(peer), pending->task.earlier.runs);
    m_client.send(peer, std::string(RelayRequest::method), codec::encode(encode(*pending)), pending->deadline - internal::relayMargin, [this, pending, peer](transport::CallResult result) {
        asio::post(m_io, [this, pending, peer, result = std::move(result)] { onReply(pending, peer, result); });
    });
}

template <typename Protocol>
void RelayForwarder<Protocol>::onReply(const PendingPointer& pending, const InstanceAddress& peer, const transport::CallResult& result)
{
    m_peers.onEnded(peer);
    if (pending->isDone)
        return;
    pending->peer.reset();
    auto reply = result ? codec::decode<RelayReply>(*result) : tl::expected<RelayReply, codec::CodecError>(RelayReply {});
    const bool isUnknown = result ? !reply : result.error().outcome() != Outcome::NotRun;
    if (isUnknown)
        return finishUnknown(pending, peer, "the reply of another entry was lost", "lost");
    if (!reply->isAccepted) {
        m_peers.remove(peer);
        return findPeer(pending);
    }
    http1::Response response { reply->status, reply->reason, fromRelayFields(reply->fields), std::move(reply->body) };
    // Entries of earlier releases pass on answers that are none.
    if (http1::findFault(response))
        return finishUnknown(pending, peer, "another entry passed on an invalid answer", "invalid-answer");
    if (!reply->endpoint.empty() && Protocol::isLeaving(response))
        m_local.recordLeaving(reply->endpoint, Protocol::requestId(*pending->task.request));
    finish(pending, { std::move(response), reply->endpoint, 0, reply->origin, StreamState::NotBegun, false }, "answered");
}

/// Ends a request that the other entry may have sent to an endpoint.
template <typename Protocol>
void RelayForwarder<Protocol>::finishUnknown(const PendingPointer& pending, const InstanceAddress& peer, std::string_view reason, std::string_view outcome)
{
    m_peers.remove(peer);
    const RetryState state { pending->task.earlier.runs + 1, pending->task.earlier.refusals };
    finish(pending, { makeRefusal(state, m_clock.now() >= pending->deadline - internal::answerMargin, reason), {}, 0, {}, StreamState::NotBegun, false }, outcome);
}

/// Refuses a request for which there is neither a link to an endpoint nor another entry.
template <typename Protocol>
void RelayForwarder<Protocol>::refuse(const PendingPointer& pending)
{
    m_metrics.counter("gateway_relay_refusals_total").add();
    http1::Response response = makeRefusal(pending->task.earlier, false, "no endpoint can be reached");
    if (response.fields.contains("Retry-After"))
        response.fields.set("Retry-After", fmt::format("{:.1f}", std::chrono::duration<double>(m_links.untilNextRound() + std::chrono::milliseconds(100)).count()));
    finish(pending, { std::move(response), {}, 0, {}, StreamState::NotBegun, false }, "refused");
}

template <typename Protocol>
void RelayForwarder<Protocol>::finish(const PendingPointer& pending, ForwardResult result, std::string_view outcome)
{
    pending->isDone = true;
    if (!outcome.empty())
        m_log.info("id={} relay={} endpoint={} status={} outcome={}", Protocol::requestId(*pending->task.request), pending->relayId, result.endpoint, result.response.status, outcome);
    if (const auto onResult = std::exchange(pending->onResult, nullptr))
        onResult(std::move(result));
}

/// Ends a request that its caller cancelled.
template <typename Protocol>
void RelayForwarder<Protocol>::abandon(const PendingPointer& pending)
{
    if (std::exchange(pending->isDone, true))
        return;
    pending->onResult = nullptr;
    m_localRequests.erase(pending);
    if (const auto local = std::exchange(pending->local, nullptr))
        local->cancel();
    if (pending->peer) {
        m_log.info("id={} relay={} outcome=abandoned", Protocol::requestId(*pending->task.request), pending->relayId);
        m_client.send(*pending->peer, std::string(RelayCancelRequest::method), codec::encode(RelayCancelRequest { pending->relayId }), pending->deadline);
    }
}

}
