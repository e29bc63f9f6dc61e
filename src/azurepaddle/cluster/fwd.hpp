#pragma once

namespace azurepaddle::cluster {

struct MemberIdentity;
struct MemberView;
struct GroupOptions;
struct ProposalResult;
class SnapshotSchedule;
template <typename Machine>
class Group;

}
