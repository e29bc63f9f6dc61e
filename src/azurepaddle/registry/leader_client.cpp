#include "azurepaddle/registry/leader_client.hpp"

#include "azurepaddle/core/run_after.hpp"

#include <algorithm>

namespace azurepaddle::registry {

namespace {

    // Time that one member has to reply before the next is asked. Longer than the maximum wait of a read for results
    // (1 s), so that such a read does not time out while the leader holds it.
    constexpr Duration attemptTimeout = std::chrono::milliseconds(1500);
    constexpr Duration retryDelay = std::chrono::milliseconds(40);

}

LeaderClient::LeaderClient(asio::io_context& io, transport::PeerClient& client)
    : m_io(io)
    , m_client(client)
{
}

void LeaderClient::setMembers(std::vector<InstanceAddress> members)
{
    std::sort(members.begin(), members.end());
    members.erase(std::unique(members.begin(), members.end()), members.end());
    if (!members.empty())
        m_members = std::move(members);
}

std::optional<InstanceAddress> LeaderClient::chooseMember()
{
    if (m_leader)
        return m_leader;
    if (m_members.empty())
        return std::nullopt;
    return m_members[m_nextMember++ % m_members.size()];
}

void LeaderClient::sendBytes(std::string method, std::string body, TimePoint deadline, std::function<void(LeaderResult<std::string>)> callback)
{
    attempt(std::make_shared<PendingRequest>(PendingRequest { std::move(method), std::move(body), deadline, std::move(callback) }));
}

void LeaderClient::attempt(const std::shared_ptr<PendingRequest>& pending)
{
    const TimePoint now = m_clock.now();
    const auto peer = chooseMember();
    if (now >= pending->deadline || !peer) {
        const auto code = pending->mayHaveRun ? LeaderErrorCode::Unknown : LeaderErrorCode::NotRun;
        return pending->callback(tl::unexpected(code));
    }
    ++pending->attemptCount;
    const TimePoint deadline = std::min(pending->deadline, now + attemptTimeout);
    m_client.send(*peer, pending->method, pending->body, deadline, [this, pending, peer = *peer](transport::CallResult result) {
        asio::post(m_io, [this, pending, peer, result = std::move(result)] { onResult(pending, peer, result); });
    });
}

void LeaderClient::onResult(const std::shared_ptr<PendingRequest>& pending, const InstanceAddress& peer, const transport::CallResult& result)
{
    if (!result) {
        pending->mayHaveRun = pending->mayHaveRun || result.error().outcome() != Outcome::NotRun;
        if (m_leader == peer)
            m_leader.reset();
        return retry(pending, retryDelay);
    }
    const auto reply = codec::decode<control::GroupReply>(*result);
    if (reply && reply->status == control::GroupStatus::Ok) {
        m_leader = peer;
        return pending->callback(reply->body);
    }
    pending->mayHaveRun = pending->mayHaveRun || !reply || reply->status == control::GroupStatus::OutcomeUnknown;
    const auto redirect = reply ? parseAddress(reply->leader) : std::nullopt;
    const bool isRedirected = redirect && *redirect != peer;
    if (isRedirected)
        m_leader = redirect;
    else if (m_leader == peer)
        m_leader.reset();
    retry(pending, isRedirected ? Duration::zero() : retryDelay);
}

void LeaderClient::retry(const std::shared_ptr<PendingRequest>& pending, Duration delay)
{
    if (delay == Duration::zero())
        return attempt(pending);
    runAfter(m_io, delay, [this, pending] { attempt(pending); });
}

}
