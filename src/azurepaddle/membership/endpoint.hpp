#pragma once

#include "azurepaddle/codec/codec.hpp"
#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/error.hpp"
#include "azurepaddle/core/ident.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace azurepaddle::membership {

/// A change of an engine's prompt cache: hashes of prompt prefixes that it stored and dropped. A gap in the sequence
/// numbers means that events were lost.
struct CacheEvent {
    std::uint64_t sequence = 0;
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> dropped;
    MSGPACK_DEFINE(sequence, stored, dropped)

    friend bool operator==(const CacheEvent&, const CacheEvent&) = default;
};

/// What an endpoint says about itself, once a second.
struct EndpointAnnouncement {
    EndpointId id;
    std::string address; ///< `ip:port`
    ServiceName service;
    DataCentreName dataCentre;
    std::vector<WeightVersion> versions;
    std::vector<std::string> adapters;
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t outstandingTokens = 0;
    std::int64_t reportTimeMs = 0; ///< Wall clock of the endpoint when it measured its load.
    std::vector<CacheEvent> cacheEvents;
    std::uint64_t incarnation = 0; ///< Rises when the endpoint restarts.
    std::uint64_t sequence = 0; ///< Rises with each announcement of an incarnation; 0 if the endpoint does not count.
    bool checksFencing = false;
    MSGPACK_DEFINE(id, address, service, dataCentre, versions, adapters, slots, running, queued, outstandingTokens,
        reportTimeMs, cacheEvents, incarnation, sequence, checksFencing)

    friend bool operator==(const EndpointAnnouncement&, const EndpointAnnouncement&) = default;
};

/// An endpoint as the directory knows it. Immutable; a renewal makes a new record.
struct EndpointRecord {
    EndpointAnnouncement announcement; ///< Its cache events are the most recent ones, also of earlier announcements.
    TimePoint updatedAt; ///< When this load report reached this instance.
    bool draining = false; ///< An operator wants no new work on it.
};

using EndpointPointer = std::shared_ptr<const EndpointRecord>;
using CandidateList = std::vector<EndpointPointer>;

/// An endpoint for operators.
struct EndpointStatus {
    EndpointPointer record;
    bool hasLeft = false;
    Duration leaseRemaining {}; ///< Zero or less after the lease ended.
};

enum class DirectoryErrorCode : unsigned char {
    Invalid, ///< A field is missing or too large.
    Superseded, ///< A newer incarnation or sequence of the endpoint is known.
    Left, ///< The endpoint left under this incarnation; it may return under a higher one.
    Full, ///< The directory holds its maximum of endpoints.
    Unknown, ///< No such endpoint.
};

using DirectoryError = LayerError<DirectoryErrorCode>;

/// Settings of an EndpointDirectory.
struct DirectoryOptions {
    InstanceId self;
    DataCentreName dataCentre;
    Duration lease = std::chrono::seconds(3);
    Duration retention = std::chrono::seconds(60); ///< Records are kept this long after they left or their lease ended.
    std::size_t candidateLimit = 64; ///< Candidates per service on one instance.
    std::size_t maxEndpoints = 16384;
    std::size_t maxBatchBytes = 65536; ///< About the size of one delta batch; more follows in the next.
    std::size_t eventHistory = 32; ///< Cache events kept per endpoint.
};

/// Whether the name has an allowed length.
[[nodiscard]] bool isEndpointName(const EndpointId& id) noexcept;

/// Checks that all required fields are present and none exceeds its bound.
[[nodiscard]] tl::expected<void, DirectoryError> checkAnnouncement(const EndpointAnnouncement& announcement);

/// Hash of the fields that a renewal does not carry.
[[nodiscard]] std::uint32_t identityTag(const EndpointAnnouncement& announcement);

/// Rank of an endpoint among the candidates of an instance: the highest win (rendezvous hashing).
[[nodiscard]] std::uint64_t rendezvousScore(const InstanceId& instance, const EndpointId& endpoint) noexcept;

}
