#include "azurepaddle/http1/body_budget.hpp"

#include <criterion/criterion.h>
#include <optional>

using namespace azurepaddle;
using namespace azurepaddle::http1;

namespace {

constexpr auto stallTime = std::chrono::seconds(2);
constexpr TimePoint start {};

/// A budget of 100 bytes, of which a client may hold 75, with a reserve of 20 for bodies of at most 10 and 50 for answers.
struct BudgetFixture {
    std::shared_ptr<BodyBudget> budget = std::make_shared<BodyBudget>(BodyBudgetLimits { 100, 75, 10, 20, 50, stallTime, 5 });

    [[nodiscard]] std::unique_ptr<BodyShare> open(const std::string& client) const
    {
        return std::make_unique<BodyShare>(budget, client, [] {});
    }
};

/// A transfer that gives its room back when it is closed.
struct Transfer {
    std::optional<BodyShare> share;
    bool isClosed = false;

    Transfer(const BudgetFixture& fixture, const std::string& client, std::size_t bytes, TimePoint now)
    {
        share.emplace(fixture.budget, client, [this] {
            isClosed = true;
            share.reset();
        });
        cr_assert(share->resize(bytes, now));
    }
};

}

// Guards against bodies that are read although all of them together exceed the budget.
Test(BodyBudget, bodiesOfAllClients_beyondTotal_areRefused)
{
    const BudgetFixture fixture;
    const auto first = fixture.open("a");
    const auto second = fixture.open("b");
    cr_assert(first->resize(60, start));
    cr_assert(!second->resize(41, start));
    cr_assert(second->bytes() == 0);
    cr_assert(second->resize(40, start));
    cr_assert(fixture.budget->requestBytes() == 100);
    cr_assert(fixture.budget->counts().refusedBodies == 1);
}

// Guards against one client that takes the room of all others.
Test(BodyBudget, bodiesOfOneClient_beyondItsPart_areRefusedAndOthersServed)
{
    const BudgetFixture fixture;
    const auto first = fixture.open("a");
    const auto second = fixture.open("a");
    const auto other = fixture.open("b");
    cr_assert(first->resize(60, start));
    cr_assert(!second->resize(16, start));
    cr_assert(other->resize(16, start));
}

// Guards against ordinary small requests that are refused because large bodies fill the budget.
Test(BodyBudget, budgetIsFull_smallBody_usesReserve)
{
    const BudgetFixture fixture;
    const auto first = fixture.open("a");
    const auto second = fixture.open("b");
    cr_assert(first->resize(60, start));
    cr_assert(second->resize(40, start));
    first->complete();
    second->complete();
    const auto small = fixture.open("a");
    const auto large = fixture.open("a");
    cr_assert(small->resize(10, start));
    cr_assert(!large->resize(11, start));
    cr_assert(fixture.budget->reservedBytes() == 10);
}

// Guards against room that stays occupied after a body that grew out of the reserve, or after its end.
Test(BodyBudget, bodyGrowsOutOfReserve_andEnds_givesAllRoomBack)
{
    const BudgetFixture fixture;
    auto large = fixture.open("a");
    auto growing = fixture.open("a");
    cr_assert(large->resize(75, start));
    cr_assert(growing->resize(5, start));
    cr_assert(fixture.budget->reservedBytes() == 5);
    large.reset();
    cr_assert(growing->resize(20, start));
    cr_assert(fixture.budget->reservedBytes() == 0);
    cr_assert(fixture.budget->requestBytes() == 20);
    growing.reset();
    cr_assert(fixture.budget->requestBytes() == 0);
}

// Guards against unfinished bodies that block all others, and against the end of transfers that make progress.
Test(BodyBudget, budgetIsFull_stalledTransfers_areClosedLongestFirst)
{
    const BudgetFixture fixture;
    Transfer oldest(fixture, "a", 40, start);
    Transfer old(fixture, "b", 30, start + std::chrono::milliseconds(1));
    Transfer active(fixture, "c", 30, start);
    active.share->recordProgress(5, start + stallTime);
    const auto next = fixture.open("d");
    cr_assert(next->resize(20, start + stallTime + std::chrono::milliseconds(1)));
    cr_assert(oldest.isClosed);
    cr_assert(!old.isClosed);
    cr_assert(!active.isClosed);
    cr_assert(fixture.budget->counts().closedBodies == 1);
}

// Guards against clients that keep their room by sending a byte now and then.
Test(BodyBudget, transferDrips_roomNeeded_countsAsStalled)
{
    const BudgetFixture fixture;
    Transfer dripping(fixture, "a", 70, start);
    dripping.share->recordProgress(1, start + stallTime);
    const auto next = fixture.open("b");
    cr_assert(next->resize(70, start + stallTime));
    cr_assert(dripping.isClosed);
}

// Guards against transfers that are closed although the new body finds no room even so.
Test(BodyBudget, stalledTransfersTooSmall_bodyIsRefused_noneIsClosed)
{
    const BudgetFixture fixture;
    const auto running = fixture.open("a");
    cr_assert(running->resize(70, start));
    running->complete();
    Transfer stalled(fixture, "b", 20, start);
    const auto next = fixture.open("c");
    cr_assert(!next->resize(40, start + stallTime));
    cr_assert(!stalled.isClosed);
}

// Guards against requests in progress that are closed: whether they ran would be unknown.
Test(BodyBudget, completeBody_roomNeeded_isNotClosed)
{
    const BudgetFixture fixture;
    Transfer complete(fixture, "a", 70, start);
    complete.share->complete();
    const auto next = fixture.open("b");
    cr_assert(!next->resize(70, start + 10 * stallTime));
    cr_assert(!complete.isClosed);
}

// Guards against small unfinished bodies that fill the reserve, from which ordinary requests are then refused.
Test(BodyBudget, reserveIsFullOfUnfinishedBodies_smallBody_replacesOldest)
{
    const BudgetFixture fixture;
    const auto first = fixture.open("a");
    const auto second = fixture.open("b");
    cr_assert(first->resize(60, start));
    cr_assert(second->resize(40, start));
    first->complete();
    second->complete();
    Transfer one(fixture, "a", 10, start);
    Transfer two(fixture, "a", 10, start + std::chrono::milliseconds(1));
    const auto small = fixture.open("c");
    cr_assert(small->resize(10, start + std::chrono::milliseconds(1)));
    cr_assert(one.isClosed);
    cr_assert(!two.isClosed);
}

// Guards against small requests in progress that are closed for the sake of others.
Test(BodyBudget, reserveIsFullOfCompleteBodies_smallBody_isRefused)
{
    const BudgetFixture fixture;
    const auto first = fixture.open("a");
    const auto second = fixture.open("b");
    cr_assert(first->resize(60, start));
    cr_assert(second->resize(40, start));
    first->complete();
    second->complete();
    Transfer one(fixture, "a", 10, start);
    Transfer two(fixture, "a", 10, start);
    one.share->complete();
    two.share->complete();
    const auto small = fixture.open("c");
    cr_assert(!small->resize(10, start + 10 * stallTime));
    cr_assert(!one.isClosed);
    cr_assert(!two.isClosed);
}

// Guards against answers that slow readers leave unread without a bound.
Test(BodyBudget, answersBeyondBudget_slowestReader_isClosed)
{
    const BudgetFixture fixture;
    int closedSlow = 0;
    int closedFast = 0;
    AnswerShare slow(fixture.budget, [&] { ++closedSlow; });
    AnswerShare fast(fixture.budget, [&] { ++closedFast; });
    slow.add(30, start);
    fast.add(20, start);
    fast.recordProgress(start + stallTime);
    fast.add(10, start + stallTime);
    cr_assert(closedSlow == 1);
    cr_assert(closedFast == 0);
    cr_assert(fixture.budget->answerBytes() == 30);
    fast.remove(30);
    cr_assert(fixture.budget->answerBytes() == 0);
}

// Guards against a body that is decoded although the memory for its decoded form is in use.
Test(BodyBudget, decodedFormBeyondRoom_isRefusedAndCounted)
{
    const auto budget = std::make_shared<BodyBudget>(BodyBudgetLimits { 100, 100, 0, 0, 50, stallTime, 5, 120 });
    BodyShare share(budget, "a", [] {});
    cr_assert(share.resize(60, start));
    AnswerShare answer(budget, [] {});
    answer.add(20, start);
    cr_assert(share.mayDecode(40));
    cr_assert(!share.mayDecode(41));
    cr_assert(budget->counts().refusedBodies == 1);
}
