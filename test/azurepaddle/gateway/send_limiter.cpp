#include "azurepaddle/gateway/send_limiter.hpp"
#include "azurepaddle/registry/permit_table.hpp"

#include <criterion/criterion.h>
#include <deque>

using namespace azurepaddle;
using namespace azurepaddle::gateway;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };
const registry::EndpointIncarnation endpoint { EndpointId("a"), 1 };

/// Instances that send to one limited endpoint in virtual time, and the leaders that grant them permits.
struct InstancesFixture {
    explicit InstancesFixture(std::size_t count, double endpointLimit = 1)
        : limit(endpointLimit)
    {
        for (std::size_t i = 0; i < count; ++i)
            add();
    }

    /// Adds an instance that has learnt the limit.
    void add()
    {
        const std::string name = "instance " + std::to_string(limiters.size());
        const std::size_t index = limiters.size();
        const auto requester = [this, index](const registry::PermitRequest& request, TimePoint, const PermitCallback& onReply) {
            const bool isReached = hasLeader && !cutOff.contains(index);
            onReply(isReached ? std::optional(leader.request(request, now)) : std::nullopt, now);
        };
        limiters.push_back(std::make_unique<SendLimiter>(name, requester, random));
        limiters.back()->recordAnswer(endpoint, limit, now, now);
    }

    /// Lets time pass in steps of 10 ms. In each second, all instances together want to send `demand` requests.
    void run(Duration duration, double demand)
    {
        const double probability = demand / 100 / static_cast<double>(limiters.size());
        for (const TimePoint end = now + duration; now < end; now += 10ms) {
            for (std::size_t i = 0; i < limiters.size(); ++i) {
                if (!stopped.contains(i) && random.uniform() < probability)
                    send(*limiters[i]);
            }
            while (!recent.empty() && now - recent.front() > 4s)
                recent.pop_front();
            mostInFourSeconds = std::max(mostInFourSeconds, recent.size());
        }
    }

    void send(SendLimiter& limiter)
    {
        if (limiter.blocked(now).contains(endpoint.id))
            return;
        limiter.acquire(endpoint, now, now + 1s, [&](bool isGranted) {
            if (!isGranted)
                return;
            ++sent;
            recent.push_back(now);
            limiter.recordAnswer(endpoint, limit, now, now);
        });
    }

    /// What all instances together may send in 4 s.
    [[nodiscard]] std::size_t allowance() const { return static_cast<std::size_t>(1.5 * 4 * limit + 5); }

    double limit;
    TimePoint now = start;
    Random random { 7 };
    registry::PermitTable leader;
    bool hasLeader = true;
    std::set<std::size_t> cutOff; ///< Instances that do not reach the leader.
    std::set<std::size_t> stopped; ///< Instances that send nothing at present.
    std::vector<std::unique_ptr<SendLimiter>> limiters;
    std::deque<TimePoint> recent; ///< Requests of the last 4 s.
    std::size_t mostInFourSeconds = 0;
    std::size_t sent = 0;
};

}

// Guards against each instance using the limit for itself.
Test(SendLimiter, nineInstances_sendTogether_withinLimit)
{
    InstancesFixture fixture(9);
    fixture.run(120s, 30);
    cr_assert(fixture.mostInFourSeconds <= fixture.allowance(), "%zu requests in 4 s", fixture.mostInFourSeconds);
    cr_assert(fixture.sent >= 90, "%zu requests in 120 s at 1 per second", fixture.sent);
}

// Guards against a limit that only few instances keep together, and against instances that get no share because there
// are many.
Test(SendLimiter, sixtyFiveInstances_sendTogether_withinLimitAndUseIt)
{
    for (const double limit : { 0.5, 1.0, 7.3 }) {
        InstancesFixture fixture(65, limit);
        fixture.run(120s, 200);
        cr_assert(fixture.mostInFourSeconds <= fixture.allowance(), "%zu requests in 4 s at %g per second", fixture.mostInFourSeconds, limit);
        cr_assert(static_cast<double>(fixture.sent) >= 0.75 * 120 * limit, "%zu requests in 120 s at %g per second", fixture.sent, limit);
    }
}

// Guards against a change of the leader that doubles what is sent.
Test(SendLimiter, leaderReplacedAgainAndAgain_withinLimit)
{
    InstancesFixture fixture(65);
    for (int change = 0; change < 30; ++change) {
        fixture.run(3s, 100);
        fixture.hasLeader = false;
        fixture.run(1s, 100);
        fixture.leader.clear();
        fixture.hasLeader = true;
    }
    cr_assert(fixture.mostInFourSeconds <= fixture.allowance(), "%zu requests in 4 s", fixture.mostInFourSeconds);
}

// Guards against a lost leader that stops all requests to limited endpoints, and against instances that then send
// without a limit.
Test(SendLimiter, noLeader_instancesUseTheirShares)
{
    InstancesFixture fixture(65);
    fixture.run(10s, 200);
    fixture.hasLeader = false;
    fixture.sent = 0;
    fixture.run(120s, 200);
    cr_assert(fixture.mostInFourSeconds <= fixture.allowance(), "%zu requests in 4 s", fixture.mostInFourSeconds);
    cr_assert(fixture.sent >= 30, "%zu requests in 120 s without a leader", fixture.sent);
}

// Guards against instances that cannot reach the leader and send beside those that can.
Test(SendLimiter, someInstancesCutOff_allTogether_withinLimit)
{
    InstancesFixture fixture(65);
    fixture.run(10s, 200);
    for (std::size_t i = 0; i < 20; ++i)
        fixture.cutOff.insert(i);
    fixture.run(120s, 200);
    cr_assert(fixture.mostInFourSeconds <= fixture.allowance(), "%zu requests in 4 s", fixture.mostInFourSeconds);
}

// Guards against a share that moves with the instances: those that come bring no permits, those that stop leave theirs.
Test(SendLimiter, instancesComeAndStop_withinLimitAndUseIt)
{
    InstancesFixture fixture(9);
    for (std::size_t round = 0; round < 20; ++round) {
        fixture.add();
        fixture.stopped.insert(round);
        fixture.run(5s, 60);
    }
    cr_assert(fixture.mostInFourSeconds <= fixture.allowance(), "%zu requests in 4 s", fixture.mostInFourSeconds);
    cr_assert(fixture.sent >= 70, "%zu requests in 100 s at 1 per second", fixture.sent);
}

namespace {

registry::EndpointRecord record(std::uint64_t startedMs)
{
    registry::EndpointRecord result;
    result.id = endpoint.id;
    result.startedMs = startedMs;
    return result;
}

}

// Guards against a limit that outlives its naming or its endpoint, and against an answer from before that ends it.
Test(SendLimiter, limitNamed_holdsUntilLaterAnswerWithout)
{
    InstancesFixture fixture(1);
    SendLimiter& limiter = *fixture.limiters.front();
    cr_assert(limiter.isLimited(record(1)));
    cr_assert(!limiter.isLimited(record(2)));
    limiter.recordAnswer(endpoint, std::nullopt, fixture.now - 1s, fixture.now + 1s);
    cr_assert(limiter.isLimited(record(1)));
    limiter.recordAnswer(endpoint, std::nullopt, fixture.now + 1s, fixture.now + 2s);
    cr_assert(!limiter.isLimited(record(1)) && limiter.limited().empty());
}
