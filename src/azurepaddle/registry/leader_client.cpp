#include "azurepaddle/registry/leader_client.hpp"

#include "azurepaddle/core/run_after.hpp"

#include <algorithm>

namespace azurepaddle::registry {

namespace {

    // One member gets this long to answer before the next is asked, unless it waits on purpose.
    constexpr Duration tryTimeout = std::chrono::milliseconds(1500);
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

std::optional<InstanceAddress> LeaderClient::choose()
{
    if (m_leader)
        return m_leader;
    if (m_members.empty())
        return std::nullopt;
    return m_members[m_next++ % m_members.size()];
}

void LeaderClient::sendBytes(std::string method, std::string body, TimePoint deadline, std::function<void(LeaderResult<std::string>)> callback)
{
    attempt(std::make_shared<Attempt>(Attempt { std::move(method), std::move(body), deadline, std::move(callback) }));
}

void LeaderClient::attempt(const std::shared_ptr<Attempt>& attempt)
{
    const TimePoint now = m_clock.now();
    const auto peer = choose();
    if (now >= attempt->deadline || !peer) {
        const auto code = attempt->mayHaveRun ? LeaderErrorCode::Unknown : LeaderErrorCode::NotRun;
        return attempt->callback(tl::unexpected(code));
    }
    ++attempt->tries;
    const TimePoint deadline = std::min(attempt->deadline, now + tryTimeout);
    m_client.send(*peer, attempt->method, attempt->body, deadline, [this, attempt, peer = *peer](transport::CallResult result) {
        asio::post(m_io, [this, attempt, peer, result = std::move(result)] { onResult(attempt, peer, result); });
    });
}

void LeaderClient::onResult(const std::shared_ptr<Attempt>& attempt, const InstanceAddress& peer, const transport::CallResult& result)
{
    if (!result) {
        attempt->mayHaveRun = attempt->mayHaveRun || result.error().outcome() != Outcome::NotRun;
        if (m_leader == peer)
            m_leader.reset();
        return retry(attempt, retryDelay);
    }
    const auto reply = codec::decode<control::GroupReply>(*result);
    if (reply && reply->status == control::GroupStatus::Ok) {
        m_leader = peer;
        return attempt->callback(reply->body);
    }
    attempt->mayHaveRun = attempt->mayHaveRun || !reply || reply->status == control::GroupStatus::OutcomeUnknown;
    const auto named = reply ? parseAddress(reply->leader) : std::nullopt;
    const bool isElsewhere = named && *named != peer;
    if (isElsewhere)
        m_leader = named;
    else if (m_leader == peer)
        m_leader.reset();
    retry(attempt, isElsewhere ? Duration::zero() : retryDelay);
}

void LeaderClient::retry(const std::shared_ptr<Attempt>& pending, Duration delay)
{
    if (delay == Duration::zero())
        return attempt(pending);
    runAfter(m_io, delay, [this, pending] { attempt(pending); });
}

}
