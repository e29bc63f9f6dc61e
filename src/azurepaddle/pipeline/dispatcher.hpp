#pragma once

#include "azurepaddle/admission/concurrency_limiter.hpp"
#include "azurepaddle/admission/controller.hpp"
#include "azurepaddle/core/random.hpp"
#include "azurepaddle/membership/endpoint_directory.hpp"
#include "azurepaddle/pipeline/error.hpp"
#include "azurepaddle/routing/router.hpp"

#include <array>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>

namespace azurepaddle::pipeline {

// The variants of these templates that run on the system clock.
using LiveRouter = routing::Router<SystemClock, Random>;
using LiveAdmission = admission::AdmissionController<SystemClock>;
using LiveDirectory = membership::EndpointDirectory<SystemClock>;

/// Permission to send one attempt to an endpoint.
struct Grant {
    EndpointId endpoint;
    std::string address;
    std::uint64_t incarnation = 0; ///< Incarnation of the endpoint.
    routing::AttemptId attempt = 0;
};

/// Queues admitted requests and assigns each an endpoint once it is next in the queue and an endpoint has a free slot.
/// Thread-safe; each service has its own lock.
class Dispatcher {
public:
    Dispatcher(const SystemClock& clock, LiveAdmission& admission, LiveRouter& router, admission::ConcurrencyLimiter& limiter,
        LiveDirectory& directory);

    /// A request that is queued or has a grant.
    struct Entry {
        admission::Ticket ticket;
        routing::RequestProfile profile;
    };

    /// Adds the request to the queue, or rejects it immediately with the delay after which to retry.
    [[nodiscard]] PipelineResult<std::shared_ptr<Entry>> admit(const admission::RequestProfile& profile, routing::RequestProfile routing);

    /// Blocks until the request has a grant. A request without a grant at the deadline is rejected.
    [[nodiscard]] PipelineResult<Grant> wait(const std::shared_ptr<Entry>& entry, TimePoint deadline);

    /// Returns a granted request to the queue for another attempt, ahead of the tenant's other requests.
    void requeue(const std::shared_ptr<Entry>& entry);

    /// Removes an admitted request from the queue. To be called only if wait() has not been called for it.
    void cancel(const std::shared_ptr<Entry>& entry);

    /// Ends an attempt and immediately assigns its slot to the next request.
    void endAttempt(const ServiceName& service, const Grant& grant, bool hasFinished);

    /// Rejects requests whose deadline has passed and assigns free slots to the others. It scans the whole queue, so it
    /// is to be called several times a second and after endpoint changes, not for each request.
    void dispatch(const ServiceName& service);

    /// Number of requests that wait for an endpoint of the service.
    [[nodiscard]] std::size_t waitingCount(const ServiceName& service);

private:
    struct Waiter {
        std::shared_ptr<Entry> entry;
        std::condition_variable changed;
        bool isSettled = false;
        PipelineResult<Grant> result = refuse(PipelineErrorCode::Overloaded, "not granted");
    };

    struct ServiceState {
        std::mutex mutex;
        std::map<admission::TicketId, std::shared_ptr<Waiter>> waiters;
    };

    [[nodiscard]] ServiceState& stateOf(const ServiceName& service);
    void dispatchLocked(const ServiceName& service, ServiceState& state);
    [[nodiscard]] bool tryGrantLocked(Waiter& waiter);

    const SystemClock& m_clock;
    LiveAdmission& m_admission;
    LiveRouter& m_router;
    admission::ConcurrencyLimiter& m_limiter;
    LiveDirectory& m_directory;
    std::mutex m_mutex; ///< Guards the map; entries are never removed.
    std::map<ServiceName, std::unique_ptr<ServiceState>> m_services;
};

}
