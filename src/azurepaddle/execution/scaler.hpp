#pragma once

#include "azurepaddle/execution/duty_client.hpp"
#include "azurepaddle/execution/pending_item.hpp"
#include "azurepaddle/gateway/route_table.hpp"
#include "azurepaddle/scaling/history.hpp"
#include "azurepaddle/scaling/sustained_need.hpp"

#include <deque>
#include <memory>

namespace azurepaddle::execution {

/// Where the scaler gets the work in hand from, and how it encodes its orders.
struct ScalerSources {
    std::function<std::vector<PendingItem>()> pendingItems;
    std::function<http1::Request(const scaling::ScaleOrder&, const DutyHolder&)> encode;
};

/// Orders endpoints at the platform while this instance is the leader, for all services with scaling rules. Each order is
/// recorded in the replicated log before it is sent; one is in progress at a time.
class Scaler {
public:
    Scaler(registry::ServiceGroup& group, const registry::StateMachine& machine, const registry::Liveness& liveness, DutyClient& client, ScalerSources sources, metrics::Registry& metrics);

    void setRoutes(std::shared_ptr<const gateway::RouteTable> routes) { m_routes = std::move(routes); }
    void onLeadership(bool isLeading);
    /// Plans when it is time, and sends the next order. Called every few tens of milliseconds.
    void tick();

private:
    enum class Stage : std::uint8_t {
        Idle,
        Recording, ///< The order is being proposed to the replicated log.
        Recorded, ///< The order is in the log and waits until it may be sent.
        Sent, ///< The answer is outstanding.
    };

    using Observations = std::map<scaling::EndpointGroup, scaling::GroupObservation>;

    void plan(TimePoint now);
    void planService(const gateway::Service& service, const std::vector<PendingItem>& items, TimePoint now);
    [[nodiscard]] Observations observe(const gateway::Service& service, const std::vector<PendingItem>& items) const;
    [[nodiscard]] std::uint32_t reservedFor(const ServiceName& service, const Observations& observations);
    [[nodiscard]] std::uint32_t slotsPerEndpoint(const ServiceName& service) const;
    void recordWithdrawals(const Observations& observations);
    void recordNext(TimePoint now);
    void send();
    void onAnswer(unsigned status);
    void onRefused();
    void record(const scaling::ScaleOrder& order);
    void finish(scaling::OrderOutcome outcome);

    registry::ServiceGroup& m_group;
    const registry::StateMachine& m_machine;
    const registry::Liveness& m_liveness;
    DutyClient& m_client;
    const ScalerSources m_sources;
    metrics::Registry& m_metrics;
    // A need that lasts for this long is no burst: an endpoint that is ordered serves about as long after that.
    static constexpr Duration sustainPeriod = std::chrono::seconds(5);

    /// The endpoints that a service needs.
    struct Need {
        scaling::SustainedNeed meter { sustainPeriod };
        std::uint32_t sustained = 0; ///< As of the plan before.
    };

    const Log m_log { "scaling" };
    const SystemClock m_clock {};
    std::shared_ptr<const gateway::RouteTable> m_routes = std::make_shared<const gateway::RouteTable>();
    scaling::ScalingHistory m_history;
    std::map<ServiceName, Need> m_needs;
    std::map<ServiceName, std::uint32_t> m_reserved; ///< Endpoints at the first plan of services with load that is not known here.
    bool m_isLeading = false;
    bool m_isStarted = false; ///< The recorded orders have been taken over.
    std::uint64_t m_leadership = 0; ///< Number of changes of the leadership. Callbacks of earlier ones are ignored.
    std::deque<scaling::PlannedOrder> m_queue;
    scaling::ScaleOrder m_order; ///< The order in progress.
    std::uint32_t m_countBefore = 0; ///< Endpoints in its group when it was recorded, including those that leave.
    Stage m_stage = Stage::Idle;
    TimePoint m_stageSince {};
    TimePoint m_nextPlan {};
};

}
