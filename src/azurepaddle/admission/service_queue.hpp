#pragma once

#include "azurepaddle/admission/capacity.hpp"
#include "azurepaddle/admission/fair_queue.hpp"
#include "azurepaddle/admission/size_estimator.hpp"

#include <mutex>
#include <optional>
#include <tl/expected.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

namespace azurepaddle::admission {

/// Settings of admission.
struct AdmissionSettings {
    FairQueueSettings queue;
    SizeSettings size;
    TenantPolicy defaultPolicy; ///< Applies to tenants without a policy of their own.
    Duration minRetryAfter = std::chrono::milliseconds(100);
    Duration maxRetryAfter = std::chrono::seconds(30);

    friend bool operator==(const AdmissionSettings&, const AdmissionSettings&) = default;
};

}

namespace azurepaddle::admission::internal {

/// The queue of one service, its limits per tenant and its measured capacity. Thread-safe.
class ServiceQueue {
public:
    explicit ServiceQueue(const AdmissionSettings& settings);

    void setPolicy(const TenantName& tenant, const TenantPolicy& policy);
    [[nodiscard]] tl::expected<Ticket, Refusal> admit(Ticket ticket);
    [[nodiscard]] std::optional<Ticket> next(AllowedClasses allowed);
    void requeue(const Ticket& ticket);
    [[nodiscard]] bool cancel(const Ticket& ticket);
    [[nodiscard]] std::vector<std::pair<Ticket, Refusal>> expire(TimePoint now);
    void onFinished(const Ticket& ticket, double cost, double outputTokens, Duration runTime, TimePoint now);
    void onFailed(const Ticket& ticket, double cost);
    [[nodiscard]] std::vector<InstanceDemand> takeDemands();
    void correctCredits(const std::vector<std::vector<InstanceDemand>>& demands, std::size_t self);
    [[nodiscard]] std::size_t queuedCount(WorkClass workClass) const;

private:
    /// The queued requests of one tenant.
    struct Usage {
        std::size_t queued = 0;
        std::uint64_t bytes = 0;
    };

    [[nodiscard]] const TenantPolicy& policyOf(const TenantName& tenant) const;
    [[nodiscard]] std::optional<RefusalReason> findRefusal(const Ticket& ticket) const;
    [[nodiscard]] double expectedWait(const TenantName& tenant) const;
    [[nodiscard]] double expectedCompletionSeconds(const Ticket& ticket) const;
    [[nodiscard]] Duration retryAfter(const Ticket& ticket, RefusalReason reason) const;
    void addUsage(const Ticket& ticket);
    void removeUsage(const Ticket& ticket);

    const AdmissionSettings& m_settings;
    mutable std::mutex m_mutex;
    FairQueue m_queue;
    CapacityMeter m_capacity;
    std::unordered_map<TenantName, TenantPolicy> m_policies;
    std::unordered_map<TenantName, Usage> m_usage;
};

}
