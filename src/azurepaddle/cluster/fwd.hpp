#pragma once

namespace azurepaddle::cluster {

class ContactBook;
struct Contact;
struct DiscoveryOptions;
struct MemberIdentity;
struct MemberView;
struct GroupOptions;
struct ProposalResult;
class SnapshotSchedule;
template <typename Machine>
class Group;

}
