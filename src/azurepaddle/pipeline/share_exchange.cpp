#include "azurepaddle/pipeline/share_exchange.hpp"

#include "azurepaddle/admission/capacity.hpp"

#include <algorithm>

namespace azurepaddle::pipeline {

namespace {

    constexpr double smoothingFactor = 0.5;
    constexpr double minTrafficFraction = 0.01;

    /// Sums the demands of all services for each instance and tenant.
    std::vector<std::vector<admission::InstanceDemand>> sumOverServices(const std::vector<ServiceDemands>& services)
    {
        std::vector<std::map<TenantName, admission::InstanceDemand>> sums(services.front().byInstance.size());
        for (const auto& service : services) {
            for (std::size_t i = 0; i < sums.size(); ++i) {
                for (const auto& demand : service.byInstance[i]) {
                    auto& sum = sums[i].try_emplace(demand.tenant, admission::InstanceDemand { demand.tenant, demand.weight, 0, 0, 0, 0 }).first->second;
                    sum.served += demand.served;
                    sum.queued += demand.queued;
                    sum.longServed += demand.longServed;
                    sum.longQueued += demand.longQueued;
                }
            }
        }
        std::vector<std::vector<admission::InstanceDemand>> demands(sums.size());
        for (std::size_t i = 0; i < sums.size(); ++i) {
            for (const auto& [tenant, demand] : sums[i])
                demands[i].push_back(demand);
        }
        return demands;
    }

    /// Moves the smoothed values towards the fractions. Resets them to equal values if the number of instances changed.
    void smooth(std::vector<double>& smoothed, const std::vector<double>& fractions)
    {
        if (smoothed.size() != fractions.size())
            smoothed.assign(fractions.size(), 1.0 / static_cast<double>(fractions.size()));
        for (std::size_t i = 0; i < smoothed.size(); ++i)
            smoothed[i] += smoothingFactor * (fractions[i] - smoothed[i]);
    }

    routing::SlotRange slotRangeOf(const std::vector<double>& smoothed, std::size_t self)
    {
        double begin = 0;
        for (std::size_t i = 0; i < self; ++i)
            begin += smoothed[i];
        return { begin, self + 1 == smoothed.size() ? 1.0 : begin + smoothed[self] };
    }

}

ServiceDemands ShareExchange::collect(const ServiceName& service, const std::vector<InstanceView>& views, const std::vector<admission::InstanceDemand>& ownDemands) const
{
    ServiceDemands demands;
    for (const auto& view : views) {
        auto& list = demands.byInstance.emplace_back();
        if (view.message.name == m_self) {
            demands.self = demands.byInstance.size() - 1;
            list = ownDemands;
            continue;
        }
        for (const auto& message : view.message.demands) {
            if (message.service == service)
                list.push_back({ message.tenant, message.weight, message.served, message.queued, message.longServed, message.longQueued });
        }
    }
    return demands;
}

void ShareExchange::exchange(const std::vector<ServiceName>& services, LiveAdmission& admission, LiveRouter& router, PeerExchange& peers)
{
    auto views = peers.instances();
    std::erase_if(views, [&](const auto& view) { return view.message.name != m_self && view.state != "alive"; });
    std::sort(views.begin(), views.end(), [](const auto& left, const auto& right) { return left.message.name < right.message.name; });
    std::vector<DemandMessage> published;
    std::vector<ServiceDemands> allDemands;
    for (const ServiceName& service : services) {
        const auto ownDemands = admission.takeDemands(service);
        for (const auto& demand : ownDemands)
            published.push_back({ service, demand.tenant, demand.weight, demand.served, demand.queued, demand.longServed, demand.longQueued });
        allDemands.push_back(collect(service, views, ownDemands));
        admission.correctCredits(service, allDemands.back().byInstance, allDemands.back().self);
    }
    peers.setDemands(std::move(published));
    if (!allDemands.empty())
        applyShare(allDemands, router);
}

void ShareExchange::applyShare(const std::vector<ServiceDemands>& demands, LiveRouter& router)
{
    const auto summed = sumOverServices(demands);
    smooth(m_slotFractions, admission::instanceFractions(summed));
    smooth(m_longSlotFractions, admission::longInstanceFractions(summed));
    const std::size_t self = demands.front().self;
    router.setShare({ slotRangeOf(m_slotFractions, self), slotRangeOf(m_longSlotFractions, self), std::max(minTrafficFraction, m_slotFractions[self]) });
}

}
