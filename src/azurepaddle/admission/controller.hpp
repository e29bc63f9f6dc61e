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

/// Admits requests into one fair queue per service and selects the request to send next. Thread-safe: each service has
/// its own lock. The clock must outlive the controller.
///
/// The thread of a request calls `admit` and waits until its ticket is returned by `next` or `expire`. Any thread that
/// finds a free slot calls `next`. For each ticket returned by `next`, `onFinished`, `onFailed` or `requeue` must be
/// called.
template <typename ClockType>
class AdmissionController {
    static_assert(Clock<ClockType>);

public:
    explicit AdmissionController(const ClockType& clock, const AdmissionSettings& settings = {})
        : m_clock(clock)
        , m_settings(settings)
        , m_sizeEstimator(settings.size)
    {
    }

    /// Sets the weight and the limits of a tenant for all services.
    void setPolicy(const TenantName& tenant, const TenantPolicy& policy)
    {
        const std::unique_lock lock(m_mutex);
        m_policies[tenant] = policy;
        for (const auto& [name, service] : m_services)
            service->setPolicy(tenant, policy);
    }

    /// Queues the request, or refuses it and returns the time after which to retry.
    [[nodiscard]] tl::expected<Ticket, Refusal> admit(const RequestProfile& profile)
    {
        Ticket ticket;
        ticket.id = m_nextTicket.fetch_add(1);
        ticket.tenant = profile.tenant;
        ticket.run = profile.run;
        ticket.service = profile.service;
        ticket.size = m_sizeEstimator.estimate(profile);
        ticket.bytes = profile.bytes;
        ticket.enqueued = m_clock.now();
        ticket.deadline = profile.deadline;
        return serviceOf(profile.service).admit(std::move(ticket));
    }

    /// Takes the ticket to send next out of the queue, if one of an allowed class is queued.
    [[nodiscard]] std::optional<Ticket> next(const ServiceName& service, AllowedClasses allowed = {}) { return serviceOf(service).next(allowed); }

    /// Requeues a ticket that could not be sent, at the front of its flow.
    void requeue(const Ticket& ticket) { serviceOf(ticket.service).requeue(ticket); }

    /// Removes a queued ticket. Returns false if it is no longer queued.
    [[nodiscard]] bool cancel(const Ticket& ticket) { return serviceOf(ticket.service).cancel(ticket); }

    /// Removes the tickets whose deadline has passed. To be called several times a second.
    [[nodiscard]] std::vector<std::pair<Ticket, Refusal>> expire(const ServiceName& service) { return serviceOf(service).expire(m_clock.now()); }

    /// Records a request that was answered completely. `runTime` is the time since it was sent to the endpoint.
    void onFinished(const Ticket& ticket, double outputTokens, Duration runTime)
    {
        m_sizeEstimator.onFinished(ticket.tenant, ticket.run, ticket.size.workClass, outputTokens);
        const double cost = m_sizeEstimator.cost(ticket.size.promptTokens, outputTokens);
        serviceOf(ticket.service).onFinished(ticket, cost, outputTokens, runTime, m_clock.now());
    }

    /// Records a request that failed after generating `outputTokens` tokens.
    void onFailed(const Ticket& ticket, double outputTokens)
    {
        serviceOf(ticket.service).onFailed(ticket, m_sizeEstimator.cost(ticket.size.promptTokens, outputTokens));
    }

    /// Returns the cost served since the last call and the cost queued at this instance, per tenant, for the exchange
    /// between instances.
    [[nodiscard]] std::vector<InstanceDemand> takeDemands(const ServiceName& service) { return serviceOf(service).takeDemands(); }

    /// Corrects the credit of the tenants by the demands at all instances. `self` is the index of this instance.
    void correctCredits(const ServiceName& service, const std::vector<std::vector<InstanceDemand>>& demands, std::size_t self)
    {
        serviceOf(service).correctCredits(demands, self);
    }

    /// The number of queued tickets of a work class.
    [[nodiscard]] std::size_t queuedCount(const ServiceName& service, WorkClass workClass) { return serviceOf(service).queuedCount(workClass); }

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
    SizeEstimator m_sizeEstimator;
    std::atomic<TicketId> m_nextTicket { 1 };
    std::shared_mutex m_mutex; ///< Guards the two maps; services are never removed.
    std::unordered_map<ServiceName, std::unique_ptr<internal::ServiceQueue>> m_services;
    std::unordered_map<TenantName, TenantPolicy> m_policies;
};

}
