#include "azurepaddle/cluster/snapshot_schedule.hpp"

#include <algorithm>

namespace azurepaddle::cluster {

namespace {

    // Followers take their snapshots in this part of the interval, the leader's turn comes after them.
    constexpr double firstShare = 0.75;
    constexpr double leaderShare = 0.9375;
    // A smaller state is written well within an election timeout, so its leader need not be replaced.
    constexpr std::size_t minTransferStateBytes = 4U * 1024U * 1024U;
    // Part of a participant's turn over which the jitter spreads; the rest separates it from the next turn.
    constexpr double jitterShare = 0.5;

}

void SnapshotSchedule::recordSnapshot(double jitter) noexcept
{
    m_jitter = jitter;
    m_appliedBytes = 0;
}

/// The part of the interval after which this participant takes a snapshot as a follower.
double SnapshotSchedule::followerShare(const SnapshotSituation& situation) const noexcept
{
    const double turn = (static_cast<double>(situation.position) + jitterShare * m_jitter) / static_cast<double>(std::max<std::size_t>(situation.participants, 1));
    return firstShare + (leaderShare - firstShare) * turn;
}

SnapshotStep SnapshotSchedule::next(const SnapshotSituation& situation) const noexcept
{
    if (isOverdue())
        return SnapshotStep::Take;
    const bool isTransferNeeded = situation.isLeader && situation.stateBytes >= minTransferStateBytes;
    const double share = isTransferNeeded ? leaderShare : followerShare(situation);
    if (static_cast<double>(m_appliedBytes) < share * static_cast<double>(m_intervalBytes))
        return SnapshotStep::None;
    return isTransferNeeded ? SnapshotStep::TransferLeadership : SnapshotStep::Take;
}

}
