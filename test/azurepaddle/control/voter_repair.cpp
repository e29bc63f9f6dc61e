#include "azurepaddle/control/voter_repair.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::control;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint now { std::chrono::seconds(100) };

VoterView voter(const std::string& identity, const std::string& instance, Duration silence)
{
    return { InstanceId(identity), instance, now - silence };
}

}

// Guards against a leader that removes the replacement instead of the lost voter: both miss few entries, so that only
// silence tells them apart.
Test(VoterRepair, lostVoterAndItsReplacement_lostOneIsFound)
{
    const std::vector<VoterView> voters { voter("i1.a", "i1", 0s), voter("i3.new", "i3", 100ms), voter("i3.old", "i3", 2s) };
    cr_assert(findReplacedVoter(voters, now) == InstanceId("i3.old"));
}

// Guards against a removal before it is clear which of the two is lost.
Test(VoterRepair, bothHeardOf_noneIsRemoved)
{
    cr_assert(!findReplacedVoter({ voter("i3.new", "i3", 100ms), voter("i3.old", "i3", 700ms) }, now));
}

// Guards against a group that shrinks below the losses it must survive because a silent voter has no replacement.
Test(VoterRepair, silentVoterWithoutLiveReplacement_stays)
{
    cr_assert(!findReplacedVoter({ voter("i1.a", "i1", 0s), voter("i2.a", "i2", 10s) }, now));
    cr_assert(!findReplacedVoter({ voter("i2.a", "i2", 10s), voter("i2.b", "i2", 5s) }, now));
}
