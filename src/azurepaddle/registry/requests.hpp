#pragma once

#include "azurepaddle/registry/commands.hpp"

#include <string_view>

namespace azurepaddle::registry {

/// What instances ask of the leader. Each request names its method and the type of its reply.

/// A request of callers under which endpoints crashed.
struct SuspectEntry {
    RequestFingerprint request;
    std::uint64_t refusedForMs = 0; ///< From now on; 0 if it may be sent.

    friend bool operator==(const SuspectEntry&, const SuspectEntry&) = default;
    MSGPACK_DEFINE(request, refusedForMs)
};

struct PollReply {
    std::uint64_t configurationVersion = 0;
    std::string configuration; ///< Empty if the asker has this version.
    std::uint64_t directoryRevision = 0;
    bool isFullUpdate = false; ///< False: only what changed after the asker's revision.
    std::vector<EndpointRecord> endpoints; ///< Of services that entry instances forward to, without those that left.
    std::vector<EndpointId> removed;
    std::vector<std::string> members; ///< Peer addresses of the participants.
    std::string leader; ///< Peer address; empty if unknown.
    DataCentreName dataCentre; ///< Of the instance that answers.
    std::uint64_t suspectsRevision = 0;
    bool areSuspectsChanged = false; ///< False: they are those of the asker's revision, and not repeated.
    std::vector<SuspectEntry> suspects; ///< All of them.
    MSGPACK_DEFINE(configurationVersion, configuration, directoryRevision, isFullUpdate, endpoints, removed, members, leader, dataCentre, suspectsRevision, areSuspectsChanged, suspects)
};

/// Asks for what changed since the asker's last poll. Any store instance answers, once there is news or after a while.
struct PollRequest {
    static constexpr std::string_view method = "poll";
    using Reply = PollReply;
    std::uint64_t configurationVersion = 0;
    std::uint64_t directoryRevision = 0;
    std::uint64_t suspectsRevision = 0;
    MSGPACK_DEFINE(configurationVersion, directoryRevision, suspectsRevision)
};

struct Acknowledgement {
    bool isDone = true;
    MSGPACK_DEFINE(isDone)
};

struct HeartbeatRequest {
    static constexpr std::string_view method = "beat";
    using Reply = Acknowledgement;
    EndpointHeartbeat beat;
    MSGPACK_DEFINE(beat)
};

/// Endpoints that were heard by one instance and changed nothing.
struct HeartbeatReportRequest {
    static constexpr std::string_view method = "heard";
    using Reply = Acknowledgement;
    std::vector<HeartbeatStatus> beats;
    MSGPACK_DEFINE(beats)
};

/// Endpoints whose answers say that they leave.
struct DrainingReportRequest {
    static constexpr std::string_view method = "leaving";
    using Reply = Acknowledgement;
    std::vector<EndpointIncarnation> leaving;
    MSGPACK_DEFINE(leaving)
};

/// Endpoints that crashed under requests of callers, and requests that were answered whole although endpoints had crashed
/// under them.
struct SuspectsRequest {
    static constexpr std::string_view method = "suspects";
    using Reply = Acknowledgement;
    std::vector<EndpointCrash> crashes;
    std::vector<RequestFingerprint> cleared;
    MSGPACK_DEFINE(crashes, cleared)
};

struct DeregisterRequest {
    static constexpr std::string_view method = "leave";
    using Reply = Acknowledgement;
    EndpointIncarnation leave;
    MSGPACK_DEFINE(leave)
};

struct PutConfigurationReply {
    ConfigurationOutcome outcome = ConfigurationOutcome::Known;
    MSGPACK_DEFINE(outcome)
};

struct PutConfigurationRequest {
    static constexpr std::string_view method = "put-configuration";
    using Reply = PutConfigurationReply;
    ConfigurationDocument document;
    MSGPACK_DEFINE(document)
};

struct ReadConfigurationReply {
    ConfigurationDocument document;
    MSGPACK_DEFINE(document)
};

struct ReadConfigurationRequest {
    static constexpr std::string_view method = "read-configuration";
    using Reply = ReadConfigurationReply;
    bool isRequired = true;
    MSGPACK_DEFINE(isRequired)
};

struct PublishVersionRequest {
    static constexpr std::string_view method = "name-version";
    using Reply = Acknowledgement;
    PublishVersion named;
    MSGPACK_DEFINE(named)
};

enum class RetireState : std::uint8_t {
    Unknown, ///< No such instance.
    TooFewRemaining, ///< Too few would be left.
    Active,
    Completed,
};

struct RetireReply {
    RetireState state = RetireState::Unknown;
    MSGPACK_DEFINE(state)
};

/// Begins to empty an instance, or asks how far it is.
struct RetireRequest {
    static constexpr std::string_view method = "retire";
    using Reply = RetireReply;
    std::string instance;
    bool isBegin = false;
    MSGPACK_DEFINE(instance, isBegin)
};

struct SubmitJobReply {
    bool isAccepted = false; ///< False: no item of it runs, unless it was accepted before.
    MSGPACK_DEFINE(isAccepted)
};

struct SubmitJobRequest {
    static constexpr std::string_view method = "submit-job";
    using Reply = SubmitJobReply;
    batch::JobSpec spec;
    MSGPACK_DEFINE(spec)
};

struct ReadResultsReply {
    bool isKnown = false;
    std::uint64_t total = 0; ///< Items of the job.
    std::vector<batch::ItemResult> results;
    MSGPACK_DEFINE(isKnown, total, results)
};

/// Reads results from a position on, waiting for one if there is none yet.
struct ReadResultsRequest {
    static constexpr std::string_view method = "read-results";
    using Reply = ReadResultsReply;
    batch::JobId job;
    std::uint64_t after = 0;
    std::uint64_t waitMs = 0;
    MSGPACK_DEFINE(job, after, waitMs)
};

struct ReadItemReply {
    bool isKnown = false;
    std::string body;
    MSGPACK_DEFINE(isKnown, body)
};

struct ReadItemRequest {
    static constexpr std::string_view method = "read-item";
    using Reply = ReadItemReply;
    batch::JobId job;
    batch::ItemId item;
    MSGPACK_DEFINE(job, item)
};

struct EndJobReply {
    bool isKnown = false;
    MSGPACK_DEFINE(isKnown)
};

struct EndJobRequest {
    static constexpr std::string_view method = "end-job";
    using Reply = EndJobReply;
    batch::JobId job;
    MSGPACK_DEFINE(job)
};

}

MSGPACK_ADD_ENUM(azurepaddle::registry::RetireState)
