#include "azurepaddle/pipeline/weight_service.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace azurepaddle::pipeline {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t maxOrdersShown = 200;
    constexpr Duration stateInterval = std::chrono::milliseconds(500);
    constexpr Duration stateTimeout = std::chrono::milliseconds(800);
    constexpr Duration longestRollout = std::chrono::seconds(30);
    constexpr Duration controlDeadline = std::chrono::seconds(2);

    std::string orderBody(const weights::Order& order)
    {
        Json body { { "fencing_token", order.fencingToken }, { "action", weights::orderName(order.action.kind) } };
        if (order.action.version != 0)
            body["version"] = order.action.version;
        if (!order.action.adapter.empty())
            body["adapter"] = order.action.adapter;
        return body.dump();
    }

    weights::PlannerSettings planFor(const config::ServiceConfiguration& configured)
    {
        weights::PlannerSettings settings;
        settings.weightBytes = static_cast<double>(configured.weightBytes);
        settings.storeBytesPerSecond = static_cast<double>(configured.storeBytesPerSecond);
        return settings;
    }

    std::optional<weights::EndpointReport> readReport(const EndpointId& endpoint, const std::string& body, TimePoint asked)
    {
        const auto object = Json::parse(body, nullptr, false);
        if (!object.is_object())
            return std::nullopt;
        try {
            weights::EndpointReport report;
            report.endpoint = endpoint;
            report.incarnation = object.value("incarnation", std::uint64_t { 0 });
            report.versions = object.at("versions").get<std::vector<WeightVersion>>();
            report.prefetched = object.value("loaded", std::vector<WeightVersion>());
            report.adapters = object.value("adapters", std::vector<std::string>());
            report.isSwapping = object.value("swapping", false);
            report.asked = asked;
            return report;
        } catch (const Json::exception&) {
            return std::nullopt;
        }
    }

}

std::shared_ptr<WeightService::Managed> WeightService::managedFor(const ServiceName& service, const config::ServiceConfiguration& configured)
{
    const std::lock_guard lock(m_mutex);
    auto& managed = m_managed[service];
    if (!managed)
        managed = std::make_shared<Managed>(planFor(configured), m_parts.sender, service, m_parts.port.self);
    return managed;
}

void WeightService::tick()
{
    const auto configuration = m_parts.configuration.current();
    if (!configuration)
        return;
    for (const auto& [name, service] : configuration->services()) {
        if (service.isEngine() && !service.versionSource.empty())
            workOn(name, service);
    }
}

void WeightService::workOn(const ServiceName& service, const config::ServiceConfiguration& configured)
{
    const auto managed = managedFor(service, configured);
    const RunName source(configured.versionSource);
    const std::lock_guard lock(managed->mutex);
    const TimePoint now = m_parts.clock.now();
    if (const auto request = managed->sender.leaseRequest(now)) {
        if (!m_parts.background.run([this, managed, request = *request] { renew(managed, request); }))
            managed->sender.onLeaseUnknown();
    }
    if (!managed->sender.holdsLease(now))
        return;
    syncEndpoints(*managed, service);
    if (!std::exchange(managed->isAsking, true) && !m_parts.background.run([this, managed, source] { readWanted(managed, source); }))
        managed->isAsking = false;
    readStates(managed, now);
    adoptNewest(*managed, now);
    if (managed->wanted != 0)
        sendDue(managed, now);
}

void WeightService::renew(const std::shared_ptr<Managed>& managed, const control::AcquireOrderLease& request)
{
    const TimePoint asked = m_parts.clock.now();
    const auto reply = submitFor<control::OrderLeaseReply>(m_parts.port, request, asked + controlDeadline);
    const std::lock_guard lock(managed->mutex);
    if (reply)
        managed->sender.onLeaseReply(*reply, asked, m_parts.clock.now());
    else
        managed->sender.onLeaseUnknown();
}

void WeightService::readWanted(const std::shared_ptr<Managed>& managed, const RunName& source)
{
    const auto answer = m_parts.control.read(control::RunsQuery {}, m_parts.clock.now() + controlDeadline);
    const auto* runs = answer ? std::get_if<control::RunsAnswer>(&*answer) : nullptr;
    const std::lock_guard lock(managed->mutex);
    managed->isAsking = false;
    if (!runs)
        return;
    const auto found = std::find_if(runs->runs.begin(), runs->runs.end(), [&](const auto& summary) { return summary.run == source; });
    if (found != runs->runs.end())
        managed->newest = std::max(managed->newest, found->version);
}

/// A rollout in progress is completed before the next version is wanted: with versions announced faster than one can be
/// fetched everywhere, a target that always moved would never be reached.
void WeightService::adoptNewest(Managed& managed, TimePoint now) const
{
    if (managed.newest <= managed.wanted)
        return;
    const auto progress = managed.planner.progress();
    const bool isDone = managed.wanted == 0 || progress.switched == progress.endpoints;
    if (!isDone && now - managed.wantedSince < longestRollout)
        return;
    managed.wanted = managed.newest;
    managed.wantedSince = now;
    managed.planner.want({ managed.wanted, {} }, now);
    m_log.info("version {} is wanted", managed.wanted);
}

void WeightService::syncEndpoints(Managed& managed, const ServiceName& service) const
{
    std::map<EndpointId, std::string> current;
    for (const auto& record : m_parts.directory.candidates(service)) {
        const auto& announcement = record->announcement;
        current.emplace(announcement.id, announcement.address);
        managed.sender.setChecksToken(announcement.id, announcement.checksFencing);
    }
    for (const auto& [endpoint, address] : managed.addresses) {
        if (current.contains(endpoint))
            continue;
        managed.planner.onEndpointGone(endpoint);
        managed.sender.forget(endpoint);
        managed.lastRead.erase(endpoint);
    }
    managed.addresses = std::move(current);
}

void WeightService::readStates(const std::shared_ptr<Managed>& managed, TimePoint now)
{
    for (const EndpointId& endpoint : managed->sender.readsDue(now))
        managed->lastRead.erase(endpoint);
    for (const auto& [endpoint, address] : managed->addresses) {
        const auto last = managed->lastRead.find(endpoint);
        if (last != managed->lastRead.end() && now - last->second < stateInterval)
            continue;
        if (m_parts.background.run([this, managed, id = endpoint, at = address] { readState(managed, id, at); }))
            managed->lastRead[endpoint] = now;
    }
}

void WeightService::readState(const std::shared_ptr<Managed>& managed, const EndpointId& endpoint, const std::string& address)
{
    const TimePoint asked = m_parts.clock.now();
    const auto result = m_parts.connector.call(address, { "GET", "/state", {}, {}, {} }, stateTimeout, {});
    if (result.status != AttemptStatus::Complete)
        return;
    const auto report = readReport(endpoint, result.body, asked);
    if (!report)
        return;
    const std::lock_guard lock(managed->mutex);
    const TimePoint now = m_parts.clock.now();
    managed->planner.onReport(*report, now);
    managed->sender.onState(endpoint, managed->planner.isAsWanted(endpoint), asked, now);
}

void WeightService::sendDue(const std::shared_ptr<Managed>& managed, TimePoint now)
{
    for (const auto& action : managed->planner.plan(now)) {
        const auto address = managed->addresses.find(action.endpoint);
        const auto order = address == managed->addresses.end() ? std::nullopt : managed->sender.authorize(action, now);
        if (!order || !m_parts.background.run([this, managed, order = *order, at = address->second] { send(managed, order, at); }))
            managed->planner.onOrderNotSent(action);
    }
}

void WeightService::send(const std::shared_ptr<Managed>& managed, const weights::Order& order, const std::string& address)
{
    // The task may have waited for a thread: the lease and the deadline are checked once more right before sending.
    const TimePoint now = m_parts.clock.now();
    bool mayStillSend = now < order.deadline;
    if (mayStillSend) {
        const std::lock_guard lock(managed->mutex);
        mayStillSend = managed->sender.holdsLease(now) && managed->sender.epoch() == order.fencingToken;
    }
    if (!mayStillSend) {
        const std::lock_guard lock(managed->mutex);
        return managed->planner.onOrderNotSent(order.action);
    }
    OutgoingRequest request { "POST", "/orders", "application/json", orderBody(order), {} };
    if (!m_parts.endpointSecret.empty())
        request.headers.emplace_back("Authorization", "Bearer " + m_parts.endpointSecret);
    const auto result = m_parts.connector.call(address, request, order.deadline - now, {});
    note(order, result.status == AttemptStatus::Complete ? "done" : "failed", result.body.substr(0, 200) + result.message);
    if (result.status == AttemptStatus::Complete)
        return;
    const std::lock_guard lock(managed->mutex);
    managed->planner.onOrderFailed(order.action, m_parts.clock.now());
}

void WeightService::note(const weights::Order& order, std::string state, std::string reason)
{
    if (state == "failed")
        m_log.warning("order {} {} to {} failed: {}", weights::orderName(order.action.kind), order.action.version, order.action.endpoint, reason);
    const std::lock_guard lock(m_mutex);
    m_orders.push_back({ order.action, std::move(state), order.fencingToken, m_parts.clock.wallNow(), std::move(reason) });
    if (m_orders.size() > maxOrdersShown)
        m_orders.pop_front();
}

std::vector<OrderView> WeightService::orders() const
{
    const std::lock_guard lock(m_mutex);
    return { m_orders.begin(), m_orders.end() };
}

}
