#pragma once

#include "azurepaddle/core/address.hpp"

#include <map>
#include <string>

namespace azurepaddle::registry {

/// Counts the failed polls of an entry instance by store instance, so that one log line tells which ones were polled
/// between two lines. Bounded: addresses beyond a limit are counted together.
class FailedPolls {
public:
    void record(const InstanceAddress& store);
    /// The counts since the last call, as `address=count` separated by blanks, and starts anew.
    [[nodiscard]] std::string takeSummary();

private:
    std::map<InstanceAddress, unsigned> m_counts;
    unsigned m_others = 0; ///< Failed polls of addresses beyond the limit.
};

}
