#include "azurepaddle/scaling/plan.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace azurepaddle::scaling {

namespace {

    using Counts = std::map<EndpointGroup, std::uint32_t>;

    // An increase goes beyond the need by this factor, so that a slightly higher load needs no order of its own.
    constexpr double increaseHeadroom = 1.1;
    // Endpoints are removed only while so many times the need remain.
    constexpr double decreaseHeadroom = 1.25;
    // A plan removes at most this share of the endpoints, because the load may return.
    constexpr std::uint32_t maxDecreaseDivisor = 4;
    // Time from the end of the boot to the first item: a heartbeat, and an order to load the current weights.
    constexpr Duration readyDelay = std::chrono::milliseconds(1500);
    // Orders kept for increases when endpoints are removed.
    constexpr std::uint32_t ordersForIncreases = maxOrdersPerMinute / 2;

    std::uint32_t scaled(std::uint32_t count, double factor)
    {
        return static_cast<std::uint32_t>(std::ceil(count * factor));
    }

    std::uint32_t sum(const Counts& counts)
    {
        std::uint32_t total = 0;
        for (const auto& [group, count] : counts)
            total += count;
        return total;
    }

    std::uint32_t mostSpot(const Counts& counts)
    {
        std::uint32_t most = 0;
        for (const auto& [group, count] : counts)
            most = std::max(most, group.kind == EndpointKind::Spot ? count : 0);
        return most;
    }

    /// Returns the number of endpoints that remain if the data centre with most spot endpoints loses them.
    std::uint32_t surviving(const Counts& counts)
    {
        return sum(counts) - mostSpot(counts);
    }

    /// Plans for one service, with the state of its groups as far as the plan has got.
    class Planner {
    public:
        explicit Planner(const ServiceState& service)
            : m_service(service)
            , m_groups(service.groups)
        {
            for (const auto& [dataCentre, price] : service.rules.prices) {
                m_groups[groupOf(dataCentre, EndpointKind::OnDemand)];
                m_groups[groupOf(dataCentre, EndpointKind::Spot)];
            }
            for (const auto& [group, state] : m_groups) {
                m_expected[group] = state.expected();
                m_serving[group] = state.serving;
            }
            m_target = m_expected;
        }

        [[nodiscard]] ScalingPlan plan()
        {
            m_plan.neededNow = endpointsNeeded();
            m_plan.needed = std::min(m_plan.neededNow, m_service.sustainedNeed);
            m_plan.expected = sum(m_expected);
            m_plan.surviving = surviving(m_expected);
            if (!hasUnanswered())
                decide();
            else
                repeatUnanswered();
            if (m_plan.orders.size() > m_service.ordersLeft)
                m_plan.orders.resize(m_service.ordersLeft);
            return std::move(m_plan);
        }

    private:
        void decide()
        {
            reduceToMaximum();
            raiseToMinimum();
            const std::uint32_t needed = std::max(m_plan.needed, m_service.recentDemand);
            OrderReason reason = OrderReason::Minimum;
            if (surviving(m_target) < needed && m_service.mayIncrease) {
                reason = sum(m_target) >= needed ? OrderReason::Loss : OrderReason::Load;
                increase(scaled(needed, increaseHeadroom));
            }
            addIncreases(reason);
            if (m_plan.orders.empty() && m_service.mayDecrease && m_service.ordersLeft > ordersForIncreases)
                decrease(std::max(scaled(needed, decreaseHeadroom), m_service.reserved));
        }

        /// The work is planned for the endpoints that remain after a loss.
        [[nodiscard]] std::uint32_t endpointsNeeded() const
        {
            const std::uint32_t each = std::max(m_service.slotsPerEndpoint, 1U);
            const std::uint32_t serving = surviving(m_serving);
            const std::uint32_t expected = std::max(surviving(m_expected), serving);
            const Slots slots { serving * each, (expected - serving) * each, m_service.bootLeft + readyDelay, m_service.rules.bootTime + readyDelay };
            return (slotsNeeded(m_service.work, slots) + each - 1) / each;
        }

        [[nodiscard]] EndpointGroup groupOf(const DataCentreName& dataCentre, EndpointKind kind) const
        {
            return { m_service.name, dataCentre, kind };
        }

        [[nodiscard]] double priceOf(const EndpointGroup& group) const
        {
            const double price = m_service.rules.prices.at(group.dataCentre);
            return group.kind == EndpointKind::Spot ? price * m_service.rules.spotPrice.value_or(1) : price;
        }

        /// Whether endpoints may be added to a group.
        [[nodiscard]] bool isAvailable(const EndpointGroup& group) const
        {
            const GroupState& state = m_groups.at(group);
            if (state.isBlocked)
                return false;
            // Spot endpoints that leave are being withdrawn, with all others of their data centre.
            return group.kind == EndpointKind::OnDemand || (m_service.rules.spotPrice && state.leaving == 0);
        }

        [[nodiscard]] std::uint32_t totalIn(const DataCentreName& dataCentre, const Counts& counts) const
        {
            return counts.at(groupOf(dataCentre, EndpointKind::OnDemand)) + counts.at(groupOf(dataCentre, EndpointKind::Spot));
        }

        /// Returns how many endpoints a data centre may have in addition. Endpoints that leave count until they are gone.
        [[nodiscard]] std::uint32_t roomIn(const DataCentreName& dataCentre, const Counts& counts) const
        {
            std::uint32_t present = 0;
            for (const EndpointKind kind : { EndpointKind::OnDemand, EndpointKind::Spot }) {
                const EndpointGroup group = groupOf(dataCentre, kind);
                const GroupState& state = m_groups.at(group);
                present += std::max(counts.at(group), state.serving) + state.leaving;
            }
            return m_service.rules.maximum - std::min(present, m_service.rules.maximum);
        }

        /// Returns how many endpoints can be added to a group.
        [[nodiscard]] std::uint32_t roomOf(const EndpointGroup& group, const Counts& counts) const
        {
            if (!isAvailable(group))
                return 0;
            const std::uint32_t added = counts.at(group) - std::min(counts.at(group), m_expected.at(group));
            const std::uint32_t limit = m_groups.at(group).maxIncrease.value_or(std::numeric_limits<std::uint32_t>::max());
            return std::min(roomIn(group.dataCentre, counts), limit - std::min(limit, added));
        }

        /// Returns the groups of a kind in which endpoints may be ordered, the cheapest first.
        [[nodiscard]] std::vector<EndpointGroup> byPrice(EndpointKind kind) const
        {
            std::vector<EndpointGroup> groups;
            for (const auto& [dataCentre, price] : m_service.rules.prices)
                groups.push_back(groupOf(dataCentre, kind));
            std::stable_sort(groups.begin(), groups.end(), [this](const EndpointGroup& a, const EndpointGroup& b) { return priceOf(a) < priceOf(b); });
            return groups;
        }

        [[nodiscard]] double priceOf(const Counts& counts) const
        {
            double price = 0;
            for (const auto& [group, count] : counts) {
                if (m_service.rules.prices.contains(group.dataCentre))
                    price += count * priceOf(group);
            }
            return price;
        }

        /// Returns the cheapest additions with at most this many spot endpoints in each data centre so that as many
        /// endpoints as needed remain after a loss, or as many as there is room for.
        [[nodiscard]] Counts addUpTo(std::uint32_t maxSpot, std::uint32_t needed) const
        {
            Counts counts = m_target;
            for (const EndpointGroup& group : byPrice(EndpointKind::Spot)) {
                const std::uint32_t total = sum(counts);
                const std::uint32_t present = counts.at(group);
                if (total >= needed + maxSpot || present >= maxSpot)
                    continue;
                counts[group] += std::min({ needed + maxSpot - total, maxSpot - present, roomOf(group, counts) });
            }
            for (const EndpointGroup& group : byPrice(EndpointKind::OnDemand)) {
                const std::uint32_t remaining = surviving(counts);
                if (remaining < needed)
                    counts[group] += std::min(needed - remaining, roomOf(group, counts));
            }
            return counts;
        }

        void increase(std::uint32_t needed)
        {
            Counts best = m_target;
            const std::uint32_t first = mostSpot(m_target);
            for (std::uint32_t maxSpot = first; maxSpot <= std::max(m_service.rules.maximum, first); ++maxSpot) {
                Counts counts = addUpTo(maxSpot, needed);
                const std::uint32_t remaining = std::min(surviving(counts), needed);
                const std::uint32_t bestRemaining = std::min(surviving(best), needed);
                if (remaining > bestRemaining || (remaining == bestRemaining && priceOf(counts) < priceOf(best)))
                    best = std::move(counts);
            }
            m_target = std::move(best);
        }

        /// Orders what the target has in addition, the largest addition first.
        void addIncreases(OrderReason reason)
        {
            std::vector<PlannedOrder> orders;
            for (const auto& [group, count] : m_target) {
                const GroupState& state = m_groups.at(group);
                if (count > m_expected.at(group))
                    orders.push_back({ { group, std::max(count, state.serving) + state.leaving }, reason });
            }
            std::stable_sort(orders.begin(), orders.end(), [this](const PlannedOrder& a, const PlannedOrder& b) { return additionOf(a) > additionOf(b); });
            m_plan.orders.insert(m_plan.orders.end(), orders.begin(), orders.end());
        }

        [[nodiscard]] std::uint32_t additionOf(const PlannedOrder& planned) const
        {
            return m_target.at(planned.order.group) - m_expected.at(planned.order.group);
        }

        /// The minimum consists of on-demand endpoints where possible, because they stay.
        void raiseToMinimum()
        {
            for (const auto& [dataCentre, price] : m_service.rules.prices) {
                for (const EndpointKind kind : { EndpointKind::OnDemand, EndpointKind::Spot }) {
                    const std::uint32_t total = totalIn(dataCentre, m_target);
                    const EndpointGroup group = groupOf(dataCentre, kind);
                    if (total < m_service.rules.minimum)
                        m_target[group] += std::min(m_service.rules.minimum - total, roomOf(group, m_target));
                }
            }
        }

        /// Whether an endpoint of a group may be removed. Which one leaves is not known beforehand, so none is removed below
        /// the number of those that run items.
        [[nodiscard]] bool isRemovable(const EndpointGroup& group) const
        {
            const GroupState& state = m_groups.at(group);
            return !state.ordered && state.leaving == 0 && m_target.at(group) > state.busy;
        }

        void reduceToMaximum()
        {
            for (const auto& [dataCentre, price] : m_service.rules.prices) {
                for (const EndpointKind kind : { EndpointKind::OnDemand, EndpointKind::Spot }) {
                    const EndpointGroup group = groupOf(dataCentre, kind);
                    const std::uint32_t before = m_target.at(group);
                    while (totalIn(dataCentre, m_target) > m_service.rules.maximum && isRemovable(group))
                        --m_target[group];
                    if (m_target.at(group) < before)
                        m_plan.orders.push_back({ { group, m_target.at(group) }, OrderReason::Maximum });
                }
            }
        }

        void decrease(std::uint32_t kept)
        {
            std::vector<EndpointGroup> groups = byPrice(EndpointKind::OnDemand);
            const std::vector<EndpointGroup> spot = byPrice(EndpointKind::Spot);
            groups.insert(groups.end(), spot.begin(), spot.end());
            std::stable_sort(groups.begin(), groups.end(), [this](const EndpointGroup& a, const EndpointGroup& b) { return priceOf(a) > priceOf(b); });
            std::uint32_t left = std::max(1U, sum(m_target) / maxDecreaseDivisor);
            for (const EndpointGroup& group : groups) {
                const std::uint32_t before = m_target.at(group);
                while (left > 0 && mayRemove(group, kept)) {
                    --m_target[group];
                    --left;
                }
                if (m_target.at(group) < before)
                    m_plan.orders.push_back({ { group, m_target.at(group) }, OrderReason::Idle });
            }
        }

        [[nodiscard]] bool mayRemove(const EndpointGroup& group, std::uint32_t kept) const
        {
            if (!isRemovable(group) || totalIn(group.dataCentre, m_target) <= m_service.rules.minimum)
                return false;
            Counts counts = m_target;
            --counts[group];
            return surviving(counts) >= kept;
        }

        [[nodiscard]] bool hasUnanswered() const
        {
            return std::any_of(m_groups.begin(), m_groups.end(), [](const auto& entry) { return entry.second.isUnanswered; });
        }

        /// Repeats orders that may not have arrived. Nothing else is ordered before they are answered.
        void repeatUnanswered()
        {
            for (const auto& [group, state] : m_groups) {
                if (state.isUnanswered && state.mayRepeat && state.ordered)
                    m_plan.orders.push_back({ { group, *state.ordered }, OrderReason::Repeat });
            }
        }

        const ServiceState& m_service;
        std::map<EndpointGroup, GroupState> m_groups;
        Counts m_expected;
        Counts m_serving;
        Counts m_target;
        ScalingPlan m_plan;
    };

}

std::uint32_t GroupState::expected() const
{
    if (!ordered)
        return serving;
    return *ordered < serving ? *ordered : std::max(serving, *ordered - std::min(*ordered, leaving));
}

std::string_view nameOf(OrderReason reason)
{
    switch (reason) {
    case OrderReason::Repeat:
        return "repeat";
    case OrderReason::Minimum:
        return "minimum";
    case OrderReason::Load:
        return "load";
    case OrderReason::Loss:
        return "loss";
    case OrderReason::Idle:
        return "idle";
    case OrderReason::Maximum:
        break;
    }
    return "maximum";
}

ScalingPlan planScaling(const ServiceState& service)
{
    return Planner(service).plan();
}

}
