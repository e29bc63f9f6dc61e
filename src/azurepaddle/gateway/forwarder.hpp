#pragma once

#include "azurepaddle/core/log.hpp"
#include "azurepaddle/gateway/balancer.hpp"
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
};

/// Forwards requests of plain routes to endpoints and answers their clients. A request that may not be repeated is sent
/// at most once; others are repeated or sent a second time within the attempts of their route.
template <typename Protocol>
class Forwarder {
public:
    Forwarder(asio::io_context& io, http1::ClientPool& pool, Balancer& balancer, Random& random, metrics::Registry& metrics);

    /// Takes over the request. The table stays alive until it is answered.
    void forward(const http1::ExchangePointer& exchange, const std::shared_ptr<const RouteTable>& table, const Route& route);
    [[nodiscard]] std::size_t inProgress() const noexcept { return m_inProgress; }

private:
    struct Sending {
        EndpointId endpoint;
        http1::ClientCallPointer call;
        TimePoint startedAt;
        http1::Response response; ///< As far as it arrived.
        AnswerClass answerClass = AnswerClass::Answer;
    };

    /// One request until its answer.
    struct Forwarding {
        http1::ExchangePointer exchange;
        std::shared_ptr<const RouteTable> table;
        const Route* route = nullptr;
        const Service* service = nullptr;
        std::string id;
        TimePoint receivedAt;
        TimePoint deadline;
        std::set<EndpointId> excluded;
        std::map<std::uint64_t, Sending> sendings;
        std::uint64_t nextSending = 1;
        unsigned runs = 0; ///< Endpoints that may have run it.
        unsigned refusals = 0;
        bool isDone = false;
        std::optional<http1::Response> failure; ///< An endpoint's own failure, to hand on if nothing better comes.
        std::unique_ptr<asio::steady_timer> deadlineTimer;
        std::unique_ptr<asio::steady_timer> hedgeTimer;
    };
    using Pointer = std::shared_ptr<Forwarding>;

    [[nodiscard]] bool sendNext(const Pointer& forwarding);
    void tryNext(const Pointer& forwarding);
    void armDeadline(const Pointer& forwarding);
    void armHedge(const Pointer& forwarding);
    void onEnd(const Pointer& forwarding, std::uint64_t number, const http1::CallEnd& end);
    void onAnswer(const Pointer& forwarding, Sending sending);
    void giveUp(const Pointer& forwarding, std::string_view reason);
    void finish(const Pointer& forwarding, http1::Response response, std::string_view outcome, const EndpointId& endpoint);
    void clientLeft(const Pointer& forwarding);
    void stopSendings(const Pointer& forwarding);

    asio::io_context& m_io;
    http1::ClientPool& m_pool;
    Balancer& m_balancer;
    Random& m_random;
    metrics::Registry& m_metrics;
    const Log m_log { "forward" };
    const SystemClock m_clock {};
    std::size_t m_inProgress = 0;
};

}

#include "azurepaddle/gateway/forwarder_impl.hpp" // IWYU pragma: export
