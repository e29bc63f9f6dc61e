#include "azurepaddle/pipeline/weight_service.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace azurepaddle::pipeline {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t maxOrdersKept = 200;
    constexpr Duration stateInterval = std::chrono::milliseconds(500);
    constexpr Duration stateTimeout = std::chrono::milliseconds(800);
    constexpr Duration maxRolloutDuration = std::chrono::seconds(30);
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

    weights::PlannerSettings plannerSettingsFor(const config::ServiceConfiguration& configured)
    {
        weights::PlannerSettings settings;
        settings.weightBytes = static_cast<double>(configured.weightBytes);
        settings.storeBytesPerSecond = static_cast<double>(configured.storeBytesPerSecond);
        return settings;
    }

    std::optional<weights::EndpointReport> readReport(const EndpointId& endpoint, const std::string& body, TimePoint requestedAt)
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
            report.requestedAt = requestedAt;
            return report;
        } catch (const Json::exception&) {
            return std::nullopt;
        }
    }

}

std::shared_ptr<WeightService::ManagedService> WeightService::findOrAddManaged(const ServiceName& service, const config::ServiceConfiguration& configured)
{
    const std::lock_guard lock(m_mutex);
    auto& managed = m_managedServices[service];
    if (!managed)
        managed = std::make_shared<ManagedService>(plannerSettingsFor(configured), m_dependencies.sender, service, m_dependencies.port.self);
    return managed;
}

void WeightService::tick()
{
    const auto configuration = m_dependencies.configuration.current();
    if (!configuration)
        return;
    for (const auto& [name, service] : configuration->services()) {
        if (service.isEngine() && !service.versionSource.empty())
            tickService(name, service);
    }
}

void WeightService::tickService(const ServiceName& service, const config::ServiceConfiguration& configured)
{
    const auto managed = findOrAddManaged(service, configured);
    const RunName source(configured.versionSource);
    const std::lock_guard lock(managed->mutex);
    const TimePoint now = m_dependencies.clock.now();
    if (const auto request = managed->sender.leaseRequest(now)) {
        if (!m_dependencies.background.run([this, managed, request = *request] { renewLease(managed, request); }))
            managed->sender.onLeaseOutcomeUnknown();
    }
    if (!managed->sender.holdsLease(now))
        return;
    syncEndpoints(*managed, service);
    if (!std::exchange(managed->isReadingVersion, true) && !m_dependencies.background.run([this, managed, source] { readAnnouncedVersion(managed, source); }))
        managed->isReadingVersion = false;
    readStates(managed, now);
    adoptAnnouncedVersion(*managed, now);
    if (managed->targetVersion != 0)
        sendDueOrders(managed, now);
}

void WeightService::renewLease(const std::shared_ptr<ManagedService>& managed, const control::AcquireOrderLease& request)
{
    const TimePoint requestedAt = m_dependencies.clock.now();
    const auto reply = submitFor<control::OrderLeaseReply>(m_dependencies.port, request, requestedAt + controlDeadline);
    const std::lock_guard lock(managed->mutex);
    if (reply)
        managed->sender.onLeaseReply(*reply, requestedAt, m_dependencies.clock.now());
    else
        managed->sender.onLeaseOutcomeUnknown();
}

void WeightService::readAnnouncedVersion(const std::shared_ptr<ManagedService>& managed, const RunName& source)
{
    const auto answer = m_dependencies.control.read(control::RunsQuery {}, m_dependencies.clock.now() + controlDeadline);
    const auto* runs = answer ? std::get_if<control::RunsAnswer>(&*answer) : nullptr;
    const std::lock_guard lock(managed->mutex);
    managed->isReadingVersion = false;
    if (!runs)
        return;
    const auto found = std::find_if(runs->runs.begin(), runs->runs.end(), [&](const auto& summary) { return summary.run == source; });
    if (found != runs->runs.end())
        managed->announcedVersion = std::max(managed->announcedVersion, found->version);
}

/// Makes the announced version the target, but only after the rollout in progress is complete or has reached its
/// maximum duration. If versions are announced faster than all endpoints can fetch one, a target that follows every
/// announcement is never reached.
void WeightService::adoptAnnouncedVersion(ManagedService& managed, TimePoint now) const
{
    if (managed.announcedVersion <= managed.targetVersion)
        return;
    const auto progress = managed.planner.progress();
    const bool isDone = managed.targetVersion == 0 || progress.switched == progress.endpoints;
    if (!isDone && now - managed.targetSetAt < maxRolloutDuration)
        return;
    managed.targetVersion = managed.announcedVersion;
    managed.targetSetAt = now;
    managed.planner.setTarget({ managed.targetVersion, {} }, now);
    m_log.info("rolling out weight version {}", managed.targetVersion);
}

void WeightService::syncEndpoints(ManagedService& managed, const ServiceName& service) const
{
    std::map<EndpointId, std::string> current;
    for (const auto& record : m_dependencies.directory.candidates(service)) {
        const auto& announcement = record->announcement;
        current.emplace(announcement.id, announcement.address);
        managed.sender.setChecksToken(announcement.id, announcement.checksFencing);
    }
    for (const auto& [endpoint, address] : managed.addresses) {
        if (current.contains(endpoint))
            continue;
        managed.planner.onEndpointRemoved(endpoint);
        managed.sender.removeEndpoint(endpoint);
        managed.lastStateRead.erase(endpoint);
    }
    managed.addresses = std::move(current);
}

void WeightService::readStates(const std::shared_ptr<ManagedService>& managed, TimePoint now)
{
    for (const EndpointId& endpoint : managed->sender.takeDueReads(now))
        managed->lastStateRead.erase(endpoint);
    for (const auto& [endpoint, address] : managed->addresses) {
        const auto last = managed->lastStateRead.find(endpoint);
        if (last != managed->lastStateRead.end() && now - last->second < stateInterval)
            continue;
        if (m_dependencies.background.run([this, managed, id = endpoint, at = address] { readState(managed, id, at); }))
            managed->lastStateRead[endpoint] = now;
    }
}

void WeightService::readState(const std::shared_ptr<ManagedService>& managed, const EndpointId& endpoint, const std::string& address)
{
    const TimePoint requestedAt = m_dependencies.clock.now();
    const auto result = m_dependencies.connector.call(address, { "GET", "/state", {}, {}, {} }, stateTimeout, {});
    if (result.status != AttemptStatus::Complete)
        return;
    const auto report = readReport(endpoint, result.body, requestedAt);
    if (!report)
        return;
    const std::lock_guard lock(managed->mutex);
    const TimePoint now = m_dependencies.clock.now();
    managed->planner.onReport(*report, now);
    managed->sender.onState(endpoint, managed->planner.isAtTarget(endpoint), requestedAt, now);
}

void WeightService::sendDueOrders(const std::shared_ptr<ManagedService>& managed, TimePoint now)
{
    for (const auto& action : managed->planner.plan(now)) {
        const auto address = managed->addresses.find(action.endpoint);
        const auto order = address == managed->addresses.end() ? std::nullopt : managed->sender.authorize(action, now);
        if (!order || !m_dependencies.background.run([this, managed, order = *order, at = address->second] { sendOrder(managed, order, at); }))
            managed->planner.onOrderNotSent(action);
    }
}

void WeightService::sendOrder(const std::shared_ptr<ManagedService>& managed, const weights::Order& order, const std::string& address)
{
    // The task may have waited for a thread, so the deadline and the lease are checked again right before sending.
    const TimePoint now = m_dependencies.clock.now();
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
    if (!m_dependencies.endpointSecret.empty())
        request.headers.emplace_back("Authorization", "Bearer " + m_dependencies.endpointSecret);
    const auto result = m_dependencies.connector.call(address, request, order.deadline - now, {});
    recordOrder(order, result.status == AttemptStatus::Complete ? "done" : "failed", result.body.substr(0, 200) + result.message);
    if (result.status == AttemptStatus::Complete)
        return;
    const std::lock_guard lock(managed->mutex);
    managed->planner.onOrderFailed(order.action, m_dependencies.clock.now());
}

void WeightService::recordOrder(const weights::Order& order, std::string state, std::string reason)
{
    if (state == "failed")
        m_log.warning("order {} {} to {} failed: {}", weights::orderName(order.action.kind), order.action.version, order.action.endpoint, reason);
    const std::lock_guard lock(m_mutex);
    m_orders.push_back({ order.action, std::move(state), order.fencingToken, m_dependencies.clock.wallNow(), std::move(reason) });
    if (m_orders.size() > maxOrdersKept)
        m_orders.pop_front();
}

std::vector<OrderView> WeightService::orders() const
{
    const std::lock_guard lock(m_mutex);
    return { m_orders.begin(), m_orders.end() };
}

}
