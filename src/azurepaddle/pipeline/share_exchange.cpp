#include "azurepaddle/pipeline/share_exchange.hpp"

#include "azurepaddle/admission/capacity.hpp"

#include <algorithm>

namespace azurepaddle::pipeline {

namespace {

    constexpr double smoothing = 0.5;
    constexpr double smallestTraffic = 0.01;

    /// Sums the demands of several services for each instance and tenant.
    std::vector<std::vector<admission::InstanceDemand>> sumOver(const std::vector<ServiceDemands>& services)
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

    /// Moves the parts towards the fractions; starts anew when the number of instances changed.
    void smooth(std::vector<double>& parts, const std::vector<double>& fractions)
    {
        if (parts.size() != fractions.size())
            parts.assign(fractions.size(), 1.0 / static_cast<double>(fractions.size()));
        for (std::size_t i = 0; i < parts.size(); ++i)
            parts[i] += smoothing * (fractions[i] - parts[i]);
    }

    routing::SlotRange partOf(const std::vector<double>& parts, std::size_t self)
    {
        double begin = 0;
        for (std::size_t i = 0; i < self; ++i)
            begin += parts[i];
        return { begin, self + 1 == parts.size() ? 1.0 : begin + parts[self] };
    }

}

ServiceDemands ShareExchange::collect(const ServiceName& service, const std::vector<InstanceView>& views, const std::vector<admission::InstanceDemand>& own) const
{
    ServiceDemands demands;
    for (const auto& view : views) {
        auto& list = demands.byInstance.emplace_back();
        if (view.message.name == m_self) {
            demands.self = demands.byInstance.size() - 1;
            list = own;
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
    std::vector<ServiceDemands> all;
    for (const ServiceName& service : services) {
        const auto own = admission.takeDemands(service);
        for (const auto& demand : own)
            published.push_back({ service, demand.tenant, demand.weight, demand.served, demand.queued, demand.longServed, demand.longQueued });
        all.push_back(collect(service, views, own));
        admission.correctCredits(service, all.back().byInstance, all.back().self);
    }
    peers.setDemands(std::move(published));
    if (!all.empty())
        applyShare(all, router);
}

void ShareExchange::applyShare(const std::vector<ServiceDemands>& demands, LiveRouter& router)
{
    const auto summed = sumOver(demands);
    smooth(m_parts, admission::instanceFractions(summed));
    smooth(m_longParts, admission::longInstanceFractions(summed));
    const std::size_t self = demands.front().self;
    router.setShare({ partOf(m_parts, self), partOf(m_longParts, self), std::max(smallestTraffic, m_parts[self]) });
}

}
