#include "azurepaddle/control/claims.hpp"

#include "azurepaddle/control/instances.hpp"

#include <algorithm>

namespace azurepaddle::control {

Claims::Claims(const Claims& other)
    : m_records(other.m_records)
    , m_evictedUpTo(other.m_evictedUpTo)
{
    rebuildIndex();
}

Claims& Claims::operator=(const Claims& other)
{
    if (this != &other)
        *this = Claims(other);
    return *this;
}

ClaimReply Claims::claim(const Claim& request, const Instances& instances, LogTime now)
{
    const LogTime firstSeen = request.keyFirstSeen == 0 ? now : request.keyFirstSeen;
    // A key with a stated time in the future would be accepted after its claim has expired, and its request would run
    // twice.
    if (firstSeen > now + maxClockDifference)
        return { ClaimStatus::KeyTimeAhead, {}, {} };
    if (const auto found = m_records.find(request.key); found != m_records.end())
        return replyForExistingClaim(request, found->second, instances, now);
    if (firstSeen <= m_evictedUpTo || firstSeen + request.retention <= now)
        return { ClaimStatus::KeyTooOld, {}, {} };
    if (instances.isDead(request.holder))
        return { ClaimStatus::HolderDead, {}, {} };
    if (m_records.size() >= maxClaims)
        return { ClaimStatus::Full, {}, {} };
    const auto created = m_records.emplace(request.key, ClaimRecord {}).first;
    ClaimRecord& record = created->second;
    record.expires = now + request.retention + 2 * maxClockDifference;
    record.bodyDigest = request.bodyDigest;
    m_byExpiry.emplace(record.expires, created);
    grant(request, record, now);
    return { ClaimStatus::Granted, {}, request.request };
}

ClaimReply Claims::replyForExistingClaim(const Claim& request, ClaimRecord& record, const Instances& instances, LogTime now)
{
    if (record.bodyDigest != request.bodyDigest)
        return { ClaimStatus::BodyDiffers, {}, record.request };
    switch (record.state) {
    case ClaimState::Done:
        return { ClaimStatus::Done, record.result, record.request };
    case ClaimState::Claimed:
        return { instances.isDead(record.holder) ? ClaimStatus::Unknown : ClaimStatus::InProgress, {}, record.request };
    case ClaimState::Released:
        break;
    }
    if (instances.isDead(request.holder))
        return { ClaimStatus::HolderDead, {}, {} };
    grant(request, record, now);
    return { ClaimStatus::Granted, {}, request.request };
}

void Claims::grant(const Claim& request, ClaimRecord& record, LogTime now)
{
    record.state = ClaimState::Claimed;
    record.request = request.request;
    record.holder = request.holder;
    record.claimedAt = now;
    // A key without a stated time counts as first seen at each of its claims, so every grant extends its retention.
    const LogTime expires = now + request.retention + 2 * maxClockDifference;
    if (expires <= record.expires)
        return;
    const auto found = m_records.find(request.key);
    auto [entry, end] = m_byExpiry.equal_range(record.expires);
    while (entry != end && entry->second != found)
        ++entry;
    m_byExpiry.erase(entry);
    record.expires = expires;
    m_byExpiry.emplace(expires, found);
}

ClaimRecord* Claims::findByHolder(const ClaimKey& key, const RequestId& request, const Holder& holder)
{
    const auto found = m_records.find(key);
    if (found == m_records.end() || found->second.request != request || found->second.holder != holder)
        return nullptr;
    return &found->second;
}

ClaimReply Claims::complete(const CompleteClaim& request)
{
    ClaimRecord* const record = findByHolder(request.key, request.request, request.holder);
    if (record == nullptr || record->state == ClaimState::Released)
        return { ClaimStatus::NotHolder, {}, {} };
    if (record->state == ClaimState::Done)
        return { ClaimStatus::Done, record->result, record->request };
    record->state = ClaimState::Done;
    record->result = request.result;
    const std::size_t bodySize = record->result.body.size();
    if (!record->result.hasBody || bodySize > maxResultBody || m_resultBytes + bodySize > maxResultBytes) {
        record->result.body = std::string();
        record->result.hasBody = false;
    }
    m_resultBytes += record->result.body.size();
    return { ClaimStatus::Completed, {}, record->request };
}

ClaimReply Claims::release(const ReleaseClaim& request)
{
    ClaimRecord* const record = findByHolder(request.key, request.request, request.holder);
    if (record == nullptr || record->state == ClaimState::Done)
        return { ClaimStatus::NotHolder, {}, {} };
    record->state = ClaimState::Released;
    return { ClaimStatus::Released, {}, record->request };
}

void Claims::expire(LogTime now)
{
    while (!m_byExpiry.empty() && m_byExpiry.begin()->first <= now) {
        const auto record = m_byExpiry.begin()->second;
        m_evictedUpTo = std::max(m_evictedUpTo, record->second.claimedAt + maxClockDifference);
        m_resultBytes -= record->second.result.body.size();
        m_byExpiry.erase(m_byExpiry.begin());
        m_records.erase(record);
    }
}

void Claims::rebuildIndex()
{
    m_byExpiry.clear();
    m_resultBytes = 0;
    for (auto record = m_records.begin(); record != m_records.end(); ++record) {
        m_byExpiry.emplace(record->second.expires, record);
        m_resultBytes += record->second.result.body.size();
    }
}

}
