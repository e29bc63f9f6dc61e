#pragma once

namespace azurepaddle::membership {

enum class DirectoryErrorCode : unsigned char;
enum class MemberState : unsigned char;
struct DeltaBatch;
struct DeltaRequest;
struct DirectoryOptions;
struct EndpointAnnouncement;
struct EndpointRecord;
struct GossipMessage;
struct MemberMetadata;
struct MemberOptions;
struct MemberRecord;
template <typename ClockType>
class EndpointDirectory;
template <typename ClockType, typename RandomType>
class MemberTable;

}
