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

using LiveRouter = routing::Router<SystemClock, Random>;
using LiveAdmission = admission::AdmissionController<SystemClock>;
using LiveDirectory = membership::EndpointDirectory<SystemClock>;

/// The right to send one attempt to an endpoint.
struct Grant {
    EndpointId endpoint;
    std::string address;
    std::uint64_t incarnation = 0; ///< Of the endpoint.
    routing::AttemptId attempt = 0;
};

/// Queues admitted requests and gives each an endpoint when its turn has come and the endpoint has room. Thread-safe:
/// each service has its own lock.
class Dispatcher {
public:
    Dispatcher(const SystemClock& clock, LiveAdmission& admission, LiveRouter& router, admission::ConcurrencyLimiter& limiter,
        LiveDirectory& directory);

    /// A request that waits or has been granted.
    struct Entry {
        admission::Ticket ticket;
        routing::RequestProfile profile;
    };

    /// Admits the request, or refuses it at once with the time after which to retry.
    [[nodiscard]] PipelineResult<std::shared_ptr<Entry>> admit(const admission::RequestProfile& profile, routing::RequestProfile routing);

    /// Waits until the request may be sent. Without a grant by the deadline the request is refused.
    [[nodiscard]] PipelineResult<Grant> wait(const std::shared_ptr<Entry>& entry, TimePoint deadline);

    /// Puts a granted request back, ahead of its tenant's others, for another attempt.
    void requeue(const std::shared_ptr<Entry>& entry);

    /// Takes an admitted request that does not wait yet out of the queue.
    void abandon(const std::shared_ptr<Entry>& entry);

    /// Ends an attempt. The slot goes to the next request at once.
    void endAttempt(const ServiceName& service, const Grant& grant, bool finished);

    /// Refuses requests whose deadline passed and gives free slots to the others. It looks at the whole queue: to be
    /// called several times a second and when endpoints changed, not for each request.
    void dispatch(const ServiceName& service);

    /// Requests that wait for an endpoint of the service.
    [[nodiscard]] std::size_t waiting(const ServiceName& service);

private:
    struct Waiter {
        std::shared_ptr<Entry> entry;
        std::condition_variable changed;
        bool settled = false;
        PipelineResult<Grant> result = refuse(PipelineErrorCode::Overloaded, "not granted");
    };

    struct ServiceState {
        std::mutex mutex;
        std::map<admission::TicketId, std::shared_ptr<Waiter>> waiters;
    };

    [[nodiscard]] ServiceState& stateOf(const ServiceName& service);
    void dispatchLocked(const ServiceName& service, ServiceState& state);
    [[nodiscard]] bool grantLocked(Waiter& waiter);

    const SystemClock& m_clock;
    LiveAdmission& m_admission;
    LiveRouter& m_router;
    admission::ConcurrencyLimiter& m_limiter;
    LiveDirectory& m_directory;
    std::mutex m_mutex; ///< Guards the map; entries are never removed.
    std::map<ServiceName, std::unique_ptr<ServiceState>> m_services;
};

}
