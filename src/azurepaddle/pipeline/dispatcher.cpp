#include "azurepaddle/pipeline/dispatcher.hpp"

namespace azurepaddle::pipeline {

namespace {

    constexpr Duration retryAfterRefusal = std::chrono::seconds(1);

    PipelineErrorCode codeOf(admission::RefusalReason reason) noexcept
    {
        switch (reason) {
        case admission::RefusalReason::QueueFull:
        case admission::RefusalReason::QueueBytes:
            return PipelineErrorCode::Overloaded;
        case admission::RefusalReason::DeadlineUnreachable:
        case admission::RefusalReason::DeadlinePassed:
            return PipelineErrorCode::DeadlineExceeded;
        }
        return PipelineErrorCode::Overloaded;
    }

    std::string_view describe(admission::RefusalReason reason) noexcept
    {
        switch (reason) {
        case admission::RefusalReason::QueueFull:
            return "the tenant has too many requests queued";
        case admission::RefusalReason::QueueBytes:
            return "the tenant's queued requests are too large in sum";
        case admission::RefusalReason::DeadlineUnreachable:
            return "the request cannot finish before its deadline at the present load";
        case admission::RefusalReason::DeadlinePassed:
            return "the deadline passed while the request was queued";
        }
        return "refused";
    }

    tl::unexpected<PipelineError> toPipelineError(const admission::Refusal& reason)
    {
        return refuse(codeOf(reason.reason), std::string(describe(reason.reason)), reason.retryAfter);
    }

}

Dispatcher::Dispatcher(const SystemClock& clock, LiveAdmission& admission, LiveRouter& router,
    admission::ConcurrencyLimiter& limiter, LiveDirectory& directory)
    : m_clock(clock)
    , m_admission(admission)
    , m_router(router)
    , m_limiter(limiter)
    , m_directory(directory)
{
}

Dispatcher::ServiceState& Dispatcher::stateOf(const ServiceName& service)
{
    const std::lock_guard lock(m_mutex);
    auto& state = m_services[service];
    if (!state)
        state = std::make_unique<ServiceState>();
    return *state;
}

PipelineResult<std::shared_ptr<Dispatcher::Entry>> Dispatcher::admit(
    const admission::RequestProfile& profile, routing::RequestProfile routing)
{
    ServiceState& state = stateOf(profile.service);
    const std::lock_guard lock(state.mutex);
    auto ticket = m_admission.admit(profile);
    if (!ticket)
        return toPipelineError(ticket.error());
    routing.workClass = ticket->size.workClass;
    routing.promptTokens = ticket->size.promptTokens;
    routing.outputTokens = ticket->size.outputTokens;
    auto entry = std::make_shared<Entry>(Entry { std::move(*ticket), std::move(routing) });
    auto waiter = std::make_shared<Waiter>();
    waiter->entry = entry;
    state.waiters.emplace(entry->ticket.id, std::move(waiter));
    return entry;
}

PipelineResult<Grant> Dispatcher::wait(const std::shared_ptr<Entry>& entry, TimePoint deadline)
{
    const ServiceName& service = entry->ticket.service;
    ServiceState& state = stateOf(service);
    std::unique_lock lock(state.mutex);
    const auto waiter = state.waiters.at(entry->ticket.id);
    dispatchLocked(service, state);
    while (!waiter->isSettled) {
        const TimePoint now = m_clock.now();
        if (now >= deadline)
            break;
        waiter->changed.wait_for(lock, deadline - now);
    }
    state.waiters.erase(entry->ticket.id);
    if (waiter->isSettled)
        return waiter->result;
    // A ticket without a result is still in the admission queue, because both change under this lock.
    static_cast<void>(m_admission.cancel(entry->ticket));
    return refuse(PipelineErrorCode::DeadlineExceeded, "the deadline passed while the request was queued", retryAfterRefusal);
}

void Dispatcher::requeue(const std::shared_ptr<Entry>& entry)
{
    ServiceState& state = stateOf(entry->ticket.service);
    const std::lock_guard lock(state.mutex);
    auto waiter = std::make_shared<Waiter>();
    waiter->entry = entry;
    state.waiters[entry->ticket.id] = std::move(waiter);
    m_admission.requeue(entry->ticket);
}

void Dispatcher::cancel(const std::shared_ptr<Entry>& entry)
{
    ServiceState& state = stateOf(entry->ticket.service);
    const std::lock_guard lock(state.mutex);
    const auto found = state.waiters.find(entry->ticket.id);
    if (found == state.waiters.end())
        return;
    if (!found->second->isSettled)
        static_cast<void>(m_admission.cancel(entry->ticket));
    else if (found->second->result) {
        m_router.onFailed(found->second->result->attempt);
        m_limiter.onEnded(found->second->result->endpoint);
    }
    state.waiters.erase(found);
}

void Dispatcher::endAttempt(const ServiceName& service, const Grant& grant, bool hasFinished)
{
    if (hasFinished)
        m_router.onFinished(grant.attempt);
    else
        m_router.onFailed(grant.attempt);
    m_limiter.onEnded(grant.endpoint);
    ServiceState& state = stateOf(service);
    const std::lock_guard lock(state.mutex);
    dispatchLocked(service, state);
}

void Dispatcher::dispatch(const ServiceName& service)
{
    ServiceState& state = stateOf(service);
    const std::lock_guard lock(state.mutex);
    for (const auto& [ticket, refusal] : m_admission.expire(service)) {
        const auto found = state.waiters.find(ticket.id);
        if (found == state.waiters.end())
            continue;
        found->second->result = toPipelineError(refusal);
        found->second->isSettled = true;
        found->second->changed.notify_all();
    }
    dispatchLocked(service, state);
}

std::size_t Dispatcher::waitingCount(const ServiceName& service)
{
    ServiceState& state = stateOf(service);
    const std::lock_guard lock(state.mutex);
    return state.waiters.size();
}

void Dispatcher::dispatchLocked(const ServiceName& service, ServiceState& state)
{
    admission::AllowedClasses allowed;
    while (allowed.shortWork || allowed.longWork) {
        const auto ticket = m_admission.next(service, allowed);
        if (!ticket)
            return;
        const auto found = state.waiters.find(ticket->id);
        if (found == state.waiters.end()) {
            m_admission.onFailed(*ticket, 0);
            continue;
        }
        if (ticket->deadline && *ticket->deadline <= m_clock.now()) {
            // The waiting thread has not yet detected its time-out. Nothing may be sent after the deadline.
            m_admission.onFailed(*ticket, 0);
            found->second->result = refuse(PipelineErrorCode::DeadlineExceeded, std::string(describe(admission::RefusalReason::DeadlinePassed)), retryAfterRefusal);
            found->second->isSettled = true;
            found->second->changed.notify_all();
            continue;
        }
        if (tryGrantLocked(*found->second))
            continue;
        m_admission.requeue(*ticket);
        (ticket->size.workClass == WorkClass::Short ? allowed.shortWork : allowed.longWork) = false;
    }
}

bool Dispatcher::tryGrantLocked(Waiter& waiter)
{
    const routing::RequestProfile& profile = waiter.entry->profile;
    const auto hasCapacityAt = [&](const EndpointId& endpoint) { return m_limiter.hasCapacity(endpoint); };
    auto choice = m_router.choose(profile, hasCapacityAt);
    if (!choice && !profile.avoidedEndpoints.empty()) {
        // An endpoint that failed an earlier attempt is preferred to rejecting the request.
        auto unrestrictedProfile = profile;
        unrestrictedProfile.avoidedEndpoints.clear();
        choice = m_router.choose(unrestrictedProfile, hasCapacityAt);
    }
    if (!choice && choice.error().code() == routing::RoutingErrorCode::NoCapacity)
        return false;
    const auto record = choice ? m_directory.find(*choice) : nullptr;
    if (!record) {
        waiter.result = refuse(PipelineErrorCode::NoEndpoint, fmt::format("no endpoint of {} can take the request", profile.service), retryAfterRefusal);
    } else {
        m_limiter.onSent(*choice);
        waiter.result = Grant { *choice, record->announcement.address, record->announcement.incarnation, m_router.onSent(profile, *choice) };
    }
    waiter.isSettled = true;
    waiter.changed.notify_all();
    return true;
}

}
