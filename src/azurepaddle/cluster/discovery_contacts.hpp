#pragma once

#include "azurepaddle/cluster/discovery.hpp"

namespace azurepaddle::cluster {

namespace internal {

    constexpr Duration contactCallDeadline = std::chrono::milliseconds(500);
    // Interval at which an instance reports to the leader whom it hears from.
    constexpr Duration contactReportInterval = std::chrono::seconds(1);

}

template <typename Node, storage::FileSystem Files>
void Discovery<Node, Files>::maintain(TimePoint now)
{
    m_contacts.recordHeard({ m_options.address, control::ContactRole::Store }, now);
    m_contacts.removeExpired(now);
    m_file.maintain(now);
    if (!isLeader())
        m_leadingSince.reset();
    const auto leader = leaderAddress();
    if (isLeader() || !leader || now < m_nextReport)
        return;
    m_nextReport = now + internal::contactReportInterval;
    reportContacts(*leader, {});
}

/// Reports to the leader, and exchanges the contacts in the buckets that are known to differ.
template <typename Node, storage::FileSystem Files>
void Discovery<Node, Files>::reportContacts(const InstanceAddress& leader, const std::vector<std::uint8_t>& differing)
{
    const TimePoint now = m_clock.now();
    const control::ContactReport report { m_identity, m_contacts.digest(), m_contacts.heard(now), differing, m_contacts.inBuckets(differing, now) };
    m_client.send(leader, std::string(control::ContactReport::method), codec::encode(report), now + internal::contactCallDeadline, [this, leader, isExchange = !differing.empty()](const transport::CallResult& result) {
        if (!result)
            return;
        asio::post(m_io, [this, leader, isExchange, body = *result] {
            if (const auto reply = codec::decode<control::ContactReply>(body))
                handleContactReply(leader, *reply, isExchange);
        });
    });
}

/// Exchanges differing contacts at once, but only once for each regular report.
template <typename Node, storage::FileSystem Files>
void Discovery<Node, Files>::handleContactReply(const InstanceAddress& leader, const control::ContactReply& reply, bool isExchange)
{
    m_contacts.merge(reply.remembered, m_clock.now());
    const auto differing = m_contacts.differingBuckets(reply.bucketDigests);
    if (!isExchange && !differing.empty())
        reportContacts(leader, differing);
}

template <typename Node, storage::FileSystem Files>
control::ContactReply Discovery<Node, Files>::handleContactReport(const control::ContactReport& report)
{
    const TimePoint now = m_clock.now();
    recordStore(report.identity);
    m_contacts.merge(report.heard, now);
    m_contacts.merge(report.remembered, now);
    control::ContactReply reply { m_contacts.digest(), {}, m_contacts.inBuckets(report.differing, now) };
    if (reply.digest != report.digest)
        reply.bucketDigests.assign(m_contacts.bucketDigests().begin(), m_contacts.bucketDigests().end());
    return reply;
}

/// Names the participants to entry instances that no store instance hears from. After a restart they know the seeds of
/// their settings alone, all of which may be down or may know only each other.
template <typename Node, storage::FileSystem Files>
void Discovery<Node, Files>::announceToEntries(const std::vector<InstanceAddress>& entries)
{
    if (entries.empty())
        return;
    control::Announcement announcement;
    for (const MemberIdentity& member : members())
        announcement.members.push_back(formatAddress(member.address));
    const std::string request = codec::encode(announcement);
    const TimePoint deadline = m_clock.now() + internal::contactCallDeadline;
    for (const InstanceAddress& address : entries) {
        m_log.debug("announced to silent entry address={}", formatAddress(address));
        m_client.send(address, std::string(control::Announcement::method), request, deadline, [this, address](const transport::CallResult& result) {
            if (!result)
                return;
            const auto reply = codec::decode<control::AnnouncementReply>(*result);
            // A store instance that sends no reports may hear from it.
            if (reply && reply->isInContact)
                asio::post(m_io, [this, address] { m_contacts.recordHeard({ address, control::ContactRole::Entry }, m_clock.now()); });
        });
    }
}

}
