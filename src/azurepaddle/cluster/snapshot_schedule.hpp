#pragma once

#include <cstddef>
#include <cstdint>

namespace azurepaddle::cluster {

enum class SnapshotStep : std::uint8_t {
    None,
    TransferLeadership, ///< A snapshot is due, but another participant should lead first.
    Take,
};

/// What a participant's next snapshot depends on.
struct SnapshotSituation {
    std::size_t position = 0; ///< Of this participant among all in the order of their identities, from 0.
    std::size_t participants = 1;
    bool isLeader = false;
    std::size_t stateBytes = 0; ///< Approximate size of the snapshot.

    friend bool operator==(const SnapshotSituation&, const SnapshotSituation&) = default;
};

/// Decides when a participant takes a snapshot. Encoding and writing a large state holds the event loop for longer than
/// an election timeout, and all participants apply the same commands. So each takes its snapshots after a different size
/// of commands, and a leader with a large state transfers the leadership before, so that a quorum goes on answering. Over
/// many intervals, half of the participants rarely take snapshots together. Uses no network and no clock.
class SnapshotSchedule {
public:
    /// A snapshot is taken at the latest after commands of `intervalBytes`. The jitter, from 0 to 1, is a random number.
    SnapshotSchedule(std::size_t intervalBytes, double jitter) noexcept
        : m_intervalBytes(intervalBytes)
        , m_jitter(jitter)
    {
    }

    void recordCommand(std::size_t bytes) noexcept { m_appliedBytes += bytes; }
    /// Begins the next interval with a new jitter, so that participants whose intervals once ended together do not
    /// repeat that.
    void recordSnapshot(double jitter) noexcept;

    [[nodiscard]] SnapshotStep next(const SnapshotSituation& situation) const noexcept;
    /// Whether commands of a whole interval were applied since the last snapshot.
    [[nodiscard]] bool isOverdue() const noexcept { return m_appliedBytes >= m_intervalBytes; }

private:
    [[nodiscard]] double followerShare(const SnapshotSituation& situation) const noexcept;

    std::size_t m_intervalBytes;
    double m_jitter;
    std::size_t m_appliedBytes = 0; ///< Size of the commands applied since the last snapshot.
};

}
