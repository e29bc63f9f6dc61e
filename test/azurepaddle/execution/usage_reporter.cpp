#include "azurepaddle/execution/usage_reporter.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::execution;
using namespace std::chrono_literals;

// Guards against a window that is sealed before the reports of the entries have arrived, and against one that is skipped
// or sealed twice after a change of the leader.
Test(UsageReporter, windows_areSealedInOrderAfterTheDelay)
{
    const UsageOptions options { 5s, 4s };
    registry::UsageLedger ledger;
    const auto at = [](std::chrono::milliseconds sinceEpoch) { return WallTime(sinceEpoch); };
    cr_assert(!nextWindowToSeal(ledger, 10, at(58'999ms), options));
    cr_assert(nextWindowToSeal(ledger, 10, at(59'000ms), options) == 10U);
    ledger.seal(10);
    cr_assert(!nextWindowToSeal(ledger, 3, at(63'999ms), options));
    cr_assert(nextWindowToSeal(ledger, 30, at(200'000ms), options) == 11U);
}
