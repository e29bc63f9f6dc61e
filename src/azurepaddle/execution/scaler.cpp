#include "azurepaddle/execution/scaler.hpp"

#include "azurepaddle/http1/status.hpp"

#include <algorithm>
#include <utility>

namespace azurepaddle::execution {

namespace {

    constexpr Duration planInterval = std::chrono::milliseconds(500);
    // An order that could not be sent within this time is planned again, from newer inputs.
    constexpr Duration maxOrderAge = std::chrono::seconds(2);
    // Assumed number of slots while a service has no endpoint.
    constexpr std::uint32_t defaultSlots = 4;

    constexpr unsigned tooManyCalls = 429;
    constexpr unsigned firstServerError = 500;

    std::string_view nameOf(scaling::EndpointKind kind)
    {
        return kind == scaling::EndpointKind::Spot ? "spot" : "on-demand";
    }

    std::string_view nameOf(scaling::OrderOutcome outcome)
    {
        if (outcome == scaling::OrderOutcome::Accepted)
            return "accepted";
        return outcome == scaling::OrderOutcome::Refused ? "refused" : "unanswered";
    }

    /// Calls above the rate and errors of the platform say nothing about the availability, so the order is repeated. Any
    /// other status, such as 409, is a refusal.
    scaling::OrderOutcome outcomeOf(unsigned status)
    {
        if (status == 0 || status == tooManyCalls || status >= firstServerError)
            return scaling::OrderOutcome::Unanswered;
        return http1::isSuccess(status) ? scaling::OrderOutcome::Accepted : scaling::OrderOutcome::Refused;
    }

    scaling::EndpointGroup groupOf(const registry::EndpointRecord& record)
    {
        return { record.service, record.dataCentre, record.isSpot ? scaling::EndpointKind::Spot : scaling::EndpointKind::OnDemand };
    }

}

Scaler::Scaler(registry::ServiceGroup& group, const registry::StateMachine& machine, const registry::Liveness& liveness, DutyClient& client, ScalerSources sources, metrics::Registry& metrics)
    : m_group(group)
    , m_machine(machine)
    , m_liveness(liveness)
    , m_client(client)
    , m_sources(std::move(sources))
    , m_metrics(metrics)
{
}

void Scaler::onLeadership(bool isLeading)
{
    m_isLeading = isLeading;
    m_isStarted = false;
    m_reserved.clear();
    m_needs.clear();
    ++m_leadership;
    m_queue.clear();
    m_stage = Stage::Idle;
    m_nextPlan = {};
}

void Scaler::tick()
{
    if (!m_isLeading || !m_group.hasCurrentState())
        return;
    const TimePoint now = m_clock.now();
    if (m_stage == Stage::Recorded)
        return send();
    if (m_stage != Stage::Idle)
        return;
    if (now >= m_nextPlan)
        plan(now);
    if (!m_queue.empty() && m_client.prepareCall())
        recordNext(now);
}

void Scaler::plan(TimePoint now)
{
    m_nextPlan = now + planInterval;
    m_queue.clear();
    const auto& services = m_routes->services();
    if (std::none_of(services.begin(), services.end(), [](const auto& entry) { return entry.second.scaling.has_value(); }))
        return;
    if (!std::exchange(m_isStarted, true))
        m_history.start(m_machine.scaleOrders(), now);
    const std::vector<PendingItem> items = m_sources.pendingItems();
    for (const auto& [name, service] : services) {
        if (service.scaling)
            planService(service, items, now);
    }
}

void Scaler::planService(const gateway::Service& service, const std::vector<PendingItem>& items, TimePoint now)
{
    const Observations observations = observe(service, items);
    for (const auto& [group, observation] : observations)
        m_history.observe(group, observation, *service.scaling, now);
    recordWithdrawals(observations);
    scaling::ServiceState state;
    state.name = service.name;
    state.rules = *service.scaling;
    state.slotsPerEndpoint = slotsPerEndpoint(service.name);
    for (const PendingItem& item : items) {
        if (item.service == service.name)
            state.work.push_back({ item.remaining, item.untilDue });
    }
    m_history.describe(state, now);
    state.reserved = reservedFor(service.name, observations);
    Need& need = m_needs.try_emplace(service.name).first->second;
    state.sustainedNeed = need.sustained;
    const scaling::ScalingPlan plan = scaling::planScaling(state);
    need.sustained = need.meter.add(plan.neededNow, now);
    m_history.recordDemand(service.name, plan.needed, now);
    for (const scaling::PlannedOrder& planned : plan.orders) {
        const auto& [group, count] = planned.order;
        m_log.info("order service={} data-centre={} kind={} count={} reason={} items={} slots={} needed-now={} needed={} recently-needed={} expected={} surviving={} orders-left={} outcome=planned", group.service, group.dataCentre, nameOf(group.kind), count, scaling::nameOf(planned.reason), state.work.size(), state.slotsPerEndpoint, plan.neededNow, plan.needed, state.recentDemand, plan.expected, plan.surviving, state.ordersLeft);
        m_queue.push_back(planned);
    }
}

/// Returns the number of endpoints to keep for single requests, of which the leader does not know how many there are: those
/// that this leader found. It removes only what was added since.
std::uint32_t Scaler::reservedFor(const ServiceName& service, const Observations& observations)
{
    if (!gateway::forwardedServices(*m_routes).contains(service))
        return 0;
    std::uint32_t serving = 0;
    for (const auto& [group, observation] : observations)
        serving += observation.serving;
    return m_reserved.try_emplace(service, serving).first->second;
}

/// Returns the endpoints of all groups of a service, including empty groups in which endpoints may be ordered or were.
Scaler::Observations Scaler::observe(const gateway::Service& service, const std::vector<PendingItem>& items) const
{
    Observations observations;
    for (const auto& [dataCentre, price] : service.scaling->prices) {
        for (const auto kind : { scaling::EndpointKind::OnDemand, scaling::EndpointKind::Spot })
            observations[{ service.name, dataCentre, kind }];
    }
    std::set<EndpointId> busy;
    for (const PendingItem& item : items)
        busy.insert(item.endpoint);
    for (const auto& [id, record] : m_machine.directory().records()) {
        if (record.service != service.name || record.state == registry::EndpointState::Gone)
            continue;
        scaling::GroupObservation& observation = observations[groupOf(record)];
        if (m_liveness.isAcceptingWork(record)) {
            ++observation.serving;
            observation.busy += busy.contains(id) ? 1 : 0;
            continue;
        }
        ++observation.leaving;
        const registry::Liveness::Entry* entry = m_liveness.find(id);
        const bool hasNotice = entry && entry->startedMs == record.startedMs && entry->leavesAt;
        observation.isWithdrawn = observation.isWithdrawn || (record.isSpot && hasNotice);
    }
    return observations;
}

std::uint32_t Scaler::slotsPerEndpoint(const ServiceName& service) const
{
    std::uint64_t slots = 0;
    std::uint64_t count = 0;
    for (const auto& [id, record] : m_machine.directory().records()) {
        if (record.service != service || !m_liveness.isAcceptingWork(record))
            continue;
        slots += record.slots;
        ++count;
    }
    return count == 0 ? defaultSlots : static_cast<std::uint32_t>(slots / count);
}

/// Records that nothing is ordered any more where spot endpoints are withdrawn, so that the next leader does not wait for
/// them.
void Scaler::recordWithdrawals(const Observations& observations)
{
    for (const scaling::ScaleOrder& order : m_machine.scaleOrders()) {
        const auto found = observations.find(order.group);
        if (found != observations.end() && found->second.isWithdrawn && order.count > found->second.serving)
            record({ order.group, 0 });
    }
}

void Scaler::record(const scaling::ScaleOrder& order)
{
    m_group.propose(registry::encodeCommand(registry::RecordScaleOrder { order }), [](const cluster::ProposalResult&) {});
}

void Scaler::recordNext(TimePoint now)
{
    m_order = m_queue.front().order;
    m_queue.pop_front();
    m_countBefore = 0;
    for (const auto& [id, record] : m_machine.directory().records())
        m_countBefore += record.state != registry::EndpointState::Gone && groupOf(record) == m_order.group ? 1 : 0;
    m_history.recordOrder(m_order, now);
    m_stage = Stage::Recording;
    m_stageSince = now;
    m_group.propose(registry::encodeCommand(registry::RecordScaleOrder { m_order }), [this, leadership = m_leadership](const cluster::ProposalResult& result) {
        if (leadership != m_leadership)
            return;
        if (result.status != cluster::ProposalStatus::Applied)
            return finish(scaling::OrderOutcome::Unanswered);
        m_stage = Stage::Recorded;
        send();
    });
}

/// Sends the recorded order, unless it has to wait for the order right or the permitted rate.
void Scaler::send()
{
    if (!m_client.prepareCall()) {
        if (m_clock.now() - m_stageSince > maxOrderAge)
            finish(scaling::OrderOutcome::Unanswered);
        return;
    }
    m_stage = Stage::Sent;
    m_metrics.counter("scale_orders_total").add();
    m_client.call(m_sources.encode(m_order, m_client.holder()), [this, leadership = m_leadership](unsigned status) {
        if (leadership == m_leadership)
            onAnswer(status);
    });
}

void Scaler::onAnswer(unsigned status)
{
    const scaling::OrderOutcome outcome = outcomeOf(status);
    const auto& [group, count] = m_order;
    m_log.info("order service={} data-centre={} kind={} count={} status={} outcome={}", group.service, group.dataCentre, nameOf(group.kind), count, status, nameOf(outcome));
    if (outcome == scaling::OrderOutcome::Refused)
        onRefused();
    finish(outcome);
}

/// The number of endpoints that are there is in effect after a refusal, so the log names it again.
void Scaler::onRefused()
{
    m_metrics.counter("scale_refused_total").add();
    record({ m_order.group, m_countBefore });
}

/// Ends the order in progress. Unless it was accepted, the other planned ones are planned again at once.
void Scaler::finish(scaling::OrderOutcome outcome)
{
    m_history.recordOutcome(m_order, outcome, m_clock.now());
    m_stage = Stage::Idle;
    if (outcome == scaling::OrderOutcome::Accepted)
        return;
    m_queue.clear();
    m_nextPlan = {};
}

}
