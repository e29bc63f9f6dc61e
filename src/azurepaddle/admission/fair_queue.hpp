#pragma once

#include "azurepaddle/admission/types.hpp"

#include <array>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurepaddle::admission {

/// Settings of a fair queue, in tokens to generate.
struct FairQueueSettings {
    double quantum = 256; ///< Credit of a tenant of weight 1 in one round.
    double maxBurst = 2048; ///< Credit that a tenant of weight 1 keeps while it has nothing queued.
    double maxDebt = 60000; ///< Service beyond the share that is remembered against a tenant of weight 1.
    double shortWeight = 4; ///< Of short work against long work of the same tenant and run.

    friend bool operator==(const FairQueueSettings&, const FairQueueSettings&) = default;
};

/// What one tenant got and wants, summed over all instances for the last interval.
struct TenantService {
    TenantName tenant;
    double servedHere = 0; ///< Cost taken from this instance's queue.
    double servedEverywhere = 0;
    double queuedHere = 0; ///< Cost waiting in this instance's queue.
    double queuedEverywhere = 0;
    double longServedHere = 0; ///< The part of long work.
    double longQueuedHere = 0;

    friend bool operator==(const TenantService&, const TenantService&) = default;
};

/// Weighted deficit round robin over the tenants of one service; within a tenant, over its runs and work classes by
/// weight. A tenant that cannot use its share leaves it to the others at once. Not thread-safe.
class FairQueue {
public:
    explicit FairQueue(const FairQueueSettings& settings = {})
        : m_settings(settings)
    {
    }

    /// Sets the weight of a tenant, above 0.
    void setWeight(const TenantName& tenant, double weight);
    /// Sets the weight of a run within its tenant, above 0.
    void setRunWeight(const TenantName& tenant, const RunName& run, double weight);

    void push(Ticket ticket);

    /// Returns a ticket that was popped and could not be sent to the front of its flow, without cost to its tenant.
    void pushFront(Ticket ticket);

    /// Takes the next ticket of an allowed class.
    [[nodiscard]] std::optional<Ticket> pop(AllowedClasses allowed = {});

    /// Takes a ticket out of the queue, if it is there.
    [[nodiscard]] std::optional<Ticket> remove(const TenantName& tenant, TicketId id);

    /// Takes out the tickets whose deadline has passed.
    [[nodiscard]] std::vector<Ticket> removeExpired(TimePoint now);

    /// Charges the difference between the actual and the estimated cost of a ticket popped earlier.
    void charge(const TenantName& tenant, double cost);

    /// Takes over the figures of all instances. A tenant's weight here becomes the part of its weight that its work here
    /// has of its work everywhere, and tenants that got more or less than their share everywhere lose or gain credit.
    void correctCredits(const std::vector<TenantService>& services, std::size_t instances);

    /// Cost served since the last call and cost queued, per tenant with either, for the exchange between instances.
    [[nodiscard]] std::vector<TenantService> takeServices();

    [[nodiscard]] std::size_t size() const noexcept { return m_size; }
    [[nodiscard]] std::size_t size(WorkClass workClass) const noexcept;
    [[nodiscard]] double queuedCost(const TenantName& tenant) const;
    [[nodiscard]] double queuedCost() const noexcept;
    [[nodiscard]] double weight(const TenantName& tenant) const;
    /// Sum of the weights of the tenants with queued tickets.
    [[nodiscard]] double busyWeight() const noexcept;

private:
    struct Flow {
        double weight = 1;
        double served = 0; ///< Divided by the weight; the flow with the lowest value is next.
        std::deque<Ticket> tickets;
    };

    struct FlowKey {
        RunName run;
        WorkClass workClass = WorkClass::Short;

        friend bool operator==(const FlowKey&, const FlowKey&) = default;
        friend bool operator<(const FlowKey& left, const FlowKey& right)
        {
            return left.run == right.run ? left.workClass < right.workClass : left.run < right.run;
        }
    };

    struct Tenant {
        TenantName name;
        double weight = 1;
        double localFraction = 0; ///< Of the tenant's work on all instances; 0 until the exchange told.
        double deficit = 0;
        double queued = 0; ///< Cost.
        double served = 0; ///< Cost since the last exchange.
        double longQueued = 0;
        double longServed = 0;
        std::size_t count = 0;
        std::array<std::size_t, 2> countByClass {};
        std::map<FlowKey, Flow> flows;
        std::map<RunName, double> runWeights;
        bool isActive = false;
    };

    using Ring = std::list<Tenant*>;

    [[nodiscard]] Tenant& tenantOf(const TenantName& name);
    [[nodiscard]] Flow& flowOf(Tenant& tenant, const Ticket& ticket);
    [[nodiscard]] static bool isAllowed(const Tenant& tenant, AllowedClasses allowed) noexcept;
    [[nodiscard]] static Flow* nextFlow(Tenant& tenant, AllowedClasses allowed);
    [[nodiscard]] Ticket take(Tenant& tenant, Flow& flow);
    void activate(Tenant& tenant);
    void count(Tenant& tenant, const Ticket& ticket, bool added) noexcept;
    void grantRounds(AllowedClasses allowed);
    [[nodiscard]] double quantumOf(const Tenant& tenant) const noexcept;
    void clampDeficit(Tenant& tenant) const noexcept;

    FairQueueSettings m_settings;
    std::unordered_map<TenantName, Tenant> m_tenants;
    Ring m_ring;
    std::size_t m_size = 0;
    double m_defaultFraction = 1; ///< Of a tenant that the exchange does not know yet.
};

}
