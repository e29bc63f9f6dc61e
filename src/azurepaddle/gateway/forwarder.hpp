#pragma once

#include "azurepaddle/core/log.hpp"
#include "azurepaddle/gateway/answer_budget.hpp"
#include "azurepaddle/gateway/balancer.hpp"
#include "azurepaddle/gateway/crash_guard.hpp"
#include "azurepaddle/gateway/retry_policy.hpp"
#include "azurepaddle/gateway/route_table.hpp"
#include "azurepaddle/http1/client.hpp"
#include "azurepaddle/http1/server.hpp"
#include "azurepaddle/metrics/registry.hpp"

#include <memory>
#include <set>

namespace azurepaddle::gateway {

/// What an endpoint's response says about the request.
enum class AnswerClass : std::uint8_t {
    OtherRequest, ///< The response belongs to another request.
    NotRun, ///< The endpoint states that it did not run the request.
    WrongEndpoint, ///< Another endpoint has the address; it did not run the request.
    Answer,
};

/// How requests to endpoints and their responses are marked.
template <typename T>
concept EndpointProtocol = requires(const http1::Request& request, const http1::Response& response, const EndpointId& id, Duration left, std::string_view text)
{
    {
        T::requestId(request)
        } -> std::convertible_to<std::string>;
    {
        T::patience(request)
        } -> std::same_as<std::optional<Duration>>; ///< How long the client waits.
    {
        T::forEndpoint(request, id, left)
        } -> std::same_as<http1::Request>;
    {
        T::classify(response, text)
        } -> std::same_as<AnswerClass>;
    {
        T::loadOf(response)
        } -> std::same_as<std::optional<LoadReport>>;
    {
        T::isLeaving(response)
        } -> std::same_as<bool>; ///< The endpoint says that it leaves.
};

/// A request to forward.
struct ForwardRequest {
    std::shared_ptr<const http1::Request> request;
    TimePoint receivedAt;
    std::shared_ptr<const RouteTable> table;
    std::shared_ptr<const Route> route;
    bool isOfCaller = true; ///< False for a call on behalf of a batch item, which is owed whatever happens to endpoints.
};

/// How a forwarded request ended.
struct ForwardResult {
    http1::Response response; ///< Of an endpoint, or a refusal of this instance.
    EndpointId endpoint; ///< That gave the response; empty for a refusal.
    unsigned internalErrors = 0; ///< Endpoints that answered 500.
};

using ForwardCallback = std::function<void(ForwardResult)>;

/// A request that is being forwarded.
class ForwardCall {
public:
    virtual ~ForwardCall() = default;
    /// Ends the work of endpoints on it. No result follows.
    virtual void cancel() = 0;
};

/// Forwards requests of plain routes to endpoints. A request that may not be repeated is sent at most once; others are
/// repeated or sent a second time within the attempts of their route. A request that crashes endpoints is refused.
template <typename Protocol>
class Forwarder {
public:
    /// Answers that are being received take at most so many bytes.
    Forwarder(asio::io_context& io, http1::ClientPool& pool, Balancer& balancer, CrashGuard& guard, Random& random, metrics::Registry& metrics, std::size_t maxAnswerBytes);

    /// Called once with each endpoint incarnation that an answer says is leaving.
    void setOnLeaving(std::function<void(const registry::EndpointIncarnation&)> onLeaving) { m_onLeaving = std::move(onLeaving); }
    /// Forwards a caller's request and answers it. The table stays alive until then.
    void forward(const http1::ExchangePointer& exchange, const std::shared_ptr<const RouteTable>& table, const Route& route);
    /// Forwards a request. The result may come before this returns.
    std::shared_ptr<ForwardCall> send(const ForwardRequest& request, const ForwardCallback& onResult);
    [[nodiscard]] std::size_t inProgress() const noexcept { return m_inProgress; }

private:
    struct Sending {
        registry::EndpointRecord endpoint; ///< As it was known when the request was sent.
        http1::ClientCallPointer call;
        TimePoint startedAt;
        http1::Response response; ///< As far as it arrived.
        AnswerClass answerClass = AnswerClass::Answer;
    };

    /// One request until its answer.
    struct Forwarding : ForwardCall, std::enable_shared_from_this<Forwarding> {
        void cancel() override { owner->abandon(this->shared_from_this()); }

        Forwarder* owner = nullptr;
        ForwardRequest task;
        ForwardCallback onResult;
        const Service* service = nullptr;
        std::string id;
        registry::RequestFingerprint fingerprint; ///< Empty until it is needed.
        TimePoint deadline;
        std::set<EndpointId> excluded;
        std::map<std::uint64_t, Sending> sendings;
        unsigned runs = 0; ///< Endpoints that may have run it.
        unsigned refusals = 0;
        unsigned internalErrors = 0; ///< Endpoints that answered 500.
        bool isDone = false;
        std::optional<http1::Response> failure; ///< An endpoint's own failure, to hand on if nothing better comes.
        std::unique_ptr<asio::steady_timer> deadlineTimer;
        std::unique_ptr<asio::steady_timer> hedgeTimer;
    };
    using Pointer = std::shared_ptr<Forwarding>;

    [[nodiscard]] static RetryState stateOf(const Forwarding& forwarding);
    [[nodiscard]] static const registry::RequestFingerprint& fingerprintOf(Forwarding& forwarding);
    [[nodiscard]] bool isSuspect(Forwarding& forwarding) const;
    [[nodiscard]] std::optional<Duration> refusedFor(Forwarding& forwarding) const;
    [[nodiscard]] bool sendNext(const Pointer& forwarding);
    void tryNext(const Pointer& forwarding);
    void armDeadline(const Pointer& forwarding);
    void armHedge(const Pointer& forwarding);
    [[nodiscard]] http1::CallEvents eventsOf(const Pointer& forwarding, std::uint64_t number);
    [[nodiscard]] bool onHead(const Pointer& forwarding, std::uint64_t number, const http1::Response& head);
    void onBody(const Pointer& forwarding, std::uint64_t number, const std::string& bytes);
    void onEnd(const Pointer& forwarding, std::uint64_t number, const http1::CallEnd& end);
    void onAnswer(const Pointer& forwarding, Sending sending);
    void giveUp(const Pointer& forwarding, std::string_view reason);
    void finish(const Pointer& forwarding, http1::Response response, std::string_view outcome, const EndpointId& endpoint);
    void abandon(const Pointer& forwarding);
    void stopSendings(const Pointer& forwarding, Experience experience);

    asio::io_context& m_io;
    http1::ClientPool& m_pool;
    Balancer& m_balancer;
    CrashGuard& m_guard;
    Random& m_random;
    metrics::Registry& m_metrics;
    const Log m_log { "forward" };
    const SystemClock m_clock {};
    std::function<void(const registry::EndpointIncarnation&)> m_onLeaving;
    AnswerBudget m_budget;
    std::map<std::uint64_t, std::weak_ptr<Forwarding>> m_sendings; ///< All in progress, by number.
    std::uint64_t m_nextSending = 1;
    std::size_t m_inProgress = 0;
};

}

#include "azurepaddle/gateway/forwarder_impl.hpp" // IWYU pragma: export
