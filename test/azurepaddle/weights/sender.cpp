#include "azurepaddle/control/control_state.hpp"
#include "azurepaddle/core/random.hpp"
#include "azurepaddle/weights/order_sender.hpp"

#include <criterion/criterion.h>
#include <cstdlib>

using namespace azurepaddle;
using namespace azurepaddle::weights;
using namespace std::chrono_literals;

namespace {

std::uint64_t seedCount(std::uint64_t defaultCount)
{
    const char* const setting = std::getenv("AZUREPADDLE_SEEDS");
    return setting == nullptr ? defaultCount : std::strtoull(setting, nullptr, 10);
}

const ServiceName service("models");
const EndpointId checkingEndpoint("checking");
const EndpointId ignoringEndpoint("ignoring");

OrderAction switchTo(const EndpointId& endpoint, WeightVersion version)
{
    return { endpoint, OrderKind::Switch, version, {} };
}

/// A sender that accesses the lease state directly.
struct Instance {
    OrderSender sender;

    explicit Instance(const std::string& name)
        : sender({}, service, { InstanceId(name), 1 })
    {
        sender.setChecksToken(checkingEndpoint, true);
        sender.setChecksToken(ignoringEndpoint, false);
    }

    void renew(control::OrderLeases& leases, TimePoint now)
    {
        if (const auto request = sender.leaseRequest(now))
            sender.onLeaseReply(leases.acquire(*request, std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count()), now, now);
    }
};

struct Fixture {
    control::OrderLeases leases;
    TimePoint now { 100s };
    Instance first { "a" };
    Instance second { "b" };
};

}

// Detects orders that are sent without a lease or within its margin, and order deadlines later than the end of the
// successor's wait.
Test(OrderSender, leaseNearExpiry_authorized_sendsNothing)
{
    Fixture fixture;
    cr_assert(!fixture.first.sender.authorize(switchTo(checkingEndpoint, 2), fixture.now));
    fixture.first.renew(fixture.leases, fixture.now);
    const auto order = fixture.first.sender.authorize(switchTo(checkingEndpoint, 2), fixture.now);
    cr_assert(order && order->fencingToken == 1 && order->deadline <= fixture.now + 2s);
    fixture.now += 4499ms;
    cr_assert(fixture.first.sender.holdsLease(fixture.now));
    fixture.now += 1ms;
    cr_assert(!fixture.first.sender.authorize(switchTo(checkingEndpoint, 2), fixture.now));
}

// Detects a lease whose duration starts at the reply instead of at the request.
Test(OrderSender, slowLeaseReply_received_countsFromRequest)
{
    Fixture fixture;
    static_cast<void>(fixture.first.sender.leaseRequest(fixture.now));
    const control::OrderLeaseReply reply { control::OrderLeaseStatus::Granted, 1, {}, 5'000, 0 };
    fixture.first.sender.onLeaseReply(reply, fixture.now, fixture.now + 4s);
    cr_assert(fixture.first.sender.holdsLease(fixture.now + 4400ms) && !fixture.first.sender.holdsLease(fixture.now + 4600ms));
}

// Detects a successor that sends orders to an endpoint which ignores fencing tokens while orders of the previous holder
// may still arrive.
Test(OrderSender, successor_granted_waitsAndReadsBeforeOrdering)
{
    Fixture fixture;
    fixture.first.renew(fixture.leases, fixture.now);
    fixture.now += 5s + 500ms;
    fixture.second.renew(fixture.leases, fixture.now);
    OrderSender& sender = fixture.second.sender;
    cr_assert(sender.epoch() == 2 && sender.authorize(switchTo(checkingEndpoint, 2), fixture.now));
    cr_assert(!sender.authorize(switchTo(ignoringEndpoint, 2), fixture.now));
    sender.onState(ignoringEndpoint, false, fixture.now, fixture.now);
    cr_assert(!sender.authorize(switchTo(ignoringEndpoint, 2), fixture.now), "a state read before the end of the wait was used");
    cr_assert(sender.takeDueReads(fixture.now).empty());
    fixture.now += 2s;
    fixture.second.renew(fixture.leases, fixture.now);
    cr_assert(sender.takeDueReads(fixture.now) == std::vector<EndpointId> { ignoringEndpoint });
    sender.onState(ignoringEndpoint, false, fixture.now, fixture.now);
    cr_assert(sender.authorize(switchTo(ignoringEndpoint, 2), fixture.now));
}

// Detects an endpoint that ignores fencing tokens and is considered settled before its state has matched the target for
// one lease duration.
Test(OrderSender, ignoringEndpoint_readAtTarget_settlesAfterOneLease)
{
    Fixture fixture;
    OrderSender& sender = fixture.first.sender;
    constexpr TimePoint never = TimePoint::max();
    TimePoint atTargetSince = never;
    for (int i = 0; i < 40; ++i, fixture.now += 250ms) {
        fixture.first.renew(fixture.leases, fixture.now);
        const bool isAtTarget = i >= 4 && i != 10;
        if (i == 3)
            static_cast<void>(sender.authorize(switchTo(ignoringEndpoint, 2), fixture.now));
        sender.onState(ignoringEndpoint, isAtTarget, fixture.now, fixture.now);
        if (!isAtTarget)
            atTargetSince = never;
        else if (atTargetSince == never)
            atTargetSince = fixture.now;
        cr_assert(sender.isSettled(ignoringEndpoint) == (atTargetSince != never && fixture.now - atTargetSince >= 5s));
    }
    cr_assert(sender.isSettled(ignoringEndpoint) && sender.takeDueReads(fixture.now).empty());
    sender.onState(ignoringEndpoint, false, fixture.now, fixture.now);
    cr_assert(!sender.isSettled(ignoringEndpoint));
}

// Detects the use of a state that was read before another holder had the lease.
Test(OrderSender, leaseRegained_afterOtherHolder_readsAgain)
{
    Fixture fixture;
    OrderSender& sender = fixture.first.sender;
    for (int i = 0; i < 30; ++i, fixture.now += 250ms) {
        fixture.first.renew(fixture.leases, fixture.now);
        sender.onState(ignoringEndpoint, true, fixture.now, fixture.now);
    }
    cr_assert(sender.isSettled(ignoringEndpoint));
    fixture.now += 6s;
    fixture.second.renew(fixture.leases, fixture.now);
    cr_assert(fixture.second.sender.holdsLease(fixture.now));
    fixture.now += 6s;
    fixture.first.renew(fixture.leases, fixture.now);
    cr_assert(sender.epoch() == 3 && !sender.isSettled(ignoringEndpoint));
    cr_assert(!sender.authorize(switchTo(ignoringEndpoint, 2), fixture.now));
}

// Detects an order of a previous holder that changes an endpoint after the endpoint has settled under the successor.
Test(OrderSender, pausedHolder_resumed_neverChangesSettledEndpoint)
{
    for (std::uint64_t seed = 1; seed <= seedCount(40); ++seed) {
        Random random(seed);
        Fixture fixture;
        control::Epoch seenToken = 0;
        std::map<EndpointId, WeightVersion> served { { checkingEndpoint, 1 }, { ignoringEndpoint, 1 } };
        std::vector<std::pair<TimePoint, Order>> inFlight;
        Instance* const instances[] = { &fixture.first, &fixture.second };
        bool wasSettled = false;
        for (int tick = 0; tick < 600; ++tick, fixture.now += 50ms) {
            const bool isFirstPaused = tick > 100 && tick % 200 < 150;
            for (std::size_t i = 0; i < 2; ++i) {
                if (i == 0 && isFirstPaused)
                    continue;
                OrderSender& sender = instances[i]->sender;
                // The target version is 2 for the previous holder and 3 for the successor.
                const WeightVersion target = 2 + i;
                instances[i]->renew(fixture.leases, fixture.now);
                for (const auto& [id, version] : served) {
                    sender.onState(id, version == target, fixture.now, fixture.now);
                    if (version == target || random.chance(0.5))
                        continue;
                    if (const auto order = sender.authorize(switchTo(id, target), fixture.now))
                        inFlight.emplace_back(fixture.now + std::chrono::milliseconds(random.below(1'500)), *order);
                }
            }
            for (const auto& [arrives, order] : inFlight) {
                // Endpoints reject orders after their deadline; one of them also rejects old fencing tokens.
                if (arrives > fixture.now || arrives + 50ms <= fixture.now || fixture.now > order.deadline)
                    continue;
                if (order.action.endpoint == checkingEndpoint && order.fencingToken < seenToken)
                    continue;
                if (order.action.endpoint == checkingEndpoint)
                    seenToken = order.fencingToken;
                const bool isSettled = fixture.second.sender.isSettled(ignoringEndpoint) && fixture.second.sender.holdsLease(fixture.now);
                cr_assert(!isSettled || order.action.version == 3, "an order of the previous holder changed a settled endpoint, seed %lu", seed);
                served[order.action.endpoint] = order.action.version;
            }
            wasSettled = wasSettled || fixture.second.sender.isSettled(ignoringEndpoint);
        }
        cr_assert(wasSettled, "the endpoint never settled under the successor, seed %lu", seed);
    }
}
