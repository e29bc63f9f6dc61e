#include "azurepaddle/control/voter_repair.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::control;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint now { std::chrono::seconds(100) };

VoterContact voter(const std::string& identity, const std::string& instanceName, Duration sinceContact)
{
    return { InstanceId(identity), instanceName, now - sinceContact };
}

}

// Guards against a leader that removes the replacement instead of the lost voter: both may lack only a few log entries,
// so only the last contact distinguishes them.
Test(VoterRepair, lostVoterAndItsReplacement_lostOneIsFound)
{
    const std::vector<VoterContact> voters { voter("i1.a", "i1", 0s), voter("i3.new", "i3", 100ms), voter("i3.old", "i3", 2s) };
    cr_assert(findReplacedVoter(voters, now) == InstanceId("i3.old"));
}

// Guards against a removal while both identities are reachable and the lost one cannot be determined.
Test(VoterRepair, bothVotersReachable_noneIsRemoved)
{
    cr_assert(!findReplacedVoter({ voter("i3.new", "i3", 100ms), voter("i3.old", "i3", 700ms) }, now));
}

// Guards against the removal of an unreachable voter without a reachable replacement, after which the group would
// tolerate fewer failures than it is required to.
Test(VoterRepair, unreachableVoterWithoutReachableReplacement_isKept)
{
    cr_assert(!findReplacedVoter({ voter("i1.a", "i1", 0s), voter("i2.a", "i2", 10s) }, now));
    cr_assert(!findReplacedVoter({ voter("i2.a", "i2", 10s), voter("i2.b", "i2", 5s) }, now));
}
