#pragma once

#include "azurepaddle/control/client.hpp"
#include "azurepaddle/core/log.hpp"
#include "azurepaddle/pipeline/background_pool.hpp"
#include "azurepaddle/pipeline/configuration_holder.hpp"
#include "azurepaddle/pipeline/connector.hpp"
#include "azurepaddle/pipeline/control_port.hpp"
#include "azurepaddle/pipeline/dispatcher.hpp"
#include "azurepaddle/weights/order_sender.hpp"
#include "azurepaddle/weights/rollout_planner.hpp"

#include <deque>
#include <map>
#include <memory>
#include <mutex>

namespace azurepaddle::pipeline {

/// What the weight service works with. The references outlive it.
struct WeightDependencies {
    const SystemClock& clock;
    const ConfigurationHolder& configuration;
    LiveDirectory& directory;
    const Connector& connector;
    control::ControlClient& control;
    ControlPort port;
    BackgroundPool& background;
    std::string endpointSecret; ///< Sent with orders.
    weights::SenderSettings sender;
};

/// An order for operators.
struct OrderView {
    weights::OrderAction action;
    std::string state; ///< sent, done or failed.
    control::Epoch fencingToken = 0;
    WallTime time {};
    std::string reason;
};

/// Brings the engines of each service to the version that its run's trainer announced. Of all instances that run this,
/// the holder of the service's order lease sends orders. Thread-safe.
class WeightService {
public:
    explicit WeightService(WeightDependencies parts)
        : m_parts(std::move(parts))
    {
    }

    /// Renews leases, reads states and sends what is due. To be called several times a second.
    void tick();

    /// The latest orders sent by this instance, the newest last.
    [[nodiscard]] std::vector<OrderView> orders() const;

private:
    /// One service whose weights are managed.
    struct Managed {
        Managed(const weights::PlannerSettings& plan, const weights::SenderSettings& settings, const ServiceName& service, const control::Holder& holder)
            : planner(plan)
            , sender(settings, service, holder)
        {
        }

        std::mutex mutex;
        weights::RolloutPlanner planner;
        weights::OrderSender sender;
        std::map<EndpointId, std::string> addresses;
        std::map<EndpointId, TimePoint> lastRead;
        WeightVersion wanted = 0;
        WeightVersion newest = 0; ///< As the trainer announced; wanted once the rollout in progress is done.
        TimePoint wantedSince {};
        bool isAsking = false;
    };

    [[nodiscard]] std::shared_ptr<Managed> managedFor(const ServiceName& service, const config::ServiceConfiguration& configured);
    void workOn(const ServiceName& service, const config::ServiceConfiguration& configured);
    void adoptNewest(Managed& managed, TimePoint now) const;
    void renew(const std::shared_ptr<Managed>& managed, const control::AcquireOrderLease& request);
    void readWanted(const std::shared_ptr<Managed>& managed, const RunName& source);
    void syncEndpoints(Managed& managed, const ServiceName& service) const;
    void readStates(const std::shared_ptr<Managed>& managed, TimePoint now);
    void readState(const std::shared_ptr<Managed>& managed, const EndpointId& endpoint, const std::string& address);
    void sendDue(const std::shared_ptr<Managed>& managed, TimePoint now);
    void send(const std::shared_ptr<Managed>& managed, const weights::Order& order, const std::string& address);
    void note(const weights::Order& order, std::string state, std::string reason);

    const WeightDependencies m_parts;
    const Log m_log { "weights" };
    mutable std::mutex m_mutex;
    std::map<ServiceName, std::shared_ptr<Managed>> m_managed;
    std::deque<OrderView> m_orders;
};

}
