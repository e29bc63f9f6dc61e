#include "azurepaddle/execution/scaler.hpp"
#include "azurepaddle/registry/store_group.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace azurepaddle;
using namespace azurepaddle::execution;
using namespace std::chrono_literals;

namespace {

const ServiceName serviceName("models");
const DataCentreName north("north");
const DataCentreName south("south");
constexpr unsigned noAnswer = 0;

/// An order as the platform got it.
struct ReceivedOrder {
    std::string text;
    bool isRecorded = false; ///< The log named the same number when the order arrived.
};

std::string textOf(const scaling::ScaleOrder& order)
{
    return fmt::format("{} {} {}", order.group.dataCentre, order.group.kind == scaling::EndpointKind::Spot ? "spot" : "on-demand", order.count);
}

/// A leader with a platform that answers orders with the listed statuses, then with 200.
struct ScalerFixture : fixture::StoreGroup {
    const SystemClock clock {};
    registry::Liveness liveness;
    metrics::Registry metrics;
    http1::ClientPool pool { io, {} };
    OrderWindow window { group, machine, { "store", 200ms } };
    std::deque<unsigned> statuses;
    std::vector<ReceivedOrder> received;
    std::vector<std::string> fences;
    std::vector<PendingItem> items;
    http1::Server platform { io, [this](const http1::ExchangePointer& exchange) { answer(exchange); } };
    std::unique_ptr<DutyClient> client;
    std::unique_ptr<Scaler> scaler;

    ScalerFixture()
    {
        cr_assert(platform.listen({ "127.0.0.1", 0 }).has_value());
        startGroup();
        client = std::make_unique<DutyClient>(pool, window, DutyOptions { platform.address(), 100 }, metrics);
        scaler = std::make_unique<Scaler>(group, machine, liveness, *client, ScalerSources { [this] { return items; }, encode }, metrics);
        setRules(scaling::ScalingRules { 0, 10, 4s, 0.2, { { north, 1.0 }, { south, 0.8 } } });
    }
    ~ScalerFixture() { platform.close(); }

    void startGroup()
    {
        start();
        cr_assert(runUntil([&] { return group.hasCurrentState(); }));
    }

    void setRules(const std::optional<scaling::ScalingRules>& rules)
    {
        gateway::Service service { serviceName, {}, 64, { batch::ModelName("m") } };
        service.scaling = rules;
        scaler->setRoutes(std::make_shared<const gateway::RouteTable>(1, std::vector<gateway::Route> {}, std::vector { service }, http1::ServerLimits {}));
    }

    void lead()
    {
        window.onLeadership(true);
        client->onLeadership();
        scaler->onLeadership(true);
    }

    static http1::Request encode(const scaling::ScaleOrder& order, const DutyHolder& holder)
    {
        return { "POST", "/scale", { { "Host", "platform" }, { "Fence", fmt::format("{} {}", holder.instance, holder.fence) } }, textOf(order) };
    }

    void answer(const http1::ExchangePointer& exchange)
    {
        const std::string text = exchange->request().body;
        const auto& recorded = machine.scaleOrders();
        received.push_back({ text, !recorded.empty() && textOf(recorded.back()) == text });
        fences.emplace_back(exchange->request().fields.find("Fence"));
        unsigned status = 200;
        if (!statuses.empty()) {
            status = statuses.front();
            statuses.pop_front();
        }
        if (status == noAnswer)
            return exchange->abort();
        exchange->respond({ status, {}, {}, {} });
    }

    bool runUntil(const std::function<bool()>& condition, Duration limit = 20s)
    {
        const TimePoint end = clock.now() + limit;
        while (!condition() && clock.now() < end) {
            io.run_for(5ms);
            window.tick();
            if (scaler)
                scaler->tick();
        }
        return condition();
    }

    void runFor(Duration duration)
    {
        static_cast<void>(runUntil([] { return false; }, duration));
    }

    void apply(const registry::Command& command)
    {
        bool isApplied = false;
        group.propose(registry::encodeCommand(command), [&](const cluster::ProposalResult& result) { isApplied = result.status == cluster::ProposalStatus::Applied; });
        cr_assert(runUntil([&] { return isApplied; }));
    }

    void addEndpoint(const std::string& id, const DataCentreName& dataCentre, bool isSpot = false)
    {
        registry::EndpointRecord record;
        record.id = EndpointId(id);
        record.startedMs = 1;
        record.service = serviceName;
        record.ip = "127.0.0.1";
        record.port = static_cast<std::uint16_t>(1000 + machine.directory().records().size());
        record.dataCentre = dataCentre;
        record.slots = 8;
        record.isSpot = isSpot;
        apply(registry::SetEndpoint { record });
        cr_assert(liveness.recordHeartbeat(registry::EndpointHeartbeat { record, 1 }.status(), clock.now()));
    }

    /// Work for which one endpoint per data centre does not suffice.
    void addWork()
    {
        items.assign(64, PendingItem { serviceName, {}, 4s, 20s });
    }
};

}

// Guards against orders without scaling rules or without a need, and against claiming the order right for nothing.
Test(Scaler, noRulesOrNoNeed_nothingIsOrdered)
{
    ScalerFixture fixture;
    fixture.addEndpoint("a", north);
    fixture.lead();
    fixture.runFor(700ms);
    fixture.setRules(std::nullopt);
    fixture.addWork();
    fixture.runFor(700ms);
    cr_assert(fixture.received.empty());
    cr_assert(fixture.machine.orders().holder.instance.empty());
    cr_assert(fixture.machine.scaleOrders().empty());
}

// Guards against an order that the log does not name before it is sent, so that the next holder would not know of it, and
// against an order without the fencing token.
Test(Scaler, workCannotEndInTime_ordersAreRecordedBeforeTheyAreSent)
{
    ScalerFixture fixture;
    fixture.addEndpoint("a", north);
    fixture.addEndpoint("b", south);
    fixture.addWork();
    fixture.lead();
    cr_assert(fixture.runUntil([&] { return fixture.received.size() == 2; }));
    for (const ReceivedOrder& order : fixture.received)
        cr_assert(order.isRecorded, "%s", order.text.c_str());
    cr_assert(fixture.fences.front() == fmt::format("store {}", fixture.group.term()));
    // What was ordered boots, so nothing more is ordered.
    fixture.runFor(1500ms);
    cr_assert(fixture.received.size() == 2);
    cr_assert(fixture.machine.scaleOrders().size() == 2);
    cr_assert(fixture.metrics.counter("scale_orders_total").value() == 2);
}

// Guards against waiting for a data centre that has no endpoints, and against a log that names a refused number.
Test(Scaler, orderRefused_nextOneGoesElsewhereAtOnce)
{
    ScalerFixture fixture;
    fixture.addEndpoint("a", north);
    fixture.addEndpoint("b", south);
    fixture.addWork();
    fixture.statuses = { 409 };
    fixture.lead();
    cr_assert(fixture.runUntil([&] { return fixture.received.size() == 1; }));
    const TimePoint refusedAt = fixture.clock.now();
    cr_assert(fixture.runUntil([&] { return fixture.received.size() == 2; }));
    cr_assert(fixture.clock.now() - refusedAt < 400ms);
    const std::string group = fixture.received[0].text.substr(0, fixture.received[0].text.rfind(' '));
    cr_assert(!fixture.received[1].text.starts_with(group));
    fixture.runFor(300ms);
    const auto& recorded = fixture.machine.scaleOrders();
    cr_assert(std::any_of(recorded.begin(), recorded.end(), [&](const scaling::ScaleOrder& order) { return textOf(order) == group + " 0"; }));
    cr_assert(fixture.metrics.counter("scale_refused_total").value() == 1);
}

// Guards against an order that is lost because its answer did not arrive, and against a different number in its place.
Test(Scaler, orderUnanswered_sameNumberIsRepeated)
{
    ScalerFixture fixture;
    fixture.addEndpoint("a", north);
    fixture.addEndpoint("b", south);
    fixture.addWork();
    fixture.statuses = { noAnswer, 503 };
    fixture.lead();
    cr_assert(fixture.runUntil([&] { return fixture.received.size() >= 3; }));
    cr_assert(fixture.received[0].text == fixture.received[1].text);
    cr_assert(fixture.received[0].text == fixture.received[2].text);
}

// Guards against a new holder that does not send the order which the earlier one recorded before it failed, or sends
// another number.
Test(Scaler, earlierHolderFailedAfterRecording_sameNumberIsOrdered)
{
    ScalerFixture fixture;
    fixture.addEndpoint("a", north);
    fixture.addEndpoint("b", south);
    fixture.apply(registry::RecordScaleOrder { { { serviceName, south, scaling::EndpointKind::Spot }, 3 } });
    fixture.lead();
    cr_assert(fixture.runUntil([&] { return !fixture.received.empty(); }));
    cr_assert(fixture.received.front().text == "south spot 3");
    fixture.runFor(1s);
    cr_assert(fixture.received.size() == 1);
}

// Guards against a withdrawal that is noticed only when the endpoints are gone, against spot endpoints ordered while none
// are available, and against a next holder that waits for those that were withdrawn.
Test(Scaler, spotEndpointsAnnounceThatTheyLeave_onDemandIsOrdered)
{
    ScalerFixture fixture;
    fixture.addEndpoint("a", north);
    fixture.addEndpoint("b", south);
    const scaling::EndpointGroup spot { serviceName, south, scaling::EndpointKind::Spot };
    fixture.apply(registry::RecordScaleOrder { { spot, 1 } });
    fixture.addEndpoint("c", south, true);
    fixture.lead();
    fixture.runFor(600ms);
    cr_assert(fixture.received.empty());
    registry::EndpointRecord leaving = *fixture.machine.directory().find(EndpointId("c"));
    leaving.state = registry::EndpointState::Draining;
    fixture.apply(registry::SetEndpoint { leaving });
    cr_assert(fixture.liveness.recordHeartbeat(registry::EndpointHeartbeat { leaving, 2, 2300 }.status(), fixture.clock.now()));
    fixture.addWork();
    cr_assert(fixture.runUntil([&] { return !fixture.received.empty(); }));
    fixture.runFor(1s);
    for (const ReceivedOrder& order : fixture.received)
        cr_assert(order.text.find("on-demand") != std::string::npos, "%s", order.text.c_str());
    const auto& recorded = fixture.machine.scaleOrders();
    cr_assert(std::find(recorded.begin(), recorded.end(), scaling::ScaleOrder { spot, 0 }) != recorded.end());
}
