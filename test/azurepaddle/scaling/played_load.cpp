#include "azurepaddle/scaling/history.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace azurepaddle;
using namespace azurepaddle::scaling;
using namespace std::chrono_literals;

namespace {

const ServiceName name("s");
const std::vector<DataCentreName> dataCentres { DataCentreName("a"), DataCentreName("b"), DataCentreName("c"), DataCentreName("d") };
constexpr std::uint32_t slots = 8;
constexpr Duration step = 100ms;
constexpr Duration planInterval = 500ms;
constexpr Duration spotUnavailable = 9s;

/// A platform with endpoints that boot and spot endpoints that are withdrawn, and the items that run there, as one pool.
class Platform {
public:
    Platform()
    {
        for (const DataCentreName& dataCentre : dataCentres)
            m_endpoints[{ name, dataCentre, EndpointKind::OnDemand }].assign(2, TimePoint {});
        m_history.start({}, m_now);
    }

    void submit(std::size_t count, Duration length, Duration due)
    {
        for (std::size_t index = 0; index < count; ++index)
            m_items.push_back({ length, m_now + due });
    }

    void withdraw(const DataCentreName& dataCentre)
    {
        m_withdrawn = { name, dataCentre, EndpointKind::Spot };
        m_withdrawnAt = m_now + 2300ms;
    }

    void refuse(const DataCentreName& dataCentre) { m_refusing.insert(dataCentre); }

    /// Replaces the leader: the next one knows the log and the endpoints only.
    void changeLeader() { m_history.start(m_log, m_now); }

    /// The next order is recorded and not sent.
    void loseNextOrder() { m_isNextLost = true; }

    void play(Duration duration)
    {
        const TimePoint end = m_now + duration;
        for (; m_now < end; m_now += step) {
            removeWithdrawn();
            runItems();
            observe();
            if ((m_now - TimePoint {}) % planInterval == Duration::zero())
                plan();
        }
    }

    [[nodiscard]] std::uint32_t serving(const EndpointGroup& group) const
    {
        const auto found = m_endpoints.find(group);
        const bool isLeaving = m_withdrawn == group;
        return found == m_endpoints.end() || isLeaving ? 0 : static_cast<std::uint32_t>(std::count_if(found->second.begin(), found->second.end(), [this](TimePoint from) { return from <= m_now; }));
    }
    [[nodiscard]] std::uint32_t serving() const
    {
        std::uint32_t total = 0;
        for (const auto& [group, endpoints] : m_endpoints)
            total += serving(group);
        return total;
    }
    [[nodiscard]] std::uint32_t spotIn(const DataCentreName& dataCentre) const { return serving({ name, dataCentre, EndpointKind::Spot }); }
    [[nodiscard]] std::size_t late() const { return m_late; }
    [[nodiscard]] std::size_t unfinished() const { return m_items.size(); }
    [[nodiscard]] const std::vector<std::pair<TimePoint, ScaleOrder>>& orders() const { return m_orders; }
    [[nodiscard]] std::size_t refusals() const { return m_refusals; }
    [[nodiscard]] TimePoint now() const { return m_now; }
    [[nodiscard]] const ScalingRules& rules() const { return m_rules; }

private:
    struct Item {
        Duration remaining {};
        TimePoint due;
    };

    void removeWithdrawn()
    {
        if (!m_withdrawn || m_now < m_withdrawnAt)
            return;
        m_endpoints[*m_withdrawn].clear();
        m_withdrawn.reset();
        m_noSpotUntil = m_now + spotUnavailable;
    }

    /// Runs the items that are due first in all slots.
    void runItems()
    {
        std::stable_sort(m_items.begin(), m_items.end(), [](const Item& a, const Item& b) { return a.due < b.due; });
        const std::size_t running = std::min<std::size_t>(m_items.size(), static_cast<std::size_t>(serving()) * slots);
        for (std::size_t index = 0; index < running; ++index)
            m_items[index].remaining -= step;
        m_late += static_cast<std::size_t>(std::count_if(m_items.begin(), m_items.end(), [this](const Item& item) { return item.remaining <= Duration::zero() && item.due < m_now; }));
        std::erase_if(m_items, [](const Item& item) { return item.remaining <= Duration::zero(); });
    }

    void observe()
    {
        const std::uint32_t busyAtMost = static_cast<std::uint32_t>((m_items.size() + slots - 1) / slots);
        std::uint32_t busy = std::min(serving(), busyAtMost);
        for (const auto& [group, endpoints] : m_endpoints) {
            const std::uint32_t here = std::min(busy, serving(group));
            busy -= here;
            const bool isLeaving = m_withdrawn == group;
            m_history.observe(group, { serving(group), here, isLeaving ? static_cast<std::uint32_t>(endpoints.size()) : 0, isLeaving }, m_rules, m_now);
        }
    }

    void plan()
    {
        ServiceState state;
        state.name = name;
        state.rules = m_rules;
        state.slotsPerEndpoint = slots;
        for (const Item& item : m_items)
            state.work.push_back({ item.remaining, item.due - m_now });
        m_history.describe(state, m_now);
        const ScalingPlan planned = planScaling(state);
        m_history.recordDemand(name, planned.needed, m_now);
        for (const PlannedOrder& order : planned.orders) {
            if (!send(order.order))
                return;
        }
    }

    /// Returns false if the order was refused, so that a new plan is needed.
    bool send(const ScaleOrder& order)
    {
        m_history.recordOrder(order, m_now);
        m_log.push_back(order);
        if (std::exchange(m_isNextLost, false))
            return false;
        m_orders.emplace_back(m_now, order);
        auto& endpoints = m_endpoints[order.group];
        const bool isSpotGone = order.group.kind == EndpointKind::Spot && (m_withdrawn || m_now < m_noSpotUntil);
        if (order.count > endpoints.size() && (isSpotGone || m_refusing.contains(order.group.dataCentre))) {
            ++m_refusals;
            m_history.recordOutcome(order, OrderOutcome::Refused, m_now);
            return false;
        }
        const std::size_t before = endpoints.size();
        endpoints.resize(order.count);
        for (std::size_t index = before; index < endpoints.size(); ++index)
            endpoints[index] = m_now + m_rules.bootTime;
        m_history.recordOutcome(order, OrderOutcome::Accepted, m_now);
        return true;
    }

    const ScalingRules m_rules { 1, 22, 4s, 0.18, { { dataCentres[0], 1.0 }, { dataCentres[1], 0.8 }, { dataCentres[2], 0.9 }, { dataCentres[3], 1.1 } } };
    TimePoint m_now { 100s };
    std::map<EndpointGroup, std::vector<TimePoint>> m_endpoints; ///< From when each endpoint serves.
    std::vector<Item> m_items;
    std::set<DataCentreName> m_refusing;
    std::optional<EndpointGroup> m_withdrawn;
    TimePoint m_withdrawnAt {};
    TimePoint m_noSpotUntil {};
    std::size_t m_late = 0;
    std::size_t m_refusals = 0;
    bool m_isNextLost = false;
    std::vector<ScaleOrder> m_log;
    std::vector<std::pair<TimePoint, ScaleOrder>> m_orders;
    ScalingHistory m_history;
};

/// Plays steps of 300 items of 3 s that are due 15 s after their submission.
void playSteps(Platform& platform, int count)
{
    for (int index = 0; index < count; ++index) {
        platform.submit(300, 3s, 15s);
        platform.play(15s);
    }
}

}

// Guards against orders without load, and against endpoints that are kept for ever without it.
Test(ScalingPlay, noLoad_endpointsAreReducedToTheMinimumSlowly)
{
    Platform platform;
    platform.play(55s);
    cr_assert(platform.orders().empty());
    platform.play(120s);
    cr_assert(platform.serving() == 4);
}

// Guards against steps that end late because endpoints are added too late or removed between two steps.
Test(ScalingPlay, stepsFollowEachOther_allEndInTime)
{
    Platform platform;
    playSteps(platform, 8);
    cr_assert(platform.late() == 0, "%zu late", platform.late());
    cr_assert(platform.unfinished() == 0);
}

// Guards against endpoints that are ordered and removed in turns while the load comes in even waves, and against more
// orders than the limit. What the first wave needed in addition may be removed in stages, once.
Test(ScalingPlay, loadInWaves_numberOfEndpointsDoesNotOscillate)
{
    Platform platform;
    playSteps(platform, 4);
    const std::size_t firstMinute = platform.orders().size();
    cr_assert(firstMinute <= maxOrdersPerMinute);
    playSteps(platform, 4);
    const std::size_t secondMinute = platform.orders().size();
    playSteps(platform, 8);
    cr_assert(platform.orders().size() - secondMinute <= 4, "%zu orders in two further minutes", platform.orders().size() - secondMinute);
    std::map<EndpointGroup, std::uint32_t> last;
    for (std::size_t index = 0; index < platform.orders().size(); ++index) {
        const ScaleOrder& order = platform.orders()[index].second;
        cr_assert(index < firstMinute || !last.contains(order.group) || order.count < last[order.group]);
        last[order.group] = order.count;
    }
    cr_assert(platform.late() == 0, "%zu late", platform.late());
}

// Guards against work that ends late, or endpoints that are missing for long, because a data centre loses all its spot
// endpoints and spot endpoints are unavailable for a while.
Test(ScalingPlay, spotEndpointsWithdrawn_replacedOnDemandAtOnce_stepEndsInTime)
{
    Platform platform;
    playSteps(platform, 2);
    const auto largest = *std::max_element(dataCentres.begin(), dataCentres.end(), [&](const auto& a, const auto& b) { return platform.spotIn(a) < platform.spotIn(b); });
    cr_assert(platform.spotIn(largest) > 0);
    const std::size_t before = platform.orders().size();
    platform.submit(300, 3s, 15s);
    platform.play(2s);
    const TimePoint withdrawnAt = platform.now();
    platform.withdraw(largest);
    platform.play(13s);
    cr_assert(platform.late() == 0 && platform.unfinished() == 0);
    cr_assert(platform.orders().size() > before);
    const auto& [orderedAt, order] = platform.orders()[before];
    cr_assert(order.group.kind == EndpointKind::OnDemand);
    cr_assert(orderedAt - withdrawnAt <= 1s);
    cr_assert(platform.refusals() == 0);
    playSteps(platform, 2);
    cr_assert(platform.late() == 0);
}

// Guards against a data centre that refuses and is asked again and again, while others have endpoints.
Test(ScalingPlay, dataCentreRefuses_othersAreOrderedAtOnce)
{
    Platform platform;
    platform.refuse(dataCentres[1]);
    platform.refuse(dataCentres[2]);
    playSteps(platform, 4);
    cr_assert(platform.late() == 0, "%zu late", platform.late());
    cr_assert(platform.refusals() > 0);
    // The pause after a refusal doubles from 3 s, so each of the four groups is asked at 0, 3, 9, 21 and 45 s at most.
    cr_assert(platform.refusals() <= 20, "%zu refusals in a minute", platform.refusals());
}

// Guards against a new leader that reorders what the earlier one ordered, removes endpoints, or does not repeat the order
// that may not have been sent.
Test(ScalingPlay, leaderChangesAfterRecordingAnOrder_sameNumberIsOrdered)
{
    Platform platform;
    platform.play(1s);
    platform.submit(300, 3s, 15s);
    platform.loseNextOrder();
    platform.play(500ms);
    cr_assert(platform.orders().empty());
    platform.changeLeader();
    platform.play(600ms);
    cr_assert(!platform.orders().empty());
    const ScaleOrder repeated = platform.orders().front().second;
    platform.play(13s);
    cr_assert(platform.late() == 0 && platform.unfinished() == 0);
    const std::size_t before = platform.orders().size();
    platform.changeLeader();
    platform.play(20s);
    cr_assert(platform.orders().size() == before, "%zu more orders", platform.orders().size() - before);
    cr_assert(repeated.count > 0);
}

// Guards against a need that is forgotten as a whole when the highest one is older than a minute.
Test(ScalingHistory, highestDemandExpires_nextHighestCounts)
{
    const TimePoint begin { 100s };
    ScalingHistory history;
    history.start({}, begin);
    history.recordDemand(name, 9, begin);
    history.recordDemand(name, 7, begin + 40s);
    history.recordDemand(name, 2, begin + 50s);
    ServiceState state;
    state.name = name;
    history.describe(state, begin + 60s);
    cr_assert(state.recentDemand == 9);
    history.describe(state, begin + 61s);
    cr_assert(state.recentDemand == 7);
    history.describe(state, begin + 101s);
    cr_assert(state.recentDemand == 2);
}

// Guards against endpoints that leave because fewer were ordered and are taken for withdrawn ones, after which no spot
// endpoints would be ordered anywhere.
Test(ScalingHistory, fewerSpotEndpointsOrdered_leavingOnesAreNoWithdrawal)
{
    const ScalingRules rules { 0, 10, 4s, 0.18, { { dataCentres[0], 1.0 } } };
    const EndpointGroup spot { name, dataCentres[0], EndpointKind::Spot };
    TimePoint now { 100s };
    ScalingHistory history;
    history.start({}, now);
    history.observe(spot, { 5, 0, 0, false }, rules, now);
    history.recordOrder({ spot, 3 }, now);
    history.recordOutcome({ spot, 3 }, OrderOutcome::Accepted, now);
    history.observe(spot, { 3, 0, 2, true }, rules, now + 1s);
    ServiceState state;
    state.name = name;
    state.rules = rules;
    history.describe(state, now + 1s);
    cr_assert(!state.groups.at(spot).isBlocked);
    history.observe(spot, { 2, 0, 3, true }, rules, now + 2s);
    history.describe(state, now + 2s);
    cr_assert(state.groups.at(spot).isBlocked);
}

// Guards against a number of endpoints outside the limits in any order, also under a load that no number can meet.
Test(ScalingPlay, loadBeyondLimits_ordersStayWithinThem)
{
    Platform platform;
    for (int wave = 0; wave < 4; ++wave) {
        platform.submit(5000, 5s, 15s);
        platform.play(15s);
        for (const DataCentreName& dataCentre : dataCentres) {
            const std::uint32_t total = platform.spotIn(dataCentre) + platform.serving({ name, dataCentre, EndpointKind::OnDemand });
            cr_assert(total >= platform.rules().minimum && total <= platform.rules().maximum);
        }
    }
    cr_assert(platform.orders().size() <= maxOrdersPerMinute);
}
