#pragma once

#include "azurepaddle/batch/load_plan.hpp"
#include "azurepaddle/execution/job_runner.hpp"
#include "azurepaddle/execution/order_window.hpp"

namespace azurepaddle::execution {

/// Orders endpoints to load the published versions of their weights while this instance is the leader, within the order
/// window.
template <typename Protocol>
class WeightLoader {
public:
    WeightLoader(asio::io_context& io, http1::ClientPool& pool, registry::ServiceGroup& group, const registry::StateMachine& machine, registry::Liveness& liveness, JobRunner<Protocol>& runner, metrics::Registry& metrics, OrderWindow& window);

    void setRoutes(std::shared_ptr<const gateway::RouteTable> routes) { m_routes = std::move(routes); }
    void onLeadership(bool isLeading);
    /// Starts loads that are due. Called every few tens of milliseconds.
    void tick();

private:
    /// A load in progress at one endpoint.
    struct ActiveLoad {
        batch::Load load;
        std::uint64_t number = 0;
        TimePoint startedAt;
        TimePoint orderedAt; ///< When the order was accepted; zero before.
        unsigned attempts = 0;
        bool isOrderUnanswered = false;
        http1::ClientCallPointer call;
        std::string body;
        unsigned status = 0;
    };
    using ActiveLoadPointer = std::shared_ptr<ActiveLoad>;

    [[nodiscard]] bool isSendingOrder() const;
    void planLoads(TimePoint now);
    [[nodiscard]] std::vector<batch::LoadTarget> targets(TimePoint now) const;
    void startLoad(const batch::Load& load);
    void requestStatus(const ActiveLoadPointer& activeLoad);
    void onStatus(const ActiveLoadPointer& activeLoad, const EndpointStatus& status);
    void sendOrder(const ActiveLoadPointer& activeLoad, std::uint64_t acceptedOrders);
    void onOrderAnswered(const ActiveLoadPointer& activeLoad, const http1::CallEnd& end);
    void finishAfterLoadTime(const ActiveLoadPointer& activeLoad);
    [[nodiscard]] std::optional<std::uint64_t> findAcceptedOrders(const EndpointId& id) const;
    void recordAcceptedOrders(const EndpointId& id, std::uint64_t count);
    void recordLoaded(const batch::Load& load, WeightVersion version);
    void sendOrderLater(const ActiveLoadPointer& activeLoad, std::uint64_t acceptedOrders);
    void requestStatusLater(const ActiveLoadPointer& activeLoad, Duration delay);
    void endLoad(const ActiveLoadPointer& activeLoad, std::string_view outcome);
    template <typename Action>
    void runLater(Duration delay, const ActiveLoadPointer& activeLoad, Action action);
    template <typename OnEnd>
    void send(const ActiveLoadPointer& activeLoad, const http1::Request& request, OnEnd onEnd);

    asio::io_context& m_io;
    http1::ClientPool& m_pool;
    registry::ServiceGroup& m_group;
    const registry::StateMachine& m_machine;
    registry::Liveness& m_liveness;
    JobRunner<Protocol>& m_runner;
    metrics::Registry& m_metrics;
    OrderWindow& m_window;
    const Log m_log { "weights" };
    const SystemClock m_clock {};
    std::shared_ptr<const gateway::RouteTable> m_routes = std::make_shared<const gateway::RouteTable>();
    bool m_isLeading = false;
    std::uint64_t m_nextNumber = 1;
    std::map<EndpointId, ActiveLoadPointer> m_activeLoads;
    /// Last known number of orders accepted by an incarnation of an endpoint.
    struct AcceptedOrders {
        std::uint64_t startedMs = 0;
        std::uint64_t count = 0;
    };

    std::map<EndpointId, AcceptedOrders> m_accepted;
    std::map<EndpointId, TimePoint> m_retryAt; ///< Earliest time of the next load after a failed one.
    std::map<batch::ModelName, std::pair<WeightVersion, TimePoint>> m_publishedAt;
    TimePoint m_nextPlan {};
};

}

#include "azurepaddle/execution/weight_loader_impl.hpp" // IWYU pragma: export
