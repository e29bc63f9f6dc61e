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

/// Settings of a fair queue. Credit is measured in generated tokens.
struct FairQueueSettings {
    double quantum = 256; ///< Credit granted to a tenant of weight 1 in each round.
    double maxBurst = 2048; ///< Largest credit that a tenant of weight 1 keeps while it has nothing queued.
    double maxDebt = 60000; ///< Largest negative credit of a tenant of weight 1 that received more than its share.
    double shortWeight = 4; ///< Weight of short work relative to long work of the same tenant and run.

    friend bool operator==(const FairQueueSettings&, const FairQueueSettings&) = default;
};

/// The cost of one tenant's work in the last interval, at this instance and summed over all instances.
struct TenantDemand {
    TenantName tenant;
    double localServed = 0; ///< Cost of the tickets popped at this instance.
    double totalServed = 0;
    double localQueued = 0; ///< Cost queued at this instance.
    double totalQueued = 0;
    double localLongServed = 0; ///< The part of `localServed` that is long work.
    double localLongQueued = 0; ///< The part of `localQueued` that is long work.

    friend bool operator==(const TenantDemand&, const TenantDemand&) = default;
};

/// Schedules the tenants of one service by weighted deficit round robin. Within a tenant, runs and work classes are
/// scheduled by weight. The unused share of a tenant is available to the others at once. Not thread-safe.
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

    /// Requeues a popped ticket that could not be sent, at the front of its flow, and restores its tenant's credit.
    void pushFront(Ticket ticket);

    /// Removes and returns the next ticket of an allowed class.
    [[nodiscard]] std::optional<Ticket> pop(AllowedClasses allowed = {});

    /// Removes and returns a ticket, if it is queued.
    [[nodiscard]] std::optional<Ticket> remove(const TenantName& tenant, TicketId id);

    /// Removes and returns the tickets whose deadline has passed.
    [[nodiscard]] std::vector<Ticket> removeExpired(TimePoint now);

    /// Charges a tenant for the difference between the actual and the estimated cost of a ticket popped earlier.
    void charge(const TenantName& tenant, double cost);

    /// Applies the demands at all instances. Each tenant's weight at this instance becomes the fraction of its weight
    /// that corresponds to the fraction of its work queued or served here. Tenants that received more than their share
    /// over all instances lose credit, and those that received less gain credit.
    void correctCredits(const std::vector<TenantDemand>& demands, std::size_t instances);

    /// Returns the cost served since the last call and the cost queued, for each tenant with either, for the exchange
    /// between instances.
    [[nodiscard]] std::vector<TenantDemand> takeDemands();

    [[nodiscard]] std::size_t size() const noexcept { return m_size; }
    [[nodiscard]] std::size_t size(WorkClass workClass) const noexcept;
    [[nodiscard]] double queuedCost(const TenantName& tenant) const;
    [[nodiscard]] double queuedCost() const noexcept;
    [[nodiscard]] double weight(const TenantName& tenant) const;
    /// Sum of the weights of the tenants with queued tickets.
    [[nodiscard]] double activeWeight() const noexcept;

private:
    struct Flow {
        double weight = 1;
        double normalisedServed = 0; ///< Served cost divided by the weight; the flow with the lowest value is next.
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
        /// This instance's fraction of the tenant's work; 0 if not part of the last exchange.
        double localFraction = 0;
        double deficit = 0; ///< Credit; negative while the tenant is in debt.
        double queuedCost = 0;
        double servedCost = 0; ///< Cost served since the last exchange.
        double longQueuedCost = 0;
        double longServedCost = 0;
        std::size_t queuedCount = 0;
        std::array<std::size_t, 2> queuedCountByClass {};
        std::map<FlowKey, Flow> flows;
        std::map<RunName, double> runWeights;
        bool isActive = false;
    };

    using ActiveTenants = std::list<Tenant*>;

    [[nodiscard]] Tenant& tenantOf(const TenantName& name);
    [[nodiscard]] Flow& flowOf(Tenant& tenant, const Ticket& ticket);
    [[nodiscard]] static bool hasAllowedTicket(const Tenant& tenant, AllowedClasses allowed) noexcept;
    [[nodiscard]] static Flow* nextFlow(Tenant& tenant, AllowedClasses allowed);
    [[nodiscard]] Ticket dequeue(Tenant& tenant, Flow& flow);
    void activate(Tenant& tenant);
    void updateCounters(Tenant& tenant, const Ticket& ticket, bool isAdded) noexcept;
    void grantCredit(AllowedClasses allowed);
    [[nodiscard]] double quantumOf(const Tenant& tenant) const noexcept;
    void clampDeficit(Tenant& tenant) const noexcept;

    FairQueueSettings m_settings;
    std::unordered_map<TenantName, Tenant> m_tenants;
    ActiveTenants m_activeTenants;
    std::size_t m_size = 0;
    double m_defaultLocalFraction = 1; ///< Used for tenants whose `localFraction` is 0.
};

}
