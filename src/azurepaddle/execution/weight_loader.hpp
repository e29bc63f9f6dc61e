#pragma once

#include "azurepaddle/batch/load_plan.hpp"
#include "azurepaddle/execution/job_runner.hpp"
#include "azurepaddle/execution/order_right.hpp"

namespace azurepaddle::execution {

/// Bounds of orders.
struct OrderOptions {
    std::string instance; ///< This one, as the holder of the order right.
    Duration lease = std::chrono::seconds(3); ///< Two holders never give orders within this time.
};

/// Brings endpoints to the named versions of their weights while its instance leads. Before its first order it takes the
/// order right from an earlier holder by a record on the log, once that one's orders are out of the way. It sends orders
/// only between two records that open and close a window for them, so that its successor knows how old they are.
template <typename Protocol>
class WeightLoader {
public:
    WeightLoader(asio::io_context& io, http1::ClientPool& pool, registry::ServiceGroup& group, const registry::StateMachine& machine, registry::Liveness& liveness, JobRunner<Protocol>& runner, metrics::Registry& metrics, OrderOptions options);

    void setRoutes(std::shared_ptr<const gateway::RouteTable> routes) { m_routes = std::move(routes); }
    void onLeadership(bool isLeading);
    /// Starts loads that are due. Called every few 10 ms.
    void tick();

private:
    /// One load in progress.
    struct ActiveLoad {
        batch::Load load;
        std::uint64_t number = 0;
        TimePoint startedAt;
        TimePoint orderedAt; ///< Of the accepted order; zero before.
        unsigned attempts = 0;
        bool isOrderUnanswered = false;
        http1::ClientCallPointer call;
        std::string body;
        unsigned status = 0;
    };
    using ActiveLoadPointer = std::shared_ptr<ActiveLoad>;

    [[nodiscard]] bool isHolder() const;
    [[nodiscard]] bool acquireOrderRight();
    [[nodiscard]] bool isOrderWindowOpen() const;
    void setWindow(bool isOpen);
    void closeWindowIfIdle(TimePoint now);
    void planLoads(TimePoint now);
    [[nodiscard]] std::vector<batch::LoadTarget> targets(TimePoint now) const;
    void startLoad(const batch::Load& load);
    void requestStatus(const ActiveLoadPointer& loading);
    void onStatus(const ActiveLoadPointer& loading, const EndpointStatus& status);
    void sendOrder(const ActiveLoadPointer& loading, std::uint64_t acceptedOrders);
    void onOrderAnswered(const ActiveLoadPointer& loading, const http1::CallEnd& end);
    void finishAfterLoadTime(const ActiveLoadPointer& loading);
    [[nodiscard]] std::optional<std::uint64_t> findAcceptedOrders(const EndpointId& id) const;
    void recordAcceptedOrders(const EndpointId& id, std::uint64_t count);
    void sendOrderLater(const ActiveLoadPointer& loading, std::uint64_t acceptedOrders);
    void requestStatusLater(const ActiveLoadPointer& loading, Duration delay);
    void endLoad(const ActiveLoadPointer& loading, std::string_view outcome);
    template <typename Action>
    void runLater(Duration delay, const ActiveLoadPointer& loading, Action action);
    template <typename OnEnd>
    void send(const ActiveLoadPointer& loading, const http1::Request& request, OnEnd onEnd);

    asio::io_context& m_io;
    http1::ClientPool& m_pool;
    registry::ServiceGroup& m_group;
    const registry::StateMachine& m_machine;
    registry::Liveness& m_liveness;
    JobRunner<Protocol>& m_runner;
    metrics::Registry& m_metrics;
    const OrderOptions m_options;
    const Log m_log { "weights" };
    const SystemClock m_clock {};
    std::shared_ptr<const gateway::RouteTable> m_routes = std::make_shared<const gateway::RouteTable>();
    bool m_isLeading = false;
    bool m_isClaimPending = false;
    bool m_isWindowChangePending = false;
    TimePoint m_lastOrderEnd; ///< When no order was on its way any more.
    OrderRight m_orderRight;
    std::uint64_t m_nextNumber = 1;
    std::map<EndpointId, ActiveLoadPointer> m_activeLoads;
    /// Orders that an incarnation of an endpoint accepted, as far as known.
    struct AcceptedOrders {
        std::uint64_t startedMs = 0;
        std::uint64_t count = 0;
    };

    std::map<EndpointId, AcceptedOrders> m_accepted;
    std::map<EndpointId, TimePoint> m_retryAt; ///< After a failed load.
    std::map<batch::ModelName, std::pair<WeightVersion, TimePoint>> m_publishedAt;
    TimePoint m_nextPlan {};
};

}

#include "azurepaddle/execution/weight_loader_impl.hpp" // IWYU pragma: export
