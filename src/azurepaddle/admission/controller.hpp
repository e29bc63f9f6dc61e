#pragma once

#include "azurepaddle/admission/service_queue.hpp"

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <tl/expected.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

namespace azurepaddle::admission {

/// Admits requests into one fair queue per service and says which is sent next. Thread-safe: each service has its own
/// lock. The clock must outlive the controller.
///
/// A caller's thread calls `admit` and waits until its ticket is returned by `next` (or `expire`), which whoever sees a
/// free slot calls. A ticket from `next` is ended by `onFinished`, `onFailed` or `requeue`.
template <typename ClockType>
class AdmissionController {
    static_assert(Clock<ClockType>);

public:
    explicit AdmissionController(const ClockType& clock, const AdmissionSettings& settings = {})
        : m_clock(clock)
        , m_settings(settings)
        , m_sizes(settings.size)
    {
    }

    /// Sets weight and limits of a tenant on all services.
    void setPolicy(const TenantName& tenant, const TenantPolicy& policy)
    {
        const std::unique_lock lock(m_mutex);
        m_policies[tenant] = policy;
        for (const auto& [name, service] : m_services)
            service->setPolicy(tenant, policy);
    }

    /// Queues the request, or refuses it with the time after which to retry.
    [[nodiscard]] tl::expected<Ticket, Refusal> admit(const RequestProfile& profile)
    {
        Ticket ticket;
        ticket.id = m_nextTicket.fetch_add(1);
        ticket.tenant = profile.tenant;
        ticket.run = profile.run;
        ticket.service = profile.service;
        ticket.size = m_sizes.estimate(profile);
        ticket.bytes = profile.bytes;
        ticket.enqueued = m_clock.now();
        ticket.deadline = profile.deadline;
        return serviceOf(profile.service).admit(std::move(ticket));
    }

    /// The ticket to send next, if one of an allowed class waits.
    [[nodiscard]] std::optional<Ticket> next(const ServiceName& service, AllowedClasses allowed = {}) { return serviceOf(service).next(allowed); }

    /// Returns a ticket that could not be sent after all; it keeps its place.
    void requeue(const Ticket& ticket) { serviceOf(ticket.service).requeue(ticket); }

    /// Takes a waiting ticket out. False if it does not wait any more.
    [[nodiscard]] bool cancel(const Ticket& ticket) { return serviceOf(ticket.service).cancel(ticket); }

    /// Takes out the tickets whose deadline passed. To be called several times a second.
    [[nodiscard]] std::vector<std::pair<Ticket, Refusal>> expire(const ServiceName& service) { return serviceOf(service).expire(m_clock.now()); }

    /// The request was answered in full; `runTime` is the time since it was sent to the endpoint.
    void onFinished(const Ticket& ticket, double outputTokens, Duration runTime)
    {
        m_sizes.onFinished(ticket.tenant, ticket.run, ticket.size.workClass, outputTokens);
        const double cost = m_sizes.cost(ticket.size.promptTokens, outputTokens);
        serviceOf(ticket.service).onFinished(ticket, cost, outputTokens, runTime, m_clock.now());
    }

    /// The request ended without an answer after this many tokens.
    void onFailed(const Ticket& ticket, double outputTokens)
    {
        serviceOf(ticket.service).onFailed(ticket, m_sizes.cost(ticket.size.promptTokens, outputTokens));
    }

    /// What each tenant got and wants here since the last call, for the exchange between instances.
    [[nodiscard]] std::vector<InstanceDemand> takeDemands(const ServiceName& service) { return serviceOf(service).takeDemands(); }

    /// Corrects the credit of the tenants by the figures of all instances, this one included at `self`.
    void correctCredits(const ServiceName& service, const std::vector<std::vector<InstanceDemand>>& demands, std::size_t self)
    {
        serviceOf(service).correctCredits(demands, self);
    }

    /// Tickets that wait.
    [[nodiscard]] std::size_t waiting(const ServiceName& service, WorkClass workClass) { return serviceOf(service).waiting(workClass); }

private:
    [[nodiscard]] internal::ServiceQueue& serviceOf(const ServiceName& name)
    {
        {
            const std::shared_lock lock(m_mutex);
            if (const auto service = m_services.find(name); service != m_services.end())
                return *service->second;
        }
        const std::unique_lock lock(m_mutex);
        auto& service = m_services[name];
        if (!service) {
            service = std::make_unique<internal::ServiceQueue>(m_settings);
            for (const auto& [tenant, policy] : m_policies)
                service->setPolicy(tenant, policy);
        }
        return *service;
    }

    const ClockType& m_clock;
    const AdmissionSettings m_settings;
    SizeEstimator m_sizes;
    std::atomic<TicketId> m_nextTicket { 1 };
    std::shared_mutex m_mutex; ///< Guards the two maps; services are never removed.
    std::unordered_map<ServiceName, std::unique_ptr<internal::ServiceQueue>> m_services;
    std::unordered_map<TenantName, TenantPolicy> m_policies;
};

}
