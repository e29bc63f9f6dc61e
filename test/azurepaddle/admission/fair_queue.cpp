#include "azurepaddle/admission/controller.hpp"
#include "azurepaddle/core/random.hpp"

#include <cmath>
#include <criterion/criterion.h>
#include <deque>
#include <map>

using namespace azurepaddle;
using namespace azurepaddle::admission;

namespace {

const TenantName blue("blue");
const TenantName green("green");
const ServiceName service("models");

Ticket ticketOf(const TenantName& tenant, double cost, WorkClass workClass = WorkClass::Short, const RunName& run = {})
{
    static TicketId next = 1;
    Ticket ticket;
    ticket.id = next++;
    ticket.tenant = tenant;
    ticket.run = run;
    ticket.service = service;
    ticket.size = { 0, cost, cost, workClass };
    return ticket;
}

/// Pops tickets until the given cost is served, and returns the cost served per tenant.
std::map<TenantName, double> serve(FairQueue& queue, double cost, AllowedClasses allowed = {})
{
    std::map<TenantName, double> served;
    for (double total = 0; total < cost;) {
        const auto ticket = queue.pop(allowed);
        if (!ticket)
            break;
        served[ticket->tenant] += ticket->size.cost;
        total += ticket->size.cost;
    }
    return served;
}

}

// Guards against shares that depend on the number of requests instead of their cost and the weights of the tenants.
Test(FairQueue, weightsThreeToOne_served_shareFollowsWeights)
{
    FairQueue queue;
    Random random(5);
    queue.setWeight(blue, 3);
    for (int i = 0; i < 20000; ++i) {
        queue.push(ticketOf(blue, 10 + static_cast<double>(random.below(100))));
        queue.push(ticketOf(green, 10 + static_cast<double>(random.below(1000))));
    }
    const auto served = serve(queue, 400000);
    cr_assert(std::abs(served.at(blue) / 400000 - 0.75) < 0.01);
}

// Guards against capacity that is reserved for an idle tenant, and against unlimited credit when the tenant becomes
// active again.
Test(FairQueue, idleTenant_returns_getsBoundedBurst)
{
    FairQueue queue;
    for (int i = 0; i < 3000; ++i)
        queue.push(ticketOf(blue, 100));
    cr_assert(serve(queue, 200000).at(blue) == 200000);
    for (int i = 0; i < 1000; ++i)
        queue.push(ticketOf(green, 100));
    const auto served = serve(queue, 20000);
    cr_assert(served.at(green) >= 9000);
    cr_assert(served.at(green) <= 10000 + FairQueueSettings {}.maxBurst);
}

// Guards against long work of a tenant that is starved by its short work, and short work that is starved by long work.
Test(FairQueue, bothClassesOfOneTenant_served_neitherStarves)
{
    FairQueue queue;
    for (int i = 0; i < 2000; ++i) {
        queue.push(ticketOf(blue, 50));
        queue.push(ticketOf(blue, 1000, WorkClass::Long));
    }
    std::map<WorkClass, double> served;
    for (int i = 0; i < 500; ++i) {
        const Ticket ticket = queue.pop().value();
        served[ticket.size.workClass] += ticket.size.cost;
    }
    cr_assert(served[WorkClass::Short] > 0.7 * (served[WorkClass::Short] + served[WorkClass::Long]));
    cr_assert(served[WorkClass::Long] > 2000);
    cr_assert(queue.pop({ false, true })->size.workClass == WorkClass::Long);
    cr_assert(!queue.pop({ false, false }));
}

// Guards against a run that uses the whole share of its tenant.
Test(FairQueue, twoRunsOfOneTenant_served_shareByRunWeight)
{
    FairQueue queue;
    queue.setRunWeight(blue, RunName("a"), 2);
    for (int i = 0; i < 500; ++i) {
        queue.push(ticketOf(blue, 100, WorkClass::Long, RunName("a")));
        queue.push(ticketOf(blue, 100, WorkClass::Long, RunName("b")));
    }
    int first = 0;
    for (int i = 0; i < 300; ++i)
        first += queue.pop()->run == RunName("a") ? 1 : 0;
    cr_assert(std::abs(first - 200) <= 2);
}

// Guards against tickets that are lost or returned twice when tickets are cancelled, requeued and expired.
Test(FairQueue, randomOperations_everyTicketLeavesOnce)
{
    FairQueue queue;
    Random random(11);
    std::map<TicketId, int> removals;
    std::deque<Ticket> queuedTickets;
    std::size_t pushed = 0;
    const auto recordRemoval = [&](const Ticket& ticket) { ++removals[ticket.id]; };
    for (int i = 0; i < 20000; ++i) {
        const auto action = random.below(5);
        if (action < 2) {
            Ticket ticket = ticketOf(TenantName(std::to_string(random.below(20))), 1 + static_cast<double>(random.below(3000)));
            ticket.deadline = TimePoint(Duration(static_cast<std::int64_t>(random.below(40000))));
            queuedTickets.push_back(ticket);
            queue.push(ticket);
            ++pushed;
        } else if (action == 2) {
            if (const auto ticket = queue.pop())
                random.chance(0.2) ? queue.pushFront(*ticket) : recordRemoval(*ticket);
        } else if (action == 3 && !queuedTickets.empty()) {
            if (const auto ticket = queue.remove(queuedTickets.front().tenant, queuedTickets.front().id))
                recordRemoval(*ticket);
            queuedTickets.pop_front();
        } else {
            for (const Ticket& ticket : queue.removeExpired(TimePoint(Duration(i))))
                recordRemoval(ticket);
        }
    }
    while (const auto ticket = queue.pop())
        recordRemoval(*ticket);
    cr_assert(queue.size() == 0);
    cr_assert(queue.queuedCost() == 0);
    cr_assert(removals.size() == pushed);
    for (const auto& [id, times] : removals)
        cr_assert(times == 1);
}

// Guards against a share that depends on the number of instances that receive a tenant's requests: with seven instances
// and equal weights, one tenant sends its requests to one instance and the other sends its requests to all.
Test(FairQueue, tenantAtOneInstance_andTenantAtAll_getEqualShares)
{
    constexpr std::size_t instances = 7;
    constexpr double capacity = 7000;
    ManualClock clock;
    std::deque<AdmissionController<ManualClock>> controllers;
    AdmissionSettings settings;
    settings.defaultPolicy.maxQueued = 100000;
    for (std::size_t i = 0; i < instances; ++i)
        controllers.emplace_back(clock, settings);
    const auto fill = [&](std::size_t at, const TenantName& tenant) {
        for (int i = 0; i < 100; ++i)
            cr_assert(controllers[at].admit({ tenant, {}, service, 0, 100.0, WorkClass::Short, 0, {} }).has_value());
    };
    std::vector<double> fractions(instances, 1.0 / instances);
    std::map<TenantName, double> served;
    for (int second = 0; second < 20; ++second) {
        for (std::size_t i = 0; i < instances; ++i) {
            fill(i, blue);
            for (double cost = 0; cost < fractions[i] * capacity; cost += 100) {
                const auto ticket = controllers[i].next(service);
                if (ticket && second >= 10)
                    served[ticket->tenant] += 100;
            }
        }
        fill(0, green);
        std::vector<std::vector<InstanceDemand>> demands;
        for (auto& controller : controllers)
            demands.push_back(controller.takeDemands(service));
        for (std::size_t i = 0; i < instances; ++i)
            controllers[i].correctCredits(service, demands, i);
        fractions = instanceFractions(demands);
    }
    const double share = served[green] / (served[green] + served[blue]);
    cr_assert(share > 0.475 && share < 0.525, "share %f", share);
}
