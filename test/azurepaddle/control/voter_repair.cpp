#include "azurepaddle/control/voter_repair.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::control;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint now { std::chrono::seconds(100) };

ParticipantContact participant(const std::string& identity, const std::string& instanceName, Duration sinceContact)
{
    return { InstanceId(identity), instanceName, now - sinceContact };
}

}

// Guards against a leader that removes the replacement instead of the lost voter: both may lack only a few log entries,
// so only the last contact distinguishes them.
Test(VoterRepair, lostVoterAndItsReplacement_lostOneIsFound)
{
    const std::vector<ParticipantContact> voters { participant("i1.a", "i1", 0s), participant("i3.new", "i3", 100ms), participant("i3.old", "i3", 2s) };
    cr_assert(findReplacedParticipant(voters, now) == InstanceId("i3.old"));
}

// Guards against a removal while both identities are reachable and the lost one cannot be determined.
Test(VoterRepair, bothVotersReachable_noneIsRemoved)
{
    cr_assert(!findReplacedParticipant({ participant("i3.new", "i3", 100ms), participant("i3.old", "i3", 700ms) }, now));
}

// Guards against the removal of an unreachable voter without a reachable replacement, after which the group would
// tolerate fewer failures than it is required to.
Test(VoterRepair, unreachableVoterWithoutReachableReplacement_isKept)
{
    cr_assert(!findReplacedParticipant({ participant("i1.a", "i1", 0s), participant("i2.a", "i2", 10s) }, now));
    cr_assert(!findReplacedParticipant({ participant("i2.a", "i2", 10s), participant("i2.b", "i2", 5s) }, now));
}

// Guards against a promotion beside the lost identity of the same instance: with four voters, a second loss of the
// instance would leave two of the three that are needed, for good.
Test(VoterRepair, learnerOfLostVoter_isPromotedOnlyAfterItsRemoval)
{
    const ParticipantContact learner = participant("i3.new", "i3", 100ms);
    std::vector<ParticipantContact> voters { participant("i1.a", "i1", 0s), participant("i2.a", "i2", 100ms), participant("i3.old", "i3", 2s) };
    cr_assert(!mayPromote(learner, voters, now));
    cr_assert(findReplacedParticipant({ voters[0], voters[1], voters[2], learner }, now) == InstanceId("i3.old"));
    voters.pop_back();
    cr_assert(mayPromote(learner, voters, now));
}

// Guards against the promotion of a learner whose instance is lost again: the group would count on a voter that never
// answers.
Test(VoterRepair, unreachableLearner_isNotPromoted)
{
    cr_assert(!mayPromote(participant("i3.new", "i3", 2s), { participant("i1.a", "i1", 0s), participant("i2.a", "i2", 100ms) }, now));
}
