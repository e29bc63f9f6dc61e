#pragma once

#include "azurepaddle/membership/endpoint.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurepaddle::membership {

/// Which endpoints a peer wants to hear about.
enum class DeltaScope : unsigned char {
    Local, ///< Those that announced themselves to the answering instance, for instances that all pull from each other.
    All, ///< All that the answering instance knows, for aggregators.
    Subset, ///< The candidates of the requesting instance, for instances that pull from an aggregator.
};

/// Asks a peer for what changed since the version that the last batch reached.
struct DeltaRequest {
    InstanceId from;
    DataCentreName dataCentre;
    std::uint64_t epoch = 0; ///< Of the directory that the version belongs to; 0 at first.
    std::uint64_t since = 0;
    std::uint8_t scope = 0;
    std::vector<std::uint32_t> wanted; ///< Handles whose full announcement the requester does not have.
    MSGPACK_DEFINE(from, dataCentre, epoch, since, scope, wanted)

    friend bool operator==(const DeltaRequest&, const DeltaRequest&) = default;
};

/// A whole announcement. The handle stands for this endpoint and incarnation in later renewals of the same epoch.
struct FullDelta {
    std::uint32_t handle = 0;
    std::uint32_t leaseMs = 0; ///< What remained of the lease at the answering instance.
    EndpointAnnouncement announcement;
    MSGPACK_DEFINE(handle, leaseMs, announcement)

    friend bool operator==(const FullDelta&, const FullDelta&) = default;
};

/// The fields that change with each announcement.
struct RenewalDelta {
    std::uint32_t handle = 0;
    std::uint32_t leaseMs = 0;
    std::uint32_t identityTag = 0; ///< Of the other fields; if the receiver's differ, it asks for the full announcement.
    std::uint64_t sequence = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t outstandingTokens = 0;
    std::int64_t reportLagMs = 0; ///< Before DeltaBatch::reportBaseMs.
    std::vector<CacheEvent> cacheEvents;
    MSGPACK_DEFINE(handle, leaseMs, identityTag, sequence, running, queued, outstandingTokens, reportLagMs, cacheEvents)

    friend bool operator==(const RenewalDelta&, const RenewalDelta&) = default;
};

/// An endpoint left under this incarnation.
struct LeaveDelta {
    EndpointId id;
    std::uint64_t incarnation = 0;
    MSGPACK_DEFINE(id, incarnation)

    friend bool operator==(const LeaveDelta&, const LeaveDelta&) = default;
};

/// An operator's drain mark. The higher revision wins; of equal ones, the one that drains.
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
    std::uint64_t since = 0; ///< The version of the request, or 0 if the answer starts from the beginning.
    std::uint64_t upTo = 0; ///< The version to ask from next.
    bool hasMore = false; ///< Further changes did not fit.
    std::int64_t reportBaseMs = 0;
    std::vector<FullDelta> fulls;
    std::vector<RenewalDelta> renewals;
    std::vector<LeaveDelta> leaves;
    std::vector<DrainDelta> drains;
    MSGPACK_DEFINE(from, epoch, since, upTo, hasMore, reportBaseMs, fulls, renewals, leaves, drains)

    friend bool operator==(const DeltaBatch&, const DeltaBatch&) = default;
};

[[nodiscard]] std::string encodeRequest(const DeltaRequest& request);
[[nodiscard]] tl::expected<DeltaRequest, codec::CodecError> decodeRequest(std::string_view bytes);
[[nodiscard]] std::string encodeBatch(const DeltaBatch& batch);
[[nodiscard]] tl::expected<DeltaBatch, codec::CodecError> decodeBatch(std::string_view bytes);

}
