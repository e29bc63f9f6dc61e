#pragma once

#include "azurepaddle/core/run_after.hpp"
#include "azurepaddle/execution/weight_loader.hpp"

namespace azurepaddle::execution {

namespace internal {

    constexpr Duration planInterval = std::chrono::milliseconds(50);
    constexpr Duration orderTimeout = std::chrono::milliseconds(400);
    constexpr std::uint64_t maxStatusBytes = 256U * 1024U;
    // An unanswered order may still reach its endpoint for this long.
    constexpr Duration maxUnansweredOrderTime = std::chrono::milliseconds(500);
    constexpr Duration orderRetryDelay = std::chrono::milliseconds(20);
    // Usual duration of a load. If it takes longer, the version in the next response corrects the recorded one.
    constexpr Duration expectedLoadTime = std::chrono::milliseconds(930);
    // The status returned by an endpoint may be outdated by up to this long.
    constexpr Duration maxStatusAge = std::chrono::milliseconds(600);
    constexpr Duration statusPollInterval = std::chrono::milliseconds(250);
    constexpr Duration loadTimeout = std::chrono::seconds(8);
    constexpr Duration failedLoadRetryDelay = std::chrono::milliseconds(800);
    // A load pauses items that fit nowhere else if the version was published this long ago, or at once if the endpoint
    // is more than one version behind.
    constexpr Duration itemPauseDelay = std::chrono::milliseconds(2500);

}

template <typename Protocol>
WeightLoader<Protocol>::WeightLoader(asio::io_context& io, http1::ClientPool& pool, registry::ServiceGroup& group, const registry::StateMachine& machine, registry::Liveness& liveness, JobRunner<Protocol>& runner, metrics::Registry& metrics, OrderWindow& window)
    : m_io(io)
    , m_pool(pool)
    , m_group(group)
    , m_machine(machine)
    , m_liveness(liveness)
    , m_runner(runner)
    , m_metrics(metrics)
    , m_window(window)
{
    m_window.addSender({ [this] { return isSendingOrder(); }, [this] {
                            m_nextPlan = {};
                            tick(); } });
}

template <typename Protocol>
void WeightLoader<Protocol>::onLeadership(bool isLeading)
{
    m_isLeading = isLeading;
    for (const auto& [id, activeLoad] : m_activeLoads) {
        activeLoad->number = 0;
        if (activeLoad->call)
            activeLoad->call->cancel();
    }
    m_activeLoads.clear();
    m_accepted.clear();
    m_retryAt.clear();
    m_publishedAt.clear();
}

template <typename Protocol>
void WeightLoader<Protocol>::tick()
{
    const TimePoint now = m_clock.now();
    if (!m_isLeading || !m_group.hasCurrentState() || now < m_nextPlan)
        return;
    m_nextPlan = now + internal::planInterval;
    for (const auto& [name, version] : m_machine.publishedVersions()) {
        auto& [known, since] = m_publishedAt[batch::ModelName(name)];
        if (known != version) {
            known = version;
            since = now;
        }
    }
    if (!m_publishedAt.empty() && m_window.acquire())
        planLoads(now);
}

template <typename Protocol>
bool WeightLoader<Protocol>::isSendingOrder() const
{
    return std::any_of(m_activeLoads.begin(), m_activeLoads.end(), [](const auto& entry) { return entry.second->isOrderUnanswered; });
}

template <typename Protocol>
std::vector<batch::LoadTarget> WeightLoader<Protocol>::targets(TimePoint now) const
{
    std::vector<batch::LoadTarget> targets;
    for (const auto& [id, record] : m_machine.directory().records()) {
        const auto service = m_routes->services().find(record.service);
        if (service == m_routes->services().end() || service->second.models.empty() || !m_liveness.isAcceptingWork(record))
            continue;
        batch::LoadTarget target;
        target.id = id;
        for (const batch::ModelName& model : service->second.models)
            target.models[model] = { m_liveness.versionOf(record, model), m_runner.running(id, model) };
        if (const auto activeLoad = m_activeLoads.find(id); activeLoad != m_activeLoads.end())
            target.loading = activeLoad->second->load.model;
        const auto wait = m_retryAt.find(id);
        target.isUsable = wait == m_retryAt.end() || now >= wait->second;
        targets.push_back(std::move(target));
    }
    return targets;
}

template <typename Protocol>
void WeightLoader<Protocol>::planLoads(TimePoint now)
{
    std::map<batch::ModelName, batch::DesiredVersion> wanted;
    for (const auto& [model, published] : m_publishedAt)
        wanted[model] = { published.first, m_runner.areItemsWaiting(model) };
    const auto all = targets(now);
    const std::vector<batch::Load> loads = batch::planLoads(all, wanted);
    if (loads.empty())
        return;
    if (!m_window.isOpen())
        return m_window.open();
    // All endpoints are marked before any item is moved, so that no item moves to an endpoint that is about to load.
    for (const batch::Load& load : loads)
        m_runner.setLoading(load.endpoint, load.model, true);
    for (const batch::Load& load : loads) {
        const auto target = std::find_if(all.begin(), all.end(), [&](const batch::LoadTarget& candidate) { return candidate.id == load.endpoint; });
        const bool mayPause = target->models.at(load.model).version + 1 < load.version || now - m_publishedAt[load.model].second > internal::itemPauseDelay;
        if (m_runner.evacuate(load.endpoint, load.model) || mayPause)
            startLoad(load);
        else
            m_runner.setLoading(load.endpoint, load.model, false);
    }
}

template <typename Protocol>
void WeightLoader<Protocol>::startLoad(const batch::Load& load)
{
    const auto activeLoad = std::make_shared<ActiveLoad>();
    activeLoad->load = load;
    activeLoad->number = m_nextNumber++;
    activeLoad->startedAt = m_clock.now();
    m_activeLoads[load.endpoint] = activeLoad;
    m_metrics.counter("loads_started_total").add();
    if (const auto known = findAcceptedOrders(load.endpoint))
        sendOrder(activeLoad, *known);
    else
        requestStatus(activeLoad);
}

template <typename Protocol>
std::optional<std::uint64_t> WeightLoader<Protocol>::findAcceptedOrders(const EndpointId& id) const
{
    const auto known = m_accepted.find(id);
    const registry::EndpointRecord* record = m_machine.directory().find(id);
    if (known == m_accepted.end() || !record || record->startedMs != known->second.startedMs)
        return std::nullopt;
    return known->second.count;
}

template <typename Protocol>
void WeightLoader<Protocol>::recordAcceptedOrders(const EndpointId& id, std::uint64_t count)
{
    if (const registry::EndpointRecord* record = m_machine.directory().find(id))
        m_accepted[id] = { record->startedMs, count };
}

template <typename Protocol>
template <typename OnEnd>
void WeightLoader<Protocol>::send(const ActiveLoadPointer& activeLoad, const http1::Request& request, OnEnd onEnd)
{
    const registry::EndpointRecord* record = m_machine.directory().find(activeLoad->load.endpoint);
    if (!record || record->state == registry::EndpointState::Gone)
        return endLoad(activeLoad, "endpoint not registered or gone");
    activeLoad->body.clear();
    activeLoad->status = 0;
    http1::CallEvents events;
    events.onHead = [this, activeLoad, started = record->startedMs](const http1::Response& head) {
        activeLoad->status = head.status;
        if (Protocol::isLeaving(head))
            m_liveness.recordDraining({ activeLoad->load.endpoint, started });
        return true;
    };
    events.onBody = [activeLoad](const std::string& bytes) { activeLoad->body += bytes; };
    events.onEnd = [this, activeLoad, onEnd, number = activeLoad->number](const http1::CallEnd& ended) {
        if (activeLoad->number == number && m_isLeading)
            onEnd(ended);
    };
    http1::CallOptions options;
    options.deadline = m_clock.now() + internal::orderTimeout;
    options.maxConnections = record->slots + internal::spareConnections;
    options.maxBodyBytes = internal::maxStatusBytes;
    activeLoad->call = m_pool.send(record->address(), request, options, std::move(events));
}

/// Requests the number of accepted orders and the loaded versions from the endpoint.
template <typename Protocol>
void WeightLoader<Protocol>::requestStatus(const ActiveLoadPointer& activeLoad)
{
    if (m_clock.now() - activeLoad->startedAt > internal::loadTimeout)
        return endLoad(activeLoad, "took too long");
    send(activeLoad, Protocol::statusRequest(activeLoad->load.endpoint), [this, activeLoad](const http1::CallEnd& ended) {
        constexpr unsigned ok = 200;
        const auto status = ended.kind == http1::CallEndKind::Complete && activeLoad->status == ok ? Protocol::parseStatus(activeLoad->body) : std::nullopt;
        if (!status)
            return endLoad(activeLoad, ended.message.empty() ? "status response invalid" : ended.message);
        onStatus(activeLoad, *status);
    });
}

template <typename Protocol>
void WeightLoader<Protocol>::onStatus(const ActiveLoadPointer& activeLoad, const EndpointStatus& status)
{
    recordAcceptedOrders(activeLoad->load.endpoint, status.acceptedOrders);
    const auto found = status.versions.find(activeLoad->load.model.value());
    const WeightVersion held = found == status.versions.end() ? 0 : found->second;
    if (held >= activeLoad->load.version && !status.isBusy) {
        recordLoaded(activeLoad->load, held);
        return endLoad(activeLoad, "loaded");
    }
    if (status.isBusy)
        return requestStatusLater(activeLoad, internal::statusPollInterval);
    // The status may be outdated and not yet include an order that was just accepted.
    const bool mayBeStale = activeLoad->orderedAt != TimePoint {} && m_clock.now() - activeLoad->orderedAt < internal::maxStatusAge;
    if (mayBeStale)
        return requestStatusLater(activeLoad, internal::statusPollInterval);
    sendOrder(activeLoad, status.acceptedOrders);
}

template <typename Protocol>
void WeightLoader<Protocol>::sendOrder(const ActiveLoadPointer& activeLoad, std::uint64_t acceptedOrders)
{
    // Checked directly before sending, because the lease may have expired during the status request.
    if (!m_window.acquire())
        return endLoad(activeLoad, "order right lost");
    if (!m_window.isOpen()) {
        m_window.open();
        return sendOrderLater(activeLoad, acceptedOrders);
    }
    ++activeLoad->attempts;
    activeLoad->isOrderUnanswered = true;
    const LoadOrder order { activeLoad->load.endpoint, activeLoad->load.model, activeLoad->load.version, m_window.instance(), m_window.fence(), acceptedOrders };
    m_log.info("sending load order endpoint={} model={} version={} fence={} expected-orders={} attempt={}", order.endpoint, order.model, order.version, order.fence, acceptedOrders, activeLoad->attempts);
    m_metrics.counter("orders_sent_total").add();
    send(activeLoad, Protocol::loadRequest(order), [this, activeLoad](const http1::CallEnd& ended) { onOrderAnswered(activeLoad, ended); });
}

template <typename Protocol>
void WeightLoader<Protocol>::onOrderAnswered(const ActiveLoadPointer& activeLoad, const http1::CallEnd& ended)
{
    constexpr unsigned accepted = 202;
    constexpr unsigned alreadyHeld = 200;
    constexpr unsigned conflict = 409;
    m_log.info("load order endpoint={} model={} version={} answered status={} cause=\"{}\"", activeLoad->load.endpoint, activeLoad->load.model, activeLoad->load.version, activeLoad->status, ended.message);
    activeLoad->isOrderUnanswered = false;
    m_window.recordEnd(ended.kind == http1::CallEndKind::Complete, internal::maxUnansweredOrderTime);
    const auto known = findAcceptedOrders(activeLoad->load.endpoint);
    m_accepted.erase(activeLoad->load.endpoint);
    if (ended.kind != http1::CallEndKind::Complete)
        return requestStatusLater(activeLoad, internal::statusPollInterval);
    if (activeLoad->status == accepted) {
        activeLoad->orderedAt = m_clock.now();
        if (known)
            recordAcceptedOrders(activeLoad->load.endpoint, *known + 1);
        return finishAfterLoadTime(activeLoad);
    }
    if (activeLoad->status == alreadyHeld) {
        recordLoaded(activeLoad->load, activeLoad->load.version);
        return endLoad(activeLoad, "held already");
    }
    if (activeLoad->status == conflict)
        return requestStatusLater(activeLoad, internal::statusPollInterval);
    endLoad(activeLoad, "refused");
}

/// Records the version that an endpoint holds after a load, for this leader and in the replicated log for the next one.
template <typename Protocol>
void WeightLoader<Protocol>::recordLoaded(const batch::Load& load, WeightVersion version)
{
    m_liveness.recordVersion(load.endpoint, load.model, version);
    if (const registry::EndpointRecord* record = m_machine.directory().find(load.endpoint))
        m_group.propose(registry::encodeCommand(registry::RecordLoadedVersion { { record->id, record->startedMs }, load.model, version }), [](const cluster::ProposalResult&) {});
}

/// Runs the action after the delay, unless the load or the leadership has ended by then.
template <typename Protocol>
template <typename Action>
void WeightLoader<Protocol>::runLater(Duration delay, const ActiveLoadPointer& activeLoad, Action action)
{
    runAfter(m_io, delay, [this, activeLoad, action, number = activeLoad->number] {
        if (activeLoad->number == number && m_isLeading)
            action();
    });
}

/// Treats an accepted order as executed after the usual load time. If it was not, the runner detects this from the
/// version in the next response, and a new load is planned for the endpoint.
template <typename Protocol>
void WeightLoader<Protocol>::finishAfterLoadTime(const ActiveLoadPointer& activeLoad)
{
    runLater(internal::expectedLoadTime, activeLoad, [this, activeLoad] {
        recordLoaded(activeLoad->load, activeLoad->load.version);
        endLoad(activeLoad, "loaded");
    });
}

/// Retries the order after a short delay, until the order window is open or the load times out.
template <typename Protocol>
void WeightLoader<Protocol>::sendOrderLater(const ActiveLoadPointer& activeLoad, std::uint64_t acceptedOrders)
{
    if (m_clock.now() - activeLoad->startedAt > internal::loadTimeout)
        return endLoad(activeLoad, "took too long");
    runLater(internal::orderRetryDelay, activeLoad, [this, activeLoad, acceptedOrders] { sendOrder(activeLoad, acceptedOrders); });
}

template <typename Protocol>
void WeightLoader<Protocol>::requestStatusLater(const ActiveLoadPointer& activeLoad, Duration delay)
{
    runLater(delay, activeLoad, [this, activeLoad] { requestStatus(activeLoad); });
}

template <typename Protocol>
void WeightLoader<Protocol>::endLoad(const ActiveLoadPointer& activeLoad, std::string_view outcome)
{
    const TimePoint now = m_clock.now();
    m_log.info("load endpoint={} model={} version={} outcome=\"{}\" took-ms={}", activeLoad->load.endpoint, activeLoad->load.model, activeLoad->load.version, outcome, std::chrono::duration_cast<std::chrono::milliseconds>(now - activeLoad->startedAt).count());
    activeLoad->number = 0;
    activeLoad->call = nullptr;
    m_activeLoads.erase(activeLoad->load.endpoint);
    m_retryAt[activeLoad->load.endpoint] = now + (outcome == "loaded" || outcome == "held already" ? Duration::zero() : internal::failedLoadRetryDelay);
    m_runner.setLoading(activeLoad->load.endpoint, activeLoad->load.model, false);
}

}
