#include "azurepaddle/control/reply_memory.hpp"

namespace azurepaddle::control {

ReplyMemory::ReplyMemory(const ReplyMemory& other)
    : m_replies(other.m_replies)
{
    rebuildIndex();
}

ReplyMemory& ReplyMemory::operator=(const ReplyMemory& other)
{
    if (this != &other)
        *this = ReplyMemory(other);
    return *this;
}

const std::string* ReplyMemory::find(const CommandId& id) const
{
    const auto found = m_replies.find(id);
    return found == m_replies.end() ? nullptr : &found->second.bytes;
}

void ReplyMemory::remember(const CommandId& id, std::string reply, LogTime now)
{
    // A command first sent up to one clock difference ahead of the log's time is accepted for that much longer.
    const LogTime forgetAt = now + replyRetention + maxClockDifference;
    const auto [entry, isNew] = m_replies.emplace(id, RememberedReply { forgetAt, std::move(reply) });
    if (isNew)
        m_byExpiry.emplace(forgetAt, entry);
}

void ReplyMemory::expire(LogTime now)
{
    while (!m_byExpiry.empty() && m_byExpiry.begin()->first <= now) {
        m_replies.erase(m_byExpiry.begin()->second);
        m_byExpiry.erase(m_byExpiry.begin());
    }
}

void ReplyMemory::rebuildIndex()
{
    m_byExpiry.clear();
    for (auto entry = m_replies.begin(); entry != m_replies.end(); ++entry)
        m_byExpiry.emplace(entry->second.forgetAt, entry);
}

}
