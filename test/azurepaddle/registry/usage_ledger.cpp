#include "azurepaddle/registry/state_machine.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::registry;

namespace {

UsageReport report(const std::string& process, UsageWindow window, const UsageCounts& counts)
{
    return { process, { { window, counts } } };
}

}

// Guards against requests that are counted twice because a report is repeated, and against counts that decrease because an
// older report arrives late.
Test(UsageLedger, reportsRepeatedAndReordered_sealed_countOnce)
{
    UsageLedger ledger;
    ledger.record(report("a", 7, { { "blue", 2 } }));
    ledger.record(report("b", 7, { { "blue", 1 }, { "red", 4 } }));
    ledger.record(report("a", 7, { { "blue", 3 } }));
    ledger.record(report("a", 7, { { "blue", 2 } }));
    cr_assert(ledger.oldestOpen() == 7U);
    ledger.seal(7);
    cr_assert(ledger.oldestUnconfirmed() == WindowUsage({ 7, { { "blue", 4 }, { "red", 4 } } }));
}

// Guards against two reports of one window with different counts.
Test(UsageLedger, windowSealed_laterReportsAndSeals_changeNothing)
{
    UsageLedger ledger;
    ledger.record(report("a", 7, { { "blue", 2 } }));
    ledger.seal(7);
    ledger.record(report("a", 7, { { "blue", 5 } }));
    ledger.record(report("b", 6, { { "blue", 5 } }));
    ledger.seal(7);
    ledger.seal(6);
    cr_assert(ledger.oldestUnconfirmed() == WindowUsage({ 7, { { "blue", 2 } } }));
    cr_assert(!ledger.oldestOpen());
    ledger.confirm(7);
    ledger.seal(7);
    cr_assert(!ledger.oldestUnconfirmed());
}

// Guards against a window that is never reported, and against an empty one that is skipped.
Test(UsageLedger, windows_sealedInOrder_noneIsSkipped)
{
    UsageLedger ledger;
    ledger.record(report("a", 9, { { "blue", 1 } }));
    ledger.seal(7);
    ledger.seal(9);
    cr_assert(ledger.newestSealed() == 7U);
    ledger.seal(8);
    ledger.seal(9);
    cr_assert(ledger.unconfirmed() == 3);
    cr_assert(ledger.oldestUnconfirmed() == WindowUsage({ 7, {} }));
    ledger.confirm(7);
    ledger.confirm(8);
    cr_assert(ledger.oldestUnconfirmed() == WindowUsage({ 9, { { "blue", 1 } } }));
}

// Guards against memory that grows while the platform accepts nothing, or with the reports of a process whose clock is off.
Test(UsageLedger, manyWindows_recordedAndSealed_areBounded)
{
    UsageLedger ledger;
    for (UsageWindow window = 0; window < 1000; ++window)
        ledger.record(report("a", window, { { "blue", 1 } }));
    cr_assert(ledger.snapshot().open.front().windows.size() == UsageLedger::maxOpenWindows);
    UsageLedger ahead;
    for (UsageWindow window = 500; window < 600; ++window)
        ahead.record(report("ahead", window, { { "blue", 1 } }));
    ahead.record(report("a", 7, { { "red", 1 } }));
    cr_assert(ahead.oldestOpen() == 7U, "a process whose clock is ahead displaces the counts of others");
    for (UsageWindow window = 0; window < 1000; ++window)
        ledger.seal(window);
    cr_assert(ledger.unconfirmed() == UsageLedger::maxSealedWindows);
    cr_assert(ledger.oldestUnconfirmed()->window == 1000 - UsageLedger::maxSealedWindows);
}

// Guards against counts that are lost with a snapshot, so that a new holder reports others.
Test(StateMachine, usage_restoredFromSnapshot_isTheSame)
{
    StateMachine machine;
    static_cast<void>(machine.apply(encodeCommand(RecordUsage { { report("a", 7, { { "blue", 2 } }), report("b", 8, { { "red", 1 } }) } })));
    static_cast<void>(machine.apply(encodeCommand(SealUsage { 7 })));
    StateMachine restored;
    cr_assert(restored.restore(machine.snapshot()));
    cr_assert(restored.usage().oldestUnconfirmed() == WindowUsage({ 7, { { "blue", 2 } } }));
    cr_assert(restored.usage().newestSealed() == 7U);
    static_cast<void>(restored.apply(encodeCommand(SealUsage { 8 })));
    static_cast<void>(restored.apply(encodeCommand(ConfirmUsage { 7 })));
    cr_assert(restored.usage().oldestUnconfirmed() == WindowUsage({ 8, { { "red", 1 } } }));
}
