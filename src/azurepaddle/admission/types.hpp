#pragma once

#include "azurepaddle/admission/fwd.hpp"
#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/error.hpp"
#include "azurepaddle/core/ident.hpp"
#include "azurepaddle/core/work.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace azurepaddle::admission {

/// The properties of a request that decide on its admission and its place in the queue.
struct RequestProfile {
    TenantName tenant;
    RunName run; ///< Empty for application requests.
    ServiceName service;
    double promptTokens = 0;
    std::optional<double> maxTokens; ///< Limit stated by the caller.
    std::optional<WorkClass> workClass; ///< Stated by the caller; estimated if not set.
    std::uint64_t bytes = 0;
    std::optional<TimePoint> deadline;

    friend bool operator==(const RequestProfile&, const RequestProfile&) = default;
};

/// The expected size of a request.
struct SizeEstimate {
    double promptTokens = 0;
    double outputTokens = 0;
    double cost = 0; ///< In generated tokens.
    WorkClass workClass = WorkClass::Short;

    friend bool operator==(const SizeEstimate&, const SizeEstimate&) = default;
};

/// An admitted request.
struct Ticket {
    TicketId id = 0;
    TenantName tenant;
    RunName run;
    ServiceName service;
    SizeEstimate size;
    std::uint64_t bytes = 0;
    TimePoint enqueued {};
    std::optional<TimePoint> deadline;

    friend bool operator==(const Ticket&, const Ticket&) = default;
};

enum class RefusalReason : unsigned char {
    QueueFull, ///< The tenant has too many requests queued.
    QueueBytes, ///< The total size of the tenant's queued requests is too large.
    DeadlineUnreachable, ///< At the measured capacity the request cannot finish before its deadline.
    DeadlinePassed, ///< The deadline passed while the request was queued.
};

/// The reason why a request was not run, and the time after which the caller should retry.
struct Refusal {
    RefusalReason reason = RefusalReason::QueueFull;
    Duration retryAfter {};

    friend bool operator==(const Refusal&, const Refusal&) = default;
};

/// The weight of a tenant and the limits of its queue.
struct TenantPolicy {
    double weight = 1;
    std::size_t maxQueued = 1000;
    std::uint64_t maxQueuedBytes = 64ULL * 1024 * 1024;

    friend bool operator==(const TenantPolicy&, const TenantPolicy&) = default;
};

/// The work classes that may currently be sent.
struct AllowedClasses {
    bool shortWork = true;
    bool longWork = true;

    friend bool operator==(const AllowedClasses&, const AllowedClasses&) = default;
};

}
