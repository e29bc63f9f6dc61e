#pragma once

namespace azurepaddle::cluster {

struct MemberIdentity;
struct MemberView;
struct GroupOptions;
struct ProposalResult;
template <typename Machine>
class Group;

}
