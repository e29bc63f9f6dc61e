#include "azurepaddle/registry/leader_service.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle::registry;

namespace {

const std::set<std::string> retiring { "storage-2" };

}

// Guards against a machine that is destroyed while its removal is in the leader's log only: the next leader would still
// count its vote.
Test(Retirement, removalNotCommitted_stateIsActive)
{
    const MemberNames members { { "storage-1", "storage-2" }, { "storage-1" } };
    cr_assert(retireStateOf("storage-2", retiring, members) == RetireState::Active);
}

// Guards against an instance that joins again and is reported as emptied because that change is not committed yet.
Test(Retirement, additionNotCommitted_stateIsActive)
{
    const MemberNames members { { "storage-1" }, { "storage-1", "storage-2" } };
    cr_assert(retireStateOf("storage-2", retiring, members) == RetireState::Active);
}

// Guards against an emptied machine that is never reported as such.
Test(Retirement, removalCommitted_stateIsCompleted)
{
    const MemberNames members { { "storage-1" }, { "storage-1" } };
    cr_assert(retireStateOf("storage-2", retiring, members) == RetireState::Completed);
}

// Guards against an instance that is reported as emptied although no operator retires it.
Test(Retirement, notRetiring_stateIsUnknown)
{
    cr_assert(retireStateOf("storage-3", retiring, { { "storage-1" }, { "storage-1" } }) == RetireState::Unknown);
}

// Guards against an order to empty a machine that counts others among those that remain although they are being removed,
// or not added for certain.
Test(Retirement, changesNotCommitted_onlyCertainParticipantsRemain)
{
    const MemberNames members { { "storage-1", "storage-2" }, { "storage-2", "storage-3" } };
    cr_assert(members.inBoth() == std::set<std::string> { "storage-2" });
    cr_assert(members.anyContains("storage-1") && members.anyContains("storage-3") && !members.anyContains("storage-4"));
}
