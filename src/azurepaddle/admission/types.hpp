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

/// What admission needs to know of a request.
struct RequestProfile {
    TenantName tenant;
    RunName run; ///< Empty for application requests.
    ServiceName service;
    double promptTokens = 0;
    std::optional<double> maxTokens; ///< Limit stated by the caller.
    std::optional<WorkClass> workClass; ///< As stated by the caller; estimated otherwise.
    std::uint64_t bytes = 0;
    std::optional<TimePoint> deadline;

    friend bool operator==(const RequestProfile&, const RequestProfile&) = default;
};

/// The size that a request is expected to have.
struct SizeEstimate {
    double promptTokens = 0;
    double outputTokens = 0;
    double cost = 0; ///< In tokens to generate.
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
    QueueBytes, ///< The tenant's queued requests are too large in sum.
    DeadlineUnreachable, ///< The request cannot finish before its deadline at the measured capacity.
    DeadlinePassed, ///< The deadline passed while the request was queued.
};

/// A request that was not run. The caller is told at once when to retry.
struct Refusal {
    RefusalReason reason = RefusalReason::QueueFull;
    Duration retryAfter {};

    friend bool operator==(const Refusal&, const Refusal&) = default;
};

/// Weight and limits of a tenant.
struct TenantPolicy {
    double weight = 1;
    std::size_t maxQueued = 1000;
    std::uint64_t maxQueuedBytes = 64ULL * 1024 * 1024;

    friend bool operator==(const TenantPolicy&, const TenantPolicy&) = default;
};

/// Work classes that may be sent now.
struct AllowedClasses {
    bool shortWork = true;
    bool longWork = true;

    friend bool operator==(const AllowedClasses&, const AllowedClasses&) = default;
};

}
