#pragma once

#include "azurepaddle/registry/commands.hpp"
#include "azurepaddle/registry/entry_list.hpp"

#include <string_view>

namespace azurepaddle::registry {

/// Requests between instances. Each request declares its method and the type of its reply.

/// A caller's request during which endpoints crashed.
struct SuspectEntry {
    RequestFingerprint request;
    std::uint64_t refusedForMs = 0; ///< Remaining time, counted from the reply; 0 if the request may be sent.

    friend bool operator==(const SuspectEntry&, const SuspectEntry&) = default;
    MSGPACK_DEFINE(request, refusedForMs)
};

struct PollReply {
    std::uint64_t configurationVersion = 0;
    std::string configuration; ///< Empty if the requester has this version.
    std::uint64_t directoryRevision = 0;
    bool isFullUpdate = false; ///< If false, only changes after the requester's revision are included.
    std::vector<EndpointRecord> endpoints; ///< Of services that entry instances forward to; none that is gone.
    std::vector<EndpointId> removed;
    std::vector<std::string> members; ///< Peer addresses of the participants.
    std::string leader; ///< Peer address; empty if unknown.
    DataCentreName dataCentre; ///< Data centre of the replying instance.
    std::uint64_t suspectsRevision = 0;
    bool areSuspectsChanged = false; ///< If false, the suspects of the requester's revision are current and not repeated.
    std::vector<SuspectEntry> suspects; ///< The complete list, if it changed.
    std::uint64_t heldMs = 0; ///< Time that the replying instance held the poll.
    std::uint64_t stateAgeMs = 0; ///< The reply includes everything acknowledged until this long before it was sent.
    MSGPACK_DEFINE(configurationVersion, configuration, directoryRevision, isFullUpdate, endpoints, removed, members, leader, dataCentre, suspectsRevision, areSuspectsChanged, suspects, heldMs, stateAgeMs)
};

/// Requests the changes since the requester's last poll (long poll). Any store instance replies, once there are changes
/// or its wait expires.
struct PollRequest {
    static constexpr std::string_view method = "poll";
    using Reply = PollReply;
    std::uint64_t configurationVersion = 0;
    std::uint64_t directoryRevision = 0;
    std::uint64_t suspectsRevision = 0;
    EntryStatus entry {}; ///< The requester.
    MSGPACK_DEFINE(configurationVersion, directoryRevision, suspectsRevision, entry)
};

struct FindEntriesReply {
    std::vector<EntryStatus> entries;
    MSGPACK_DEFINE(entries)
};

/// Asks a store instance for the entries that poll it and take requests of other entries.
struct FindEntriesRequest {
    static constexpr std::string_view method = "find-entries";
    using Reply = FindEntriesReply;
    bool isRequired = true;
    MSGPACK_DEFINE(isRequired)
};

struct Acknowledgement {
    bool isAcknowledged = true;
    MSGPACK_DEFINE(isAcknowledged)
};

struct HeartbeatRequest {
    static constexpr std::string_view method = "beat";
    using Reply = Acknowledgement;
    EndpointHeartbeat heartbeat;
    MSGPACK_DEFINE(heartbeat)
};

/// Heartbeats that one instance accepted because they change no record.
struct HeartbeatReportRequest {
    static constexpr std::string_view method = "heard";
    using Reply = Acknowledgement;
    std::vector<HeartbeatStatus> heartbeats;
    MSGPACK_DEFINE(heartbeats)
};

/// Endpoints that announced in a response that they are draining.
struct DrainingReportRequest {
    static constexpr std::string_view method = "leaving";
    using Reply = Acknowledgement;
    std::vector<EndpointIncarnation> incarnations;
    MSGPACK_DEFINE(incarnations)
};

/// Crashes of endpoints during callers' requests, and suspected requests that got a complete response since.
struct SuspectsRequest {
    static constexpr std::string_view method = "suspects";
    using Reply = Acknowledgement;
    std::vector<EndpointCrash> crashes;
    std::vector<RequestFingerprint> cleared;
    MSGPACK_DEFINE(crashes, cleared)
};

/// Records what began streams, before their first events are passed on.
struct RecordStreamsRequest {
    static constexpr std::string_view method = "record-streams";
    using Reply = Acknowledgement;
    std::vector<StreamRecord> streams;
    MSGPACK_DEFINE(streams)
};

struct FindStreamReply {
    bool isKnown = false;
    StreamOrigin origin;
    std::uint64_t directoryRevision = 0; ///< Newest change of the endpoints of the origin's service; 0 from earlier releases.
    MSGPACK_DEFINE(isKnown, origin, directoryRevision)
};

/// Looks up what began a stream.
struct FindStreamRequest {
    static constexpr std::string_view method = "find-stream";
    using Reply = FindStreamReply;
    StreamId id; ///< Empty if the caller does not name it.
    ServiceName service; ///< The only service to which the route of the stream leads; empty if there are several.
    MSGPACK_DEFINE(id, service)
};

struct PermitReply {
    bool isGranted = false;
    std::uint64_t retryAfterMs = 0; ///< Time until the next permit, if none was granted.
    std::uint32_t instances = 1; ///< Instances that lately requested permits.
    MSGPACK_DEFINE(isGranted, retryAfterMs, instances)
};

/// An endpoint that names a lower limit still gets a request now and then, which shows when its limit ends.
constexpr double minPermitsPerSecond = 0.1;

/// Requests a permit for one request to an endpoint that limits the requests per second of all instances together.
struct PermitRequest {
    static constexpr std::string_view method = "permit";
    using Reply = PermitReply;
    EndpointIncarnation endpoint;
    double requestsPerSecond = 0; ///< The limit that the endpoint named last.
    std::string instance; ///< Name of the requesting instance.
    MSGPACK_DEFINE(endpoint, requestsPerSecond, instance)
};

struct DeregisterRequest {
    static constexpr std::string_view method = "leave";
    using Reply = Acknowledgement;
    EndpointIncarnation incarnation;
    MSGPACK_DEFINE(incarnation)
};

struct PutConfigurationReply {
    ConfigurationOutcome outcome = ConfigurationOutcome::NotNewer;
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
    PublishVersion publication;
    MSGPACK_DEFINE(publication)
};

struct ReportUsageReply {
    bool hasSealed = false; ///< False until the first window is sealed.
    UsageWindow newestSealed = 0; ///< Counts of this window and earlier ones are fixed.
    MSGPACK_DEFINE(hasSealed, newestSealed)
};

/// Reports the requests of each workspace that an entry has counted.
struct ReportUsageRequest {
    static constexpr std::string_view method = "report-usage";
    using Reply = ReportUsageReply;
    UsageReport report;
    MSGPACK_DEFINE(report)
};

enum class RetireState : std::uint8_t {
    Unknown, ///< The instance does not exist, or its retirement was not requested.
    TooFewRemaining, ///< Too few instances would remain.
    Active,
    Completed,
};

struct RetireReply {
    RetireState state = RetireState::Unknown;
    MSGPACK_DEFINE(state)
};

/// Starts the retirement of an instance, or queries its state.
struct RetireRequest {
    static constexpr std::string_view method = "retire";
    using Reply = RetireReply;
    std::string instance;
    bool isBegin = false;
    MSGPACK_DEFINE(instance, isBegin)
};

struct SubmitJobReply {
    bool isAccepted = false; ///< If false, no item of the job runs, unless it was accepted before.
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
    std::uint64_t total = 0; ///< Number of items of the job.
    std::vector<batch::ItemResult> results;
    MSGPACK_DEFINE(isKnown, total, results)
};

/// Reads the results from a position on, and waits for one if there is none yet.
struct ReadResultsRequest {
    static constexpr std::string_view method = "read-results";
    using Reply = ReadResultsReply;
    batch::JobId job;
    std::uint64_t after = 0;
    std::uint64_t waitMs = 0;
    WorkspaceName workspace {}; ///< Of the caller; the job of another workspace is treated as unknown.
    MSGPACK_DEFINE(job, after, waitMs, workspace)
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
    WorkspaceName workspace {}; ///< Of the caller; the job of another workspace is treated as unknown.
    MSGPACK_DEFINE(job, item, workspace)
};

struct EndJobReply {
    bool isKnown = false;
    MSGPACK_DEFINE(isKnown)
};

struct EndJobRequest {
    static constexpr std::string_view method = "end-job";
    using Reply = EndJobReply;
    batch::JobId job;
    WorkspaceName workspace {}; ///< Of the caller; the job of another workspace is treated as unknown.
    MSGPACK_DEFINE(job, workspace)
};

}

MSGPACK_ADD_ENUM(azurepaddle::registry::RetireState)
