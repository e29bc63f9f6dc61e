#include "azurepaddle/cluster/identity.hpp"
#include "azurepaddle/cluster/membership_plan.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::cluster;
using consensus::ChangeKind;
using consensus::MembershipChange;

namespace {

constexpr Duration alive = std::chrono::milliseconds(50);
constexpr Duration dead = std::chrono::seconds(2);

MemberView voter(const std::string& name, Duration silence = alive)
{
    return { InstanceId(name), { "10.0.0." + name, 1 }, true, false, false, 0, silence };
}

MemberView learner(const std::string& name, std::uint64_t lag = 0)
{
    return { InstanceId(name), { "10.0.0." + name, 1 }, false, false, false, lag, alive };
}

MemberView leader(const std::string& name)
{
    MemberView view = voter(name);
    view.isSelf = true;
    return view;
}

MembershipChange change(ChangeKind kind, const std::string& name)
{
    return { kind, InstanceId(name) };
}

}

// Guards against identities whose address cannot be found again.
Test(MemberIdentity, formatted_parsed_isEqual)
{
    const MemberIdentity identity { "storage-a-1", { "10.1.0.7", 7720 }, "ab12" };
    cr_assert(parseIdentity(formatIdentity(identity)) == identity);
    cr_assert(!parseIdentity(InstanceId("storage-a-1")));
}

// Guards against changes that come though nothing is wrong.
Test(MembershipPlan, allVotersLive_planned_changesNothing)
{
    cr_assert(!planMembership({ leader("1"), voter("2"), voter("3"), learner("4") }, {}));
}

// Guards against a lost voter that is not replaced while a spare instance stands by: the next loss would stop the group.
Test(MembershipPlan, voterDead_spareCaughtUp_promotesThenRemoves)
{
    std::vector<MemberView> members { leader("1"), voter("2"), voter("3", dead), learner("4") };
    cr_assert(planMembership(members, {}) == change(ChangeKind::PromoteLearner, "4"));
    members[3].isVoter = true;
    cr_assert(planMembership(members, {}) == change(ChangeKind::Remove, "3"));
}

// Guards against a group that shrinks to fewer copies than the losses it must survive.
Test(MembershipPlan, voterDead_noSpare_keepsIt)
{
    cr_assert(!planMembership({ leader("1"), voter("2"), voter("3", dead) }, {}));
}

// Guards against a voter that misses what was acknowledged.
Test(MembershipPlan, spareBehind_voterDead_waits)
{
    cr_assert(!planMembership({ leader("1"), voter("2"), voter("3", dead), learner("4", 1000) }, {}));
}

// Guards against the vote of a lost disk that stays in the group after its instance came back empty.
Test(MembershipPlan, diskLost_newIdentityAtSameAddress_replacesOldOne)
{
    MemberView fresh = learner("9");
    fresh.address = voter("3").address;
    std::vector<MemberView> members { leader("1"), voter("2"), voter("3", dead), fresh };
    cr_assert(planMembership(members, {}) == change(ChangeKind::PromoteLearner, "9"));
    members[3].isVoter = true;
    cr_assert(planMembership(members, {}) == change(ChangeKind::Remove, "3"));
}

// Guards against an instance that is taken away while it still holds a vote.
Test(MembershipPlan, voterRetires_spareCaughtUp_isReplaced)
{
    std::vector<MemberView> members { leader("1"), voter("2"), voter("3"), learner("4") };
    members[1].isRetiring = true;
    cr_assert(planMembership(members, {}) == change(ChangeKind::PromoteLearner, "4"));
    members[3].isVoter = true;
    cr_assert(planMembership(members, {}) == change(ChangeKind::Remove, "2"));
}

// Guards against an instance that is emptied and still receives everything as a learner.
Test(MembershipPlan, learnerRetires_planned_isRemoved)
{
    std::vector<MemberView> members { leader("1"), voter("2"), voter("3"), learner("4") };
    members[3].isRetiring = true;
    cr_assert(planMembership(members, {}) == change(ChangeKind::Remove, "4"));
}

// Guards against a leader that removes itself instead of handing over first.
Test(MembershipPlan, leaderRetires_tooManyVoters_isNotRemovedByItself)
{
    std::vector<MemberView> members { leader("1"), voter("2"), voter("3"), voter("4") };
    members[0].isRetiring = true;
    const auto planned = planMembership(members, {});
    cr_assert(!planned || planned->node != InstanceId("1"));
}

// Plays a deployment with many store instances. Guards against a log that is sent to all of them, and against an instance
// that lost its disk and finds its place taken.
Test(MembershipPlan, enoughParticipants_furtherOnesMayNotJoin)
{
    const InstanceAddress other { "10.0.0.9", 1 };
    std::vector<MemberView> members { leader("1"), voter("2"), voter("3") };
    cr_assert(mayJoin(members, other, {}));
    members.push_back(learner("4"));
    cr_assert(!mayJoin(members, other, {}));
    cr_assert(mayJoin(members, members[2].address, {}), "the instance lost its disk and takes its own place");
    members[2].silence = dead;
    cr_assert(mayJoin(members, other, {}));
    members[2].silence = alive;
    members[1].isRetiring = true;
    cr_assert(mayJoin(members, other, {}));
}
