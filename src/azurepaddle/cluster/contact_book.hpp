#pragma once

#include "azurepaddle/control/contact_messages.hpp"
#include "azurepaddle/core/address.hpp"
#include "azurepaddle/core/clock.hpp"

#include <array>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace azurepaddle::cluster {

/// An instance to call.
struct Contact {
    InstanceAddress address;
    control::ContactRole role = control::ContactRole::Store;

    friend bool operator==(const Contact&, const Contact&) = default;
};

/// The instances of the deployment that this one or another one has heard from. An instance that restarts without a disk
/// knows the seeds of its settings alone, and these may know each other alone, so those that remember it call it.
/// Addresses are only places to ask: what an instance is follows from its replies. Their number is limited, and those
/// that nobody heard from for `lifetime` are forgotten. Performs no I/O; times are those of a clock that counts while the
/// instance runs.
class ContactBook {
public:
    /// A contact is called if it is silent for this long. Contacts are reported once a second.
    static constexpr Duration silenceTimeout = std::chrono::seconds(3);
    /// Pause between two calls of a silent contact, doubled up to the maximum as long as it stays silent.
    static constexpr Duration minCallPause = std::chrono::seconds(1);
    static constexpr Duration maxCallPause = std::chrono::seconds(8);
    /// Longer than any partition that heals by itself.
    static constexpr Duration lifetime = std::chrono::hours(24);
    static constexpr std::size_t maxContacts = 4096;
    /// Calls of one role a second. With `maxCallPause`, 2,048 silent contacts are called as often as few are.
    static constexpr std::size_t maxCallsPerRound = 256;
    /// Contacts are compared and exchanged by buckets, to which a hash assigns their addresses.
    static constexpr std::size_t bucketCount = 64;
    /// Limits the size of a message while two instances remember quite different contacts.
    static constexpr std::size_t maxBucketsPerExchange = 16;

    using BucketDigests = std::array<std::uint64_t, bucketCount>;

    /// Records that this instance heard from a contact.
    void recordHeard(const Contact& contact, TimePoint now);
    /// Adds a contact of which this instance was told, unless it is known. It counts as silent.
    void add(const Contact& contact, TimePoint now);
    /// Adds the contacts of another instance. Malformed addresses are ignored.
    void merge(const std::vector<control::ContactRecord>& records, TimePoint now);
    /// Removes the contacts that nobody heard from within their lifetime.
    void removeExpired(TimePoint now);
    /// The contacts of a role to call now, at most `maxCallsPerRound`, those that wait longest first. Silence counts from
    /// `listeningSince` at the earliest: before it, others had no reason to report to this instance.
    [[nodiscard]] std::vector<InstanceAddress> takeDue(control::ContactRole role, TimePoint listeningSince, TimePoint now);

    /// The contacts that this instance heard from within `silenceTimeout`.
    [[nodiscard]] std::vector<control::ContactRecord> heard(TimePoint now) const;
    [[nodiscard]] std::vector<control::ContactRecord> all(TimePoint now) const;
    /// The contacts in these buckets.
    [[nodiscard]] std::vector<control::ContactRecord> inBuckets(const std::vector<std::uint8_t>& buckets, TimePoint now) const;
    [[nodiscard]] std::size_t count(control::ContactRole role) const;
    /// Equal for two instances that remember the same contacts with the same roles.
    [[nodiscard]] std::uint64_t digest() const noexcept;
    [[nodiscard]] const BucketDigests& bucketDigests() const noexcept { return m_bucketDigests; }
    /// The buckets whose digests differ from those of another instance, at most `maxBucketsPerExchange`.
    [[nodiscard]] std::vector<std::uint8_t> differingBuckets(const std::vector<std::uint64_t>& others) const;
    /// Whether contacts were added, removed or changed their role since the last call.
    [[nodiscard]] bool takeChanged() noexcept { return std::exchange(m_isChanged, false); }

private:
    struct Entry {
        control::ContactRole role = control::ContactRole::Store;
        TimePoint silentSince {}; ///< The last time at which anyone heard from it, as far as this instance knows.
        std::optional<TimePoint> heardAt {}; ///< The last time at which this instance heard from it.
        TimePoint nextCall {};
        Duration callPause = minCallPause;
    };
    using Entries = std::map<InstanceAddress, Entry>;

    [[nodiscard]] Entry* findOrAdd(const Contact& contact, TimePoint silentSince, TimePoint now);
    void mergeRecord(const InstanceAddress& address, control::ContactRole role, TimePoint silentSince, TimePoint now);
    [[nodiscard]] bool makeRoom(TimePoint now);
    void erase(Entries::iterator entry);
    void setRole(const InstanceAddress& address, Entry& entry, control::ContactRole role);
    void updateDigest(const InstanceAddress& address, control::ContactRole role);
    [[nodiscard]] static control::ContactRecord recordOf(const InstanceAddress& address, const Entry& entry, TimePoint now);

    Entries m_entries;
    bool m_isChanged = false;
    BucketDigests m_bucketDigests {}; ///< The hashes of the contacts in each bucket, combined by exclusive or.
};

}
