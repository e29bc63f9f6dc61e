#pragma once

#include "azurepaddle/batch/job_store.hpp"
#include "azurepaddle/batch/text_store.hpp"
#include "azurepaddle/registry/crash.hpp"
#include "azurepaddle/registry/endpoint.hpp"

#include <optional>
#include <set>
#include <string>
#include <variant>

namespace azurepaddle::registry {

/// A configuration as its operator sent it.
struct ConfigurationDocument {
    std::uint64_t version = 0; ///< 0: none was accepted yet.
    std::string text;

    friend bool operator==(const ConfigurationDocument&, const ConfigurationDocument&) = default;
    MSGPACK_DEFINE(version, text)
};

/// Puts a configuration in force if its version is higher than the one in force.
struct PutConfiguration {
    ConfigurationDocument document;
    MSGPACK_DEFINE(document)
};

/// A trainer names a version of a model's weights.
struct PublishVersion {
    batch::ModelName model;
    WeightVersion version = 0;
    MSGPACK_DEFINE(model, version)
};

struct SetEndpoint {
    EndpointRecord record;
    MSGPACK_DEFINE(record)
};

struct DeregisterEndpoint {
    EndpointIncarnation leave;
    MSGPACK_DEFINE(leave)
};

struct RemoveEndpoint {
    EndpointIncarnation leave;
    MSGPACK_DEFINE(leave)
};

struct AcceptJob {
    batch::JobSpec spec;
    MSGPACK_DEFINE(spec)
};

struct RecordResults {
    batch::JobId job;
    std::vector<batch::ItemResult> results;
    std::vector<batch::ScoredItem> scored {}; ///< Listed with the texts that are held; left out where one is not complete.
    MSGPACK_DEFINE(job, results, scored)
};

struct EndJob {
    batch::JobId job;
    MSGPACK_DEFINE(job)
};

struct RemoveJob {
    batch::JobId job;
    MSGPACK_DEFINE(job)
};

/// An instance takes the right to send orders to endpoints from the one that had it.
struct ClaimOrders {
    std::string instance;
    std::uint64_t fence = 0; ///< Higher than that of every earlier holder.
    MSGPACK_DEFINE(instance, fence)
};

/// The holder of the order right begins to send orders, or has no order on its way any more.
struct SetOrderWindow {
    std::uint64_t fence = 0; ///< Of the holder.
    bool isOpen = false;
    MSGPACK_DEFINE(fence, isOpen)
};

/// The right to send orders, as agreed.
struct OrderRecord {
    ClaimOrders holder;
    bool isOpen = false; ///< Orders of the holder may be on their way.
    std::uint64_t changes = 0; ///< Rises with each change.
    MSGPACK_DEFINE(holder, isOpen, changes)
};

/// An operator wants an instance emptied.
struct RetireInstance {
    std::string instance;
    MSGPACK_DEFINE(instance)
};

/// What running items generated so far.
struct AppendTexts {
    std::vector<batch::TextPart> parts;
    MSGPACK_DEFINE(parts)
};

/// Endpoints crashed under requests, and requests were answered whole.
struct ReportSuspects {
    std::vector<EndpointCrash> crashes;
    std::vector<RequestFingerprint> cleared;
    std::uint64_t atMs = 0; ///< Unix milliseconds of the leader.
    MSGPACK_DEFINE(crashes, cleared, atMs)
};

/// Forgets crashes that were reported before a time.
struct ForgetCrashes {
    std::uint64_t beforeMs = 0; ///< Unix milliseconds of the leader.
    MSGPACK_DEFINE(beforeMs)
};

/// An item failed once more.
struct RecordItemFailures {
    batch::JobId job;
    batch::ItemFailures failures;
    MSGPACK_DEFINE(job, failures)
};

using Command = std::variant<PutConfiguration, PublishVersion, SetEndpoint, DeregisterEndpoint, RemoveEndpoint, AcceptJob, RecordResults, EndJob, RemoveJob, ClaimOrders, RetireInstance, AppendTexts, SetOrderWindow, ReportSuspects, ForgetCrashes, RecordItemFailures>;

[[nodiscard]] std::string encodeCommand(const Command& command);
/// Nothing if the bytes are no command of this version.
[[nodiscard]] std::optional<Command> decodeCommand(std::string_view bytes);

enum class ConfigurationOutcome : std::uint8_t {
    Accepted, ///< In force now.
    Known, ///< The same content is in force, or a higher version.
    Conflict, ///< Other content is in force under this version.
};

}

MSGPACK_ADD_ENUM(azurepaddle::registry::ConfigurationOutcome)
