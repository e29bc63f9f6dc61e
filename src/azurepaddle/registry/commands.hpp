#pragma once

#include "azurepaddle/batch/job_store.hpp"
#include "azurepaddle/batch/text_store.hpp"
#include "azurepaddle/registry/crash.hpp"
#include "azurepaddle/registry/endpoint.hpp"
#include "azurepaddle/registry/streams.hpp"
#include "azurepaddle/registry/usage_ledger.hpp"
#include "azurepaddle/scaling/types.hpp"

#include <optional>
#include <set>
#include <string>
#include <variant>

namespace azurepaddle::registry {

/// A configuration as submitted by the operator.
struct ConfigurationDocument {
    std::uint64_t version = 0; ///< 0 if no configuration has been accepted yet.
    std::string text;

    friend bool operator==(const ConfigurationDocument&, const ConfigurationDocument&) = default;
    MSGPACK_DEFINE(version, text)
};

/// Activates a configuration if its version is higher than the active one.
struct PutConfiguration {
    ConfigurationDocument document;
    MSGPACK_DEFINE(document)
};

/// Records that a trainer published a version of a model's weights.
struct PublishVersion {
    batch::ModelName model;
    WeightVersion version = 0;
    MSGPACK_DEFINE(model, version)
};

/// Inserts or updates the record of an endpoint.
struct SetEndpoint {
    EndpointRecord record;
    MSGPACK_DEFINE(record)
};

/// Marks an endpoint incarnation as gone and keeps its record.
struct DeregisterEndpoint {
    EndpointIncarnation incarnation;
    MSGPACK_DEFINE(incarnation)
};

/// Deletes the record of an endpoint incarnation.
struct RemoveEndpoint {
    EndpointIncarnation incarnation;
    MSGPACK_DEFINE(incarnation)
};

struct AcceptJob {
    batch::JobSpec spec;
    MSGPACK_DEFINE(spec)
};

/// Appends results to a job.
struct RecordResults {
    batch::JobId job;
    std::vector<batch::ItemResult> results;
    std::vector<batch::ScoredItem> scored {}; ///< Recorded with their stored texts; skipped if the text is incomplete.
    MSGPACK_DEFINE(job, results, scored)
};

/// Ends a job; items without a result need none any more.
struct EndJob {
    batch::JobId job;
    MSGPACK_DEFINE(job)
};

/// Deletes a job with its results and texts.
struct RemoveJob {
    batch::JobId job;
    MSGPACK_DEFINE(job)
};

/// Transfers the order right, the exclusive right to send weight orders to endpoints, to an instance.
struct ClaimOrders {
    std::string instance;
    std::uint64_t fence = 0; ///< Fencing token; higher than that of every earlier holder.
    MSGPACK_DEFINE(instance, fence)
};

/// Sent by the holder of the order right before its first order, and when no order is in flight any more.
struct SetOrderWindow {
    std::uint64_t fence = 0; ///< Fencing token of the holder.
    bool isOpen = false;
    MSGPACK_DEFINE(fence, isOpen)
};

/// The replicated state of the order right.
struct OrderRecord {
    ClaimOrders holder;
    bool isOpen = false; ///< Orders of the holder may be in flight.
    std::uint64_t changes = 0; ///< Incremented by each change.
    MSGPACK_DEFINE(holder, isOpen, changes)
};

/// Marks an instance for removal from the participants, on behalf of an operator.
struct RetireInstance {
    std::string instance;
    MSGPACK_DEFINE(instance)
};

/// Stores output that running items have generated.
struct AppendTexts {
    std::vector<batch::TextPart> parts;
    MSGPACK_DEFINE(parts)
};

/// Reports endpoint crashes with the requests that were in progress, and requests that got a complete response.
struct ReportSuspects {
    std::vector<EndpointCrash> crashes;
    std::vector<RequestFingerprint> cleared;
    std::uint64_t reportedMs = 0; ///< Unix milliseconds by the leader's clock.
    MSGPACK_DEFINE(crashes, cleared, reportedMs)
};

/// Removes crashes that were reported before a point in time.
struct ExpireCrashes {
    std::uint64_t beforeMs = 0; ///< Unix milliseconds by the leader's clock.
    MSGPACK_DEFINE(beforeMs)
};

/// Records the updated failure counts of an item.
struct RecordItemFailures {
    batch::JobId job;
    batch::ItemFailures failures;
    MSGPACK_DEFINE(job, failures)
};

/// Records that an endpoint incarnation holds a version of a model's weights.
struct RecordLoadedVersion {
    EndpointIncarnation incarnation;
    batch::ModelName model;
    WeightVersion version = 0;
    MSGPACK_DEFINE(incarnation, model, version)
};

/// Records what began streams.
struct RecordStreams {
    std::vector<StreamRecord> streams;
    MSGPACK_DEFINE(streams)
};

/// Records what processes have counted, unless the windows are sealed.
struct RecordUsage {
    std::vector<UsageReport> reports;
    MSGPACK_DEFINE(reports)
};

/// Fixes the total of a window of usage before it is reported to the platform.
struct SealUsage {
    UsageWindow window = 0;
    MSGPACK_DEFINE(window)
};

/// Records that the platform has accepted the report of a window.
struct ConfirmUsage {
    UsageWindow window = 0;
    MSGPACK_DEFINE(window)
};

/// Records the number of endpoints of one kind that a data centre is ordered to run, before the order is sent. After a
/// refusal the number of existing endpoints is recorded, after a withdrawal 0.
struct RecordScaleOrder {
    scaling::ScaleOrder order;
    MSGPACK_DEFINE(order)
};

using Command = std::variant<PutConfiguration, PublishVersion, SetEndpoint, DeregisterEndpoint, RemoveEndpoint, AcceptJob, RecordResults, EndJob, RemoveJob, ClaimOrders, RetireInstance, AppendTexts, SetOrderWindow, ReportSuspects, ExpireCrashes, RecordItemFailures, RecordLoadedVersion, RecordStreams, RecordUsage, SealUsage, ConfirmUsage, RecordScaleOrder>;

[[nodiscard]] std::string encodeCommand(const Command& command);
/// Empty if the bytes do not encode a command that this version supports.
[[nodiscard]] std::optional<Command> decodeCommand(std::string_view bytes);

enum class ConfigurationOutcome : std::uint8_t {
    Accepted, ///< The configuration is now active.
    NotNewer, ///< The same content or a higher version is already active.
    Conflict, ///< The active configuration has this version but other content.
};

}

MSGPACK_ADD_ENUM(azurepaddle::registry::ConfigurationOutcome)
