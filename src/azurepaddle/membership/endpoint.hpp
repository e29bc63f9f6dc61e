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

/// A change of an engine's prompt cache: hashes of the prompt prefixes that it stored and dropped. A gap in the
/// sequence numbers indicates lost events.
struct CacheEvent {
    std::uint64_t sequence = 0;
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> dropped;
    MSGPACK_DEFINE(sequence, stored, dropped)

    friend bool operator==(const CacheEvent&, const CacheEvent&) = default;
};

/// State that an endpoint reports about itself once a second.
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
    std::uint64_t incarnation = 0; ///< Increases when the endpoint restarts.
    std::uint64_t sequence = 0; ///< Increases with each announcement of an incarnation; 0 if the endpoint does not number them.
    bool checksFencing = false;
    MSGPACK_DEFINE(id, address, service, dataCentre, versions, adapters, slots, running, queued, outstandingTokens,
        reportTimeMs, cacheEvents, incarnation, sequence, checksFencing)

    friend bool operator==(const EndpointAnnouncement&, const EndpointAnnouncement&) = default;
};

/// An endpoint's record in the directory. Immutable; each renewal creates a new record.
struct EndpointRecord {
    EndpointAnnouncement announcement; ///< Its cache events are the most recent ones, including those of earlier announcements.
    TimePoint updatedAt; ///< When this instance received the load report.
    bool draining = false; ///< An operator excluded it from new work.
};

using EndpointPointer = std::shared_ptr<const EndpointRecord>;
using CandidateList = std::vector<EndpointPointer>;

/// State of an endpoint as shown to operators.
struct EndpointStatus {
    EndpointPointer record;
    bool hasLeft = false;
    Duration leaseRemaining {}; ///< Zero or negative after the lease expired.
};

enum class DirectoryErrorCode : unsigned char {
    Invalid, ///< A field is missing or too large.
    Superseded, ///< The directory has a newer incarnation or sequence of the endpoint.
    Left, ///< The endpoint left with this incarnation; it may return with a higher one.
    Full, ///< The directory contains the maximum number of endpoints.
    Unknown, ///< The endpoint is not in the directory.
};

using DirectoryError = LayerError<DirectoryErrorCode>;

/// Settings of an EndpointDirectory.
struct DirectoryOptions {
    InstanceId self;
    DataCentreName dataCentre;
    Duration lease = std::chrono::seconds(3);
    Duration retention = std::chrono::seconds(60); ///< Records are kept this long after the endpoint left or its lease expired.
    std::size_t candidateLimit = 64; ///< Candidates per service on one instance.
    std::size_t maxEndpoints = 16384;
    std::size_t maxBatchBytes = 65536; ///< Approximate maximum size of one delta batch; further changes follow in the next.
    std::size_t eventHistory = 32; ///< Cache events kept per endpoint.
};

/// Whether the identifier has a valid length.
[[nodiscard]] bool isValidEndpointId(const EndpointId& id) noexcept;

/// Checks that all required fields are present and no field exceeds its bound.
[[nodiscard]] tl::expected<void, DirectoryError> checkAnnouncement(const EndpointAnnouncement& announcement);

/// Hash of the fields that a RenewalDelta does not contain.
[[nodiscard]] std::uint32_t hashIdentity(const EndpointAnnouncement& announcement);

/// Score of an endpoint as a candidate of an instance by rendezvous hashing; the highest scores are chosen.
[[nodiscard]] std::uint64_t rendezvousScore(const InstanceId& instance, const EndpointId& endpoint) noexcept;

}
