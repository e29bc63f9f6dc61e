#include "azurepaddle/cluster/contact_book.hpp"

#include <algorithm>
#include <utility>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace azurepaddle::cluster {

namespace {

    std::uint64_t hashOf(std::string_view address, std::uint64_t seed) { return XXH3_64bits_withSeed(address.data(), address.size(), seed); }

    std::size_t bucketOf(std::string_view address) { return hashOf(address, 0) % ContactBook::bucketCount; }

}

/// Adds a contact to the digest of its bucket, or removes it.
void ContactBook::updateDigest(const InstanceAddress& address, control::ContactRole role)
{
    const std::string text = formatAddress(address);
    m_bucketDigests.at(bucketOf(text)) ^= hashOf(text, 1 + static_cast<std::uint64_t>(role));
    m_isChanged = true;
}

void ContactBook::erase(Entries::iterator entry)
{
    updateDigest(entry->first, entry->second.role);
    m_entries.erase(entry);
}

/// Makes room for one contact by forgetting the one that is silent for longest. False if none is silent.
bool ContactBook::makeRoom(TimePoint now)
{
    if (m_entries.size() < maxContacts)
        return true;
    const auto oldest = std::min_element(m_entries.begin(), m_entries.end(), [](const auto& a, const auto& b) { return a.second.silentSince < b.second.silentSince; });
    if (now - oldest->second.silentSince <= silenceTimeout)
        return false;
    erase(oldest);
    return true;
}

/// The entry of a contact; null if there are too many others. A new entry is silent since the given time.
ContactBook::Entry* ContactBook::findOrAdd(const Contact& contact, TimePoint silentSince, TimePoint now)
{
    const auto found = m_entries.find(contact.address);
    if (found != m_entries.end())
        return &found->second;
    if (!makeRoom(now))
        return nullptr;
    updateDigest(contact.address, contact.role);
    Entry& entry = m_entries[contact.address];
    entry.role = contact.role;
    entry.silentSince = silentSince;
    return &entry;
}

void ContactBook::setRole(const InstanceAddress& address, Entry& entry, control::ContactRole role)
{
    if (entry.role == role)
        return;
    updateDigest(address, entry.role);
    entry.role = role;
    updateDigest(address, entry.role);
}

void ContactBook::recordHeard(const Contact& contact, TimePoint now)
{
    Entry* entry = findOrAdd(contact, now, now);
    if (!entry)
        return;
    setRole(contact.address, *entry, contact.role);
    entry->silentSince = now;
    entry->heardAt = now;
    entry->callPause = minCallPause;
    entry->nextCall = now;
}

void ContactBook::add(const Contact& contact, TimePoint now)
{
    static_cast<void>(findOrAdd(contact, now - silenceTimeout, now));
}

void ContactBook::merge(const std::vector<control::ContactRecord>& records, TimePoint now)
{
    for (const control::ContactRecord& record : records) {
        const auto address = parseAddress(record.address);
        const std::chrono::seconds silence(record.silentSeconds);
        if (address && silence < lifetime)
            mergeRecord(*address, record.role, now - silence, now);
    }
}

/// The later of two accounts holds: an address may have passed to an instance of another role.
void ContactBook::mergeRecord(const InstanceAddress& address, control::ContactRole role, TimePoint silentSince, TimePoint now)
{
    Entry* entry = findOrAdd({ address, role }, silentSince, now);
    if (!entry)
        return;
    if (silentSince > entry->silentSince || (silentSince == entry->silentSince && role == control::ContactRole::Store))
        setRole(address, *entry, role);
    entry->silentSince = std::max(entry->silentSince, silentSince);
    if (now - entry->silentSince < silenceTimeout) {
        entry->callPause = minCallPause;
        entry->nextCall = now;
    }
}

void ContactBook::removeExpired(TimePoint now)
{
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        const auto next = std::next(entry);
        if (now - entry->second.silentSince >= lifetime)
            erase(entry);
        entry = next;
    }
}

std::vector<InstanceAddress> ContactBook::takeDue(control::ContactRole role, TimePoint listeningSince, TimePoint now)
{
    std::vector<std::pair<TimePoint, InstanceAddress>> due;
    for (const auto& [address, entry] : m_entries) {
        const bool isSilent = now - std::max(entry.silentSince, listeningSince) >= silenceTimeout;
        if (entry.role == role && isSilent && now >= entry.nextCall)
            due.emplace_back(entry.nextCall, address);
    }
    std::sort(due.begin(), due.end());
    due.resize(std::min(due.size(), maxCallsPerRound));
    std::vector<InstanceAddress> addresses;
    for (const auto& [since, address] : due) {
        Entry& entry = m_entries.at(address);
        entry.nextCall = now + entry.callPause;
        entry.callPause = std::min<Duration>(entry.callPause * 2, maxCallPause);
        addresses.push_back(address);
    }
    return addresses;
}

/// Rounds up, so that a contact never seems to have been heard from later than it was.
control::ContactRecord ContactBook::recordOf(const InstanceAddress& address, const Entry& entry, TimePoint now)
{
    const auto silence = std::chrono::ceil<std::chrono::seconds>(now - entry.silentSince);
    return { formatAddress(address), entry.role, static_cast<std::uint32_t>(std::max<std::int64_t>(silence.count(), 0)) };
}

std::vector<control::ContactRecord> ContactBook::heard(TimePoint now) const
{
    std::vector<control::ContactRecord> records;
    for (const auto& [address, entry] : m_entries) {
        if (entry.heardAt && now - *entry.heardAt < silenceTimeout)
            records.push_back(recordOf(address, entry, now));
    }
    return records;
}

std::vector<control::ContactRecord> ContactBook::all(TimePoint now) const
{
    std::vector<control::ContactRecord> records;
    records.reserve(m_entries.size());
    for (const auto& [address, entry] : m_entries)
        records.push_back(recordOf(address, entry, now));
    return records;
}

std::vector<control::ContactRecord> ContactBook::inBuckets(const std::vector<std::uint8_t>& buckets, TimePoint now) const
{
    std::vector<control::ContactRecord> records;
    if (buckets.empty())
        return records;
    for (const auto& [address, entry] : m_entries) {
        control::ContactRecord record = recordOf(address, entry, now);
        if (std::find(buckets.begin(), buckets.end(), bucketOf(record.address)) != buckets.end())
            records.push_back(std::move(record));
    }
    return records;
}

std::size_t ContactBook::count(control::ContactRole role) const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [role](const auto& entry) { return entry.second.role == role; }));
}

std::uint64_t ContactBook::digest() const noexcept
{
    return XXH3_64bits(m_bucketDigests.data(), sizeof(m_bucketDigests));
}

std::vector<std::uint8_t> ContactBook::differingBuckets(const std::vector<std::uint64_t>& others) const
{
    std::vector<std::uint8_t> buckets;
    for (std::size_t bucket = 0; bucket < std::min(others.size(), bucketCount) && buckets.size() < maxBucketsPerExchange; ++bucket) {
        if (others[bucket] != m_bucketDigests.at(bucket))
            buckets.push_back(static_cast<std::uint8_t>(bucket));
    }
    return buckets;
}

}
