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

/// Dependencies of the weight service. The references must outlive it.
struct WeightDependencies {
    const SystemClock& clock;
    const ConfigurationHolder& configuration;
    LiveDirectory& directory;
    const Connector& connector;
    control::ControlClient& control;
    ControlPort port;
    BackgroundPool& background;
    std::string endpointSecret; ///< Bearer token sent with orders; empty for none.
    weights::SenderSettings sender;
};

/// An order as shown to operators.
struct OrderView {
    weights::OrderAction action;
    std::string state; ///< sent, done or failed.
    control::Epoch fencingToken = 0;
    WallTime time {};
    std::string reason;
};

/// Orders the engines of each service to switch to the weight version that the trainer of its source run announced. Of
/// all instances with a weight service, only the holder of the service's order lease sends orders. Thread-safe.
class WeightService {
public:
    explicit WeightService(WeightDependencies dependencies)
        : m_dependencies(std::move(dependencies))
    {
    }

    /// Renews leases, reads the state of endpoints and sends due orders. To be called several times a second.
    void tick();

    /// The latest orders of this instance, newest last.
    [[nodiscard]] std::vector<OrderView> orders() const;

private:
    /// A service whose weight version is managed.
    struct ManagedService {
        ManagedService(const weights::PlannerSettings& plannerSettings, const weights::SenderSettings& senderSettings, const ServiceName& service, const control::Holder& holder)
            : planner(plannerSettings)
            , sender(senderSettings, service, holder)
        {
        }

        std::mutex mutex;
        weights::RolloutPlanner planner;
        weights::OrderSender sender;
        std::map<EndpointId, std::string> addresses;
        std::map<EndpointId, TimePoint> lastStateRead;
        WeightVersion targetVersion = 0;
        /// The highest version announced by the trainer. It becomes the target after the rollout in progress.
        WeightVersion announcedVersion = 0;
        TimePoint targetSetAt {};
        bool isReadingVersion = false;
    };

    [[nodiscard]] std::shared_ptr<ManagedService> findOrAddManaged(const ServiceName& service, const config::ServiceConfiguration& configured);
    void tickService(const ServiceName& service, const config::ServiceConfiguration& configured);
    void adoptAnnouncedVersion(ManagedService& managed, TimePoint now) const;
    void renewLease(const std::shared_ptr<ManagedService>& managed, const control::AcquireOrderLease& request);
    void readAnnouncedVersion(const std::shared_ptr<ManagedService>& managed, const RunName& source);
    void syncEndpoints(ManagedService& managed, const ServiceName& service) const;
    void readStates(const std::shared_ptr<ManagedService>& managed, TimePoint now);
    void readState(const std::shared_ptr<ManagedService>& managed, const EndpointId& endpoint, const std::string& address);
    void sendDueOrders(const std::shared_ptr<ManagedService>& managed, TimePoint now);
    void sendOrder(const std::shared_ptr<ManagedService>& managed, const weights::Order& order, const std::string& address);
    void recordOrder(const weights::Order& order, std::string state, std::string reason);

    const WeightDependencies m_dependencies;
    const Log m_log { "weights" };
    mutable std::mutex m_mutex;
    std::map<ServiceName, std::shared_ptr<ManagedService>> m_managedServices;
    std::deque<OrderView> m_orders;
};

}
