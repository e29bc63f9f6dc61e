#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/registry/crash.hpp"

#include <set>

namespace azurepaddle::gateway {

/// Set of the requests that endpoints answered completely a short time ago. Entries are kept in two generations that
/// are rotated, so that memory is bounded and additions have a uniform cost.
class RecentAnswers {
public:
    /// A request is kept for at least this time after its last answer, unless at least `maxGeneration` others follow,
    /// and for at most twice this time.
    static constexpr Duration generationTime = std::chrono::seconds(30);
    static constexpr std::size_t maxGeneration = 512;

    void add(const registry::RequestFingerprint& request, TimePoint now);
    [[nodiscard]] bool contains(const registry::RequestFingerprint& request, TimePoint now);

private:
    void rotateIfDue(TimePoint now);

    std::set<registry::RequestFingerprint> m_current;
    std::set<registry::RequestFingerprint> m_previous;
    TimePoint m_generationStart {};
};

}
