#pragma once

#include <cstdint>

namespace azurepaddle::admission {

class ConcurrencyLimiter;
class FairQueue;
class HedgePolicy;
class RetryBudget;
class SizeEstimator;
struct Refusal;
struct RequestProfile;
struct Ticket;
template <typename ClockType>
class AdmissionController;

/// Identifies an admitted request within a controller.
using TicketId = std::uint64_t;

}
