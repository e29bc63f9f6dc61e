#include "azurepaddle/cluster/identity.hpp"
#include "azurepaddle/cluster/membership_plan.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle;
using namespace azurepaddle::cluster;
using consensus::ChangeKind;
using consensus::MembershipChange;

namespace {

constexpr Duration recentContact = std::chrono::milliseconds(50);
constexpr Duration expiredContact = std::chrono::seconds(2);
constexpr Duration longTracked = std::chrono::minutes(1);

MemberView voter(const std::string& name, Duration timeSinceContact = recentContact)
{
    return { InstanceId(name), { "10.0.0." + name, 1 }, true, false, false, 0, timeSinceContact, timeSinceContact, longTracked };
}

MemberView learner(const std::string& name, std::uint64_t lag = 0)
{
    return { InstanceId(name), { "10.0.0." + name, 1 }, false, false, false, lag, recentContact, recentContact, longTracked };
}

/// A learner that joined after the failed voters of the tests had fallen silent.
MemberView newLearner(const std::string& name)
{
    MemberView view = learner(name);
    view.trackedFor = std::chrono::milliseconds(300);
    return view;
}

MemberView leader(const std::string& name)
{
    MemberView view = voter(name, Duration::zero());
    view.isSelf = true;
    return view;
}

MembershipChange change(ChangeKind kind, const std::string& name)
{
    return { kind, InstanceId(name) };
}

}

// Detects identities whose address cannot be parsed from their formatted text.
Test(MemberIdentity, formatted_parsed_isEqual)
{
    const MemberIdentity identity { "storage-a-1", { "10.1.0.7", 7720 }, "ab12" };
    cr_assert(parseIdentity(formatIdentity(identity)) == identity);
    cr_assert(!parseIdentity(InstanceId("storage-a-1")));
}

// Detects a planned change although all voters are live and no change is needed.
Test(MembershipPlan, allVotersLive_planned_changesNothing)
{
    cr_assert(!planMembership({ leader("1"), voter("2"), voter("3"), learner("4") }, {}));
}

// Detects a failed voter that is not replaced although a standby learner has caught up. The next loss would stop the
// group.
Test(MembershipPlan, voterFailed_standbyCaughtUp_promotesThenRemoves)
{
    std::vector<MemberView> members { leader("1"), voter("2"), voter("3", expiredContact), learner("4") };
    cr_assert(planMembership(members, {}) == change(ChangeKind::PromoteLearner, "4"));
    members[3].isVoter = true;
    cr_assert(planMembership(members, {}) == change(ChangeKind::Remove, "3"));
}

// Detects the removal of a failed voter without a replacement, after which the group would have fewer copies than it
// needs to tolerate the configured losses.
Test(MembershipPlan, voterFailed_noStandby_keepsIt)
{
    cr_assert(!planMembership({ leader("1"), voter("2"), voter("3", expiredContact) }, {}));
}

// Detects the promotion of a learner that lacks acknowledged entries.
Test(MembershipPlan, standbyLags_voterFailed_waits)
{
    cr_assert(!planMembership({ leader("1"), voter("2"), voter("3", expiredContact), learner("4", 1000) }, {}));
}

// Detects the promotion of the successor of a lost disk while the lost voter is still a member. If the same machine is
// lost again, the group would have four voters, two of which never answer again, and no leader for good.
Test(MembershipPlan, diskLost_newIdentityAtSameAddress_removesOldOneThenPromotes)
{
    MemberView replacement = newLearner("9");
    replacement.address = voter("3").address;
    std::vector<MemberView> members { leader("1"), voter("2"), voter("3", expiredContact), replacement };
    cr_assert(planMembership(members, {}) == change(ChangeKind::Remove, "3"));
    members.erase(members.begin() + 2);
    cr_assert(planMembership(members, {}) == change(ChangeKind::PromoteLearner, "9"));
}

// Detects a lost voter that counts as live because its successor joined before the failure timeout.
Test(MembershipPlan, diskLost_newIdentityWithinFailureTimeout_oldOneCountsAsFailed)
{
    MemberView replacement = newLearner("9");
    replacement.address = voter("3").address;
    const std::vector<MemberView> members { leader("1"), voter("2"), voter("3", std::chrono::milliseconds(500)), replacement };
    cr_assert(planMembership(members, {}) == change(ChangeKind::Remove, "3"));
}

// Detects a live voter that is removed for a former identity of its instance: a delayed join request adds the former
// identity, which has never answered.
Test(MembershipPlan, formerIdentityJoinsLate_voterIsKept)
{
    MemberView former = newLearner("9");
    former.address = voter("3").address;
    former.timeSinceAcknowledgement = std::nullopt;
    former.timeSinceContact = former.trackedFor;
    cr_assert(planMembership({ leader("1"), voter("2"), voter("3"), former }, {}) == change(ChangeKind::Remove, "9"));
}

// Detects the removal of a learner that was added just now, because the lost identity at its address answered before.
Test(MembershipPlan, learnerJustAdded_hasNotAnswered_isKept)
{
    MemberView replacement = newLearner("9");
    replacement.address = voter("3").address;
    replacement.timeSinceAcknowledgement = std::nullopt;
    replacement.timeSinceContact = replacement.trackedFor = std::chrono::milliseconds(10);
    cr_assert(!planMembership({ leader("1"), voter("2"), voter("3", std::chrono::milliseconds(900)), replacement }, {}));
}

// Detects the promotion of a learner that joined after a voter had fallen silent. It may be the successor of the lost
// machine at another address; if it is lost too, the group would need a voter that is gone.
Test(MembershipPlan, voterFailed_learnerJoinedLater_removesThenPromotes)
{
    std::vector<MemberView> members { leader("1"), voter("2"), voter("3", expiredContact), newLearner("4") };
    cr_assert(planMembership(members, {}) == change(ChangeKind::Remove, "3"));
    members.erase(members.begin() + 2);
    cr_assert(planMembership(members, {}) == change(ChangeKind::PromoteLearner, "4"));
}

// Detects a new leader that counts a voter as present although it has never answered it: the learner may be its
// successor.
Test(MembershipPlan, voterNeverAnswered_learnerReady_removesThenPromotes)
{
    std::vector<MemberView> members { leader("1"), voter("2"), voter("3", expiredContact), learner("4") };
    members[2].timeSinceAcknowledgement = std::nullopt;
    members[2].trackedFor = members[3].trackedFor = expiredContact;
    cr_assert(planMembership(members, {}) == change(ChangeKind::Remove, "3"));
}

// Detects the removal of a failed voter although the remaining live voters cannot commit it.
Test(MembershipPlan, twoVotersFailed_learnerJoinedLater_changesNothing)
{
    const std::vector<MemberView> members { leader("1"), voter("2", expiredContact), voter("3", expiredContact), newLearner("4") };
    cr_assert(!planMembership(members, {}));
}

// Detects the promotion of a learner that does not answer. In a short log it lacks few entries although it holds none.
Test(MembershipPlan, learnerDoesNotAnswer_isNotPromoted)
{
    std::vector<MemberView> members { leader("1"), voter("2"), learner("4", 3) };
    members[2].timeSinceAcknowledgement = std::nullopt;
    cr_assert(!planMembership(members, {}));
    members[2].timeSinceAcknowledgement = std::chrono::milliseconds(600);
    cr_assert(!planMembership(members, {}));
}

// Detects a retired instance that keeps its vote although a standby learner could replace it.
Test(MembershipPlan, voterRetires_standbyCaughtUp_isReplaced)
{
    std::vector<MemberView> members { leader("1"), voter("2"), voter("3"), learner("4") };
    members[1].isRetiring = true;
    cr_assert(planMembership(members, {}) == change(ChangeKind::PromoteLearner, "4"));
    members[3].isVoter = true;
    cr_assert(planMembership(members, {}) == change(ChangeKind::Remove, "2"));
}

// Detects a retired instance that still receives the log as a learner.
Test(MembershipPlan, learnerRetires_planned_isRemoved)
{
    std::vector<MemberView> members { leader("1"), voter("2"), voter("3"), learner("4") };
    members[3].isRetiring = true;
    cr_assert(planMembership(members, {}) == change(ChangeKind::Remove, "4"));
}

// Detects a retired leader that removes itself instead of transferring the leadership first.
Test(MembershipPlan, leaderRetires_tooManyVoters_isNotRemovedByItself)
{
    std::vector<MemberView> members { leader("1"), voter("2"), voter("3"), voter("4") };
    members[0].isRetiring = true;
    const auto planned = planMembership(members, {});
    cr_assert(!planned || planned->node != InstanceId("1"));
}

// Detects the removal of a healthy voter in place of the leader that retires. The group would have to replace it, too.
Test(MembershipPlan, leaderRetires_successorPromoted_keepsHealthyVoters)
{
    std::vector<MemberView> members { leader("1"), voter("2"), voter("3"), voter("4") };
    members[0].isRetiring = true;
    cr_assert(!planMembership(members, {}));
}

// Models a deployment with many store instances. Detects a log that is replicated to all of them, and an instance that
// lost its disk and is declined because its former participant still counts.
Test(MembershipPlan, enoughParticipants_furtherOnesMayNotJoin)
{
    const InstanceAddress other { "10.0.0.9", 1 };
    std::vector<MemberView> members { leader("1"), voter("2"), voter("3") };
    cr_assert(canJoin(members, other, {}));
    members.push_back(learner("4"));
    cr_assert(!canJoin(members, other, {}));
    cr_assert(canJoin(members, members[2].address, {}), "an instance that lost its disk may replace its former participant");
    members[2].timeSinceContact = expiredContact;
    cr_assert(canJoin(members, other, {}));
    members[2].timeSinceContact = recentContact;
    members[1].isRetiring = true;
    cr_assert(canJoin(members, other, {}));
}
