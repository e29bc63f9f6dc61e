#include "azurepaddle/execution/usage_reporter.hpp"

namespace azurepaddle::execution {

std::optional<registry::UsageWindow> nextWindowToSeal(const registry::UsageLedger& ledger, registry::UsageWindow first, WallTime now, const UsageOptions& options)
{
    const auto newest = ledger.newestSealed();
    const registry::UsageWindow next = newest ? *newest + 1 : first;
    const Duration due = options.windowLength * static_cast<Duration::rep>(next + 1) + options.sealDelay;
    return now.time_since_epoch() >= due ? std::optional(next) : std::nullopt;
}

}
