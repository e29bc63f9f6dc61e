#pragma once

#include "azurepaddle/membership/endpoint.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurepaddle::membership {

/// The endpoints whose changes a request covers.
enum class DeltaScope : unsigned char {
    Local, ///< Those that announced themselves to the answering instance. Used by instances that all pull from each other.
    All, ///< All in the directory of the answering instance. Used by aggregators.
    Subset, ///< The candidates of the requesting instance. Used by instances that pull from an aggregator.
};

/// Requests the changes after the version that the last batch reached.
struct DeltaRequest {
    InstanceId from;
    DataCentreName dataCentre;
    std::uint64_t epoch = 0; ///< Of the directory to which the version belongs; 0 in the first request.
    std::uint64_t sinceVersion = 0;
    std::uint8_t scope = 0;
    std::vector<std::uint32_t> missingHandles; ///< Handles whose full announcement the requester does not have.
    MSGPACK_DEFINE(from, dataCentre, epoch, sinceVersion, scope, missingHandles)

    friend bool operator==(const DeltaRequest&, const DeltaRequest&) = default;
};

/// A full announcement. The handle identifies this endpoint and incarnation in later renewals of the same epoch.
struct FullDelta {
    std::uint32_t handle = 0;
    std::uint32_t leaseMs = 0; ///< Remaining lease at the answering instance.
    EndpointAnnouncement announcement;
    MSGPACK_DEFINE(handle, leaseMs, announcement)

    friend bool operator==(const FullDelta&, const FullDelta&) = default;
};

/// The fields of an announcement that change with each renewal.
struct RenewalDelta {
    std::uint32_t handle = 0;
    std::uint32_t leaseMs = 0;
    std::uint32_t identityHash = 0; ///< Hash of the other fields. If it differs at the receiver, the receiver requests the full
                                    ///< announcement.
    std::uint64_t sequence = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t outstandingTokens = 0;
    std::int64_t reportLagMs = 0; ///< Time of the load report, in milliseconds before DeltaBatch::reportBaseMs.
    std::vector<CacheEvent> cacheEvents;
    MSGPACK_DEFINE(handle, leaseMs, identityHash, sequence, running, queued, outstandingTokens, reportLagMs, cacheEvents)

    friend bool operator==(const RenewalDelta&, const RenewalDelta&) = default;
};

/// Reports that the endpoint with this incarnation has left the cluster.
struct LeaveDelta {
    EndpointId id;
    std::uint64_t incarnation = 0;
    MSGPACK_DEFINE(id, incarnation)

    friend bool operator==(const LeaveDelta&, const LeaveDelta&) = default;
};

/// An operator's mark that an endpoint is to be drained, or no longer. When marks for one endpoint conflict, the
/// highest revision wins; if the revisions are equal, `draining == true` wins.
struct DrainDelta {
    EndpointId id;
    bool draining = false;
    std::uint64_t revision = 0;
    MSGPACK_DEFINE(id, draining, revision)

    friend bool operator==(const DrainDelta&, const DrainDelta&) = default;
};

/// Changes of one directory up to a version.
struct DeltaBatch {
    InstanceId from;
    std::uint64_t epoch = 0;
    std::uint64_t sinceVersion = 0; ///< The version in the request, or 0 if the batch starts from the beginning.
    std::uint64_t upToVersion = 0; ///< The version from which the next request continues.
    bool hasMore = false; ///< Further changes did not fit into this batch.
    std::int64_t reportBaseMs = 0;
    std::vector<FullDelta> fullAnnouncements;
    std::vector<RenewalDelta> renewals;
    std::vector<LeaveDelta> leaves;
    std::vector<DrainDelta> drains;
    MSGPACK_DEFINE(from, epoch, sinceVersion, upToVersion, hasMore, reportBaseMs, fullAnnouncements, renewals, leaves, drains)

    friend bool operator==(const DeltaBatch&, const DeltaBatch&) = default;
};

[[nodiscard]] std::string encodeRequest(const DeltaRequest& request);
[[nodiscard]] tl::expected<DeltaRequest, codec::CodecError> decodeRequest(std::string_view bytes);
[[nodiscard]] std::string encodeBatch(const DeltaBatch& batch);
[[nodiscard]] tl::expected<DeltaBatch, codec::CodecError> decodeBatch(std::string_view bytes);

}
