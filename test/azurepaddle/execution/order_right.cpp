#include "azurepaddle/execution/order_right.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::execution;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };
constexpr Duration lease = 3s;

registry::OrderRecord record(const std::string& holder, bool isOpen, std::uint64_t changes)
{
    return { { holder, 4 }, isOpen, changes };
}

}

// Guards against orders of two holders within one lease: while the window is recorded as open, the earlier holder may
// have sent orders until its successor was elected.
Test(OrderRight, windowOpen_successorWaitsFromItsElection)
{
    OrderRight right(lease);
    right.observe(record("a", true, 1), start);
    right.onElected(start + 5s);
    cr_assert(!right.mayClaim("b", start + 5s + lease));
    cr_assert(right.mayClaim("b", start + 5s + lease + 600ms));
}

// Guards against a successor that delays loads by seconds after a change of leader, although the earlier holder closed
// its window long before.
Test(OrderRight, windowClosed_successorWaitsFromClosing)
{
    OrderRight right(lease);
    right.observe(record("a", true, 1), start);
    right.observe(record("a", false, 2), start + 1s);
    right.observe(record("a", false, 2), start + 3s);
    right.onElected(start + 3s);
    cr_assert(!right.mayClaim("b", start + 1s + lease));
    cr_assert(right.mayClaim("b", start + 1s + lease + 200ms));
}

// Guards against an instance that claims the right too early after a restart: when it replays the record from its log,
// the orders before the record may still be recent.
Test(OrderRight, recordReadAfterRestart_waitsFromFirstObservation)
{
    OrderRight right(lease);
    right.observe(record("a", false, 7), start);
    right.onElected(start);
    cr_assert(!right.mayClaim("b", start + lease));
    cr_assert(right.mayClaim("b", start + lease + 200ms));
}

// Guards against waiting for a lease when no other holder can have orders in flight.
Test(OrderRight, noOtherHolder_mayClaimImmediately)
{
    OrderRight right(lease);
    right.onElected(start);
    cr_assert(right.mayClaim("b", start));
    right.observe(record("b", true, 1), start);
    cr_assert(right.mayClaim("b", start));
}
