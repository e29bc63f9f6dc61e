#include "azurepaddle/http/body_room.hpp"

namespace azurepaddle::http {

namespace {

    http1::BodyBudgetLimits limitsFor(std::uint64_t maxBytes)
    {
        http1::BodyBudgetLimits limits;
        limits.requestBytes = maxBytes;
        limits.clientBytes = maxBytes / 4 * 3;
        limits.reserveBytes = maxBytes / 32;
        return limits;
    }

}

BodyRoom::BodyRoom(std::uint64_t maxBytes)
    : m_budget(std::make_shared<http1::BodyBudget>(limitsFor(maxBytes)))
{
}

bool BodyRoom::reserve(const std::string& client, std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    auto& held = m_shares[std::this_thread::get_id()];
    held.reset();
    if (bytes == 0)
        return true;
    auto share = std::make_unique<http1::BodyShare>(m_budget, client, [] {});
    // The library closes stalled connections itself, after its read timeout.
    share->complete();
    if (!share->resize(bytes, SystemClock().now()))
        return false;
    held = std::move(share);
    return true;
}

void BodyRoom::release()
{
    const std::lock_guard lock(m_mutex);
    m_shares.erase(std::this_thread::get_id());
}

}
