#pragma once

namespace azurepaddle::consensus {

class EntryLog;
enum class RaftErrorCode : unsigned char;
struct Membership;
struct MembershipChange;
struct RaftError;
struct RaftMessage;
struct RaftSettings;
struct RaftStatus;
struct Ready;

}
