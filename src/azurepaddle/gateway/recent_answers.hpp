#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/registry/crash.hpp"

#include <set>

namespace azurepaddle::gateway {

/// Requests that endpoints answered whole lately. Two generations take turns, so that memory is bounded and each addition
/// costs the same.
class RecentAnswers {
public:
    /// A request is remembered at least this long after its last answer, unless many others follow, and at most twice as
    /// long.
    static constexpr Duration generationTime = std::chrono::seconds(30);
    static constexpr std::size_t maxGeneration = 512;

    void add(const registry::RequestFingerprint& request, TimePoint now);
    [[nodiscard]] bool contains(const registry::RequestFingerprint& request, TimePoint now);

private:
    void advance(TimePoint now);

    std::set<registry::RequestFingerprint> m_present;
    std::set<registry::RequestFingerprint> m_previous;
    TimePoint m_since {}; ///< Start of the present generation.
};

}
