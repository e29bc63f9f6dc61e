#pragma once

#include "azurepaddle/control/types.hpp"

#include <compare>
#include <map>
#include <string>

namespace azurepaddle::control {

class Instances;

struct ClaimKey {
    TenantName tenant;
    std::string key; ///< The Idempotency-Key.

    auto operator<=>(const ClaimKey&) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 misreads it
    MSGPACK_DEFINE(tenant, key)
};

/// Claims the exclusive right to run a non-idempotent request. Submitted before the first byte of the request is sent.
struct Claim {
    static constexpr std::uint32_t tag = 30;
    ClaimKey key;
    RequestId request; ///< Identifies this attempt; CompleteClaim and ReleaseClaim must carry the same value.
    std::string bodyDigest;
    Holder holder;
    LogTime keyFirstSeen = 0; ///< Stated by the caller. 0 if not stated: the current log time is used.
    Milliseconds retention = 0;

    bool operator==(const Claim&) const = default;
    MSGPACK_DEFINE(key, request, bodyDigest, holder, keyFirstSeen, retention)
};

enum class ClaimOutcome : unsigned char {
    Succeeded,
    Failed,
    Unknown, ///< The connection was lost after the first byte was sent.
};

/// Response that is returned to requests repeated under the same key.
struct ClaimResult {
    ClaimOutcome outcome = ClaimOutcome::Unknown;
    std::uint32_t httpStatus = 0;
    std::string contentType;
    std::string body; ///< Empty if not kept.
    bool hasBody = false;

    bool operator==(const ClaimResult&) const = default;
    MSGPACK_DEFINE(outcome, httpStatus, contentType, body, hasBody)
};

/// Records the outcome of the request. Accepted from the holder even after it was reported dead.
struct CompleteClaim {
    static constexpr std::uint32_t tag = 31;
    ClaimKey key;
    RequestId request;
    Holder holder;
    ClaimResult result;

    bool operator==(const CompleteClaim&) const = default;
    MSGPACK_DEFINE(key, request, holder, result)
};

/// Releases the claim after a failed connect, when no byte of the request has been sent.
struct ReleaseClaim {
    static constexpr std::uint32_t tag = 32;
    ClaimKey key;
    RequestId request;
    Holder holder;

    bool operator==(const ReleaseClaim&) const = default;
    MSGPACK_DEFINE(key, request, holder)
};

enum class ClaimStatus : unsigned char {
    Granted, ///< The request may be sent, once.
    InProgress, ///< Another request with this key is running.
    Unknown, ///< The holder of the claim was reported dead; the request may have run.
    Done, ///< The request has finished; the reply carries its result.
    BodyDiffers, ///< The key was used with a different request body.
    KeyTooOld, ///< The key is older than the retention window; whether it was used is no longer recorded.
    KeyTimeAhead, ///< The stated time of the key is ahead of the log time by more than maxClockDifference.
    HolderDead, ///< The claiming incarnation was reported dead; the instance must start a new one.
    Full, ///< maxClaims is reached.
    Completed,
    Released,
    NotHolder, ///< The claim does not exist or belongs to another request.
};

struct ClaimReply {
    static constexpr std::uint32_t tag = 30;
    ClaimStatus status = ClaimStatus::NotHolder;
    ClaimResult result; ///< Set if the status is Done.
    RequestId request; ///< The request that holds or held the claim.

    bool operator==(const ClaimReply&) const = default;
    MSGPACK_DEFINE(status, result, request)
};

enum class ClaimState : unsigned char {
    Claimed,
    Done,
    Released,
};

struct ClaimRecord {
    ClaimState state = ClaimState::Claimed;
    RequestId request;
    std::string bodyDigest;
    Holder holder;
    LogTime claimedAt = 0; ///< Time of the last grant.
    LogTime expires = 0;
    ClaimResult result;

    bool operator==(const ClaimRecord&) const = default;
    MSGPACK_DEFINE(state, request, bodyDigest, holder, claimedAt, expires, result)
};

/// Claims of non-idempotent requests. A claim is never transferred from its holder to another; it can only be granted
/// anew after its release.
class Claims {
public:
    /// Largest number of stored claims. Further claims are refused.
    static constexpr std::size_t maxClaims = 1'000'000;
    /// Largest response body stored with a claim, in bytes.
    static constexpr std::size_t maxResultBody = 4096;
    /// Largest total size of the stored response bodies, in bytes. Results that would exceed it are stored without
    /// body.
    static constexpr std::size_t maxResultBytes = 256ULL * 1024 * 1024;
    /// Longest retention window that a claim may request.
    static constexpr Milliseconds maxRetention = 7LL * 24 * 3'600'000;

    Claims() = default;
    Claims(const Claims& other);
    Claims(Claims&&) = default;
    Claims& operator=(const Claims& other);
    Claims& operator=(Claims&&) = default;
    ~Claims() = default;

    [[nodiscard]] ClaimReply claim(const Claim& request, const Instances& instances, LogTime now);
    [[nodiscard]] ClaimReply complete(const CompleteClaim& request);
    [[nodiscard]] ClaimReply release(const ReleaseClaim& request);
    /// Removes claims whose retention window has passed.
    void expire(LogTime now);

    [[nodiscard]] const std::map<ClaimKey, ClaimRecord>& records() const noexcept { return m_records; }
    /// Total size of the stored response bodies, in bytes.
    [[nodiscard]] std::size_t resultBytes() const noexcept { return m_resultBytes; }
    /// Rebuilds the expiry index and the byte count after decoding.
    void rebuildIndex();

    bool operator==(const Claims& other) const { return m_records == other.m_records && m_evictedUpTo == other.m_evictedUpTo; }
    MSGPACK_DEFINE(m_records, m_evictedUpTo)

private:
    using Records = std::map<ClaimKey, ClaimRecord>;

    [[nodiscard]] ClaimReply replyForExistingClaim(const Claim& request, ClaimRecord& record, const Instances& instances, LogTime now);
    void grant(const Claim& request, ClaimRecord& record, LogTime now);
    [[nodiscard]] ClaimRecord* findByHolder(const ClaimKey& key, const RequestId& request, const Holder& holder);

    Records m_records;
    std::multimap<LogTime, Records::iterator> m_byExpiry;
    std::size_t m_resultBytes = 0;
    LogTime m_evictedUpTo = 0; ///< A key first seen up to this time may belong to a claim that was removed.
};

}

MSGPACK_ADD_ENUM(azurepaddle::control::ClaimOutcome)
MSGPACK_ADD_ENUM(azurepaddle::control::ClaimStatus)
MSGPACK_ADD_ENUM(azurepaddle::control::ClaimState)
