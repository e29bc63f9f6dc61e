#include "azurepaddle/cluster/snapshot_schedule.hpp"
#include "azurepaddle/core/random.hpp"

#include <criterion/criterion.h>

#include <vector>

using namespace azurepaddle;
using namespace azurepaddle::cluster;

namespace {

constexpr std::size_t intervalBytes = 80'000'000;
constexpr std::size_t commandBytes = 10'000;
constexpr std::size_t largeState = 50'000'000;

/// The participants of a group, which apply the same commands.
struct ScheduleFixture {
    static constexpr std::size_t count = 6;

    std::size_t stateBytes = largeState;
    std::size_t leader = 0;
    Random random { 7 };
    std::vector<SnapshotSchedule> schedules;
    std::vector<std::size_t> taken = std::vector<std::size_t>(count); ///< Number of snapshots of each participant.
    std::size_t transfers = 0;

    ScheduleFixture()
    {
        for (std::size_t i = 0; i < count; ++i)
            schedules.emplace_back(intervalBytes, random.uniform());
    }

    /// Applies one command everywhere. Returns the number of participants that take a snapshot after it.
    std::size_t apply()
    {
        std::size_t takenNow = 0;
        for (std::size_t i = 0; i < count; ++i) {
            schedules[i].recordCommand(commandBytes);
            SnapshotStep step = schedules[i].next({ i, count, i == leader, stateBytes });
            if (step == SnapshotStep::TransferLeadership) {
                leader = (leader + 1) % count;
                ++transfers;
                step = schedules[i].next({ i, count, false, stateBytes });
            }
            cr_assert(step == SnapshotStep::None || i != leader || stateBytes < largeState, "a leader takes a snapshot of a large state");
            if (step != SnapshotStep::Take)
                continue;
            schedules[i].recordSnapshot(random.uniform());
            ++taken[i];
            ++takenNow;
        }
        return takenNow;
    }

    /// Applies the commands of some whole intervals. Returns the number of the command after which each snapshot is taken.
    std::vector<std::size_t> applyIntervals(std::size_t intervals)
    {
        std::vector<std::size_t> entries;
        for (std::size_t entry = 0; entry < intervals * (intervalBytes / commandBytes); ++entry)
            entries.insert(entries.end(), apply(), entry);
        return entries;
    }
};

}

// Guards against participants that all write a large state after the same command, so that no quorum answers meanwhile.
Test(SnapshotSchedule, participantsApplySameCommands_takeSnapshotsApart)
{
    constexpr std::size_t minDistance = 100; // Commands, 1 MB.
    ScheduleFixture fixture;
    const std::vector<std::size_t> entries = fixture.applyIntervals(1);
    cr_assert(entries.size() == ScheduleFixture::count && fixture.transfers == 1);
    for (std::size_t i = 1; i < entries.size(); ++i)
        cr_assert(entries[i] - entries[i - 1] >= minDistance, "snapshots after entries %zu and %zu", entries[i - 1], entries[i]);
}

// Guards against intervals of different lengths that end together again and again: half of the participants at once are
// no longer outvoted by the others.
Test(SnapshotSchedule, manyIntervals_halfOfParticipantsRarelyTakeSnapshotsTogether)
{
    constexpr std::size_t intervals = 200;
    constexpr std::size_t window = 100; // Commands, 1 MB.
    ScheduleFixture fixture;
    const std::vector<std::size_t> entries = fixture.applyIntervals(intervals);
    std::size_t together = 0;
    for (std::size_t i = 2; i < entries.size(); ++i)
        together += entries[i] - entries[i - 2] < window ? 1 : 0;
    cr_assert(entries.size() > intervals * ScheduleFixture::count && together * 100 < entries.size(), "%zu of %zu snapshots are the third within 1 MB", together, entries.size());
}

// Guards against a change of the leader for a snapshot that is written within milliseconds.
Test(SnapshotSchedule, stateIsSmall_leaderTakesSnapshotItself)
{
    ScheduleFixture fixture;
    fixture.stateBytes = 1'000'000;
    static_cast<void>(fixture.applyIntervals(1));
    cr_assert(fixture.taken[fixture.leader] == 1 && fixture.transfers == 0);
}

// Guards against a log that grows without bound because no other participant can take over the leadership.
Test(SnapshotSchedule, leadershipIsNotTransferred_intervalEnds_leaderTakesSnapshot)
{
    SnapshotSchedule schedule(intervalBytes, 0);
    const SnapshotSituation leads { 0, 3, true, largeState };
    schedule.recordCommand(intervalBytes - 1);
    cr_assert(schedule.next(leads) == SnapshotStep::TransferLeadership && !schedule.isOverdue());
    schedule.recordCommand(1);
    cr_assert(schedule.next(leads) == SnapshotStep::Take && schedule.isOverdue());
    schedule.recordSnapshot(0);
    cr_assert(schedule.next(leads) == SnapshotStep::None);
}
