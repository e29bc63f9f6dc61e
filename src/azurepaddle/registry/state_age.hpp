#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/registry/requests.hpp"

namespace azurepaddle::registry {

/// Tells an entry instance how old the state may be that it received from store instances. Everything that was
/// acknowledged until the confirmed time is part of it. The time counts suspension of the process, so that an instance
/// that wakes up does not take its state for current.
class StateAge {
public:
    /// Nothing that was acknowledged may stay unknown for longer than `limit`.
    explicit StateAge(Duration limit) noexcept
        : m_limit(limit)
    {
    }

    /// Records the reply to a poll that was sent at the given time. The way of the reply takes an unknown time, so the
    /// confirmed time is counted from the sending of the poll. A reply from an older configuration than the received one
    /// confirms nothing, because stores of earlier releases report the state that they restart from as recent.
    void recordReply(TimePoint sentAt, const PollReply& reply, std::uint64_t receivedVersion) noexcept;
    /// Time that has passed since the confirmed time; the maximum if no poll was answered yet.
    [[nodiscard]] Duration age(TimePoint now) const noexcept { return m_confirmedTime == TimePoint {} ? Duration::max() : now - m_confirmedTime; }
    /// Whether nothing that was acknowledged longer ago than the limit can be missing.
    [[nodiscard]] bool isCurrent(TimePoint now) const noexcept { return age(now) <= m_limit; }

private:
    Duration m_limit;
    TimePoint m_confirmedTime {};
};

}
