#include "azurepaddle/http1/body_budget.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>
#include <vector>

namespace azurepaddle::http1 {

BodyShare::BodyShare(std::shared_ptr<BodyBudget> budget, std::string client, std::function<void()> onClose)
    : m_budget(std::move(budget))
    , m_client(std::move(client))
    , m_onClose(std::move(onClose))
{
    m_budget->m_bodies.insert(this);
}

BodyShare::~BodyShare()
{
    m_budget->uncharge(*this);
    m_budget->m_bodies.erase(this);
}

bool BodyShare::resize(std::size_t bytes, TimePoint now)
{
    return m_budget->resize(*this, bytes, now);
}

bool BodyShare::mayDecode(std::size_t bytes) const noexcept
{
    return m_budget->mayDecode(bytes);
}

void BodyShare::recordProgress(std::size_t bytes, TimePoint now)
{
    m_progress += bytes;
    if (m_progress < m_budget->m_limits.progressBytes)
        return;
    m_progress = 0;
    m_lastProgress = now;
}

AnswerShare::AnswerShare(std::shared_ptr<BodyBudget> budget, std::function<void()> onClose)
    : m_budget(std::move(budget))
    , m_onClose(std::move(onClose))
{
}

AnswerShare::~AnswerShare()
{
    clear();
}

void AnswerShare::add(std::size_t bytes, TimePoint now)
{
    if (m_bytes == 0)
        m_lastProgress = now;
    m_bytes += bytes;
    m_budget->m_answerBytes += bytes;
    m_budget->m_answers.insert(this);
    m_budget->closeSlowestReaders();
}

void AnswerShare::remove(std::size_t bytes) noexcept
{
    const std::size_t removed = std::min(bytes, m_bytes);
    m_bytes -= removed;
    m_budget->m_answerBytes -= removed;
    if (m_bytes == 0)
        m_budget->m_answers.erase(this);
}

bool BodyBudget::mayDecode(std::size_t bytes) noexcept
{
    const std::size_t used = m_requestBytes + m_reservedBytes + m_answerBytes;
    const bool isRoom = bytes <= m_limits.decodeBytes - std::min(used, m_limits.decodeBytes);
    m_counts.refusedBodies += isRoom ? 0 : 1;
    return isRoom;
}

bool BodyBudget::resize(BodyShare& share, std::size_t bytes, TimePoint now)
{
    const std::size_t held = share.m_bytes;
    const bool wasInReserve = share.m_isInReserve;
    if (held == 0)
        share.m_lastProgress = now;
    uncharge(share);
    if (place(share, bytes) || (closeStalled(share, bytes, now) && place(share, bytes)))
        return true;
    charge(share, held, wasInReserve);
    ++m_counts.refusedBodies;
    return false;
}

/// Reserves room in the shared part or, for a small body, in the reserve.
bool BodyBudget::place(BodyShare& share, std::size_t bytes)
{
    const bool isRoom = bytes <= m_limits.requestBytes - std::min(m_requestBytes, m_limits.requestBytes);
    const std::size_t ofClient = std::min(clientBytes(share.m_client), m_limits.clientBytes);
    if (isRoom && bytes <= m_limits.clientBytes - ofClient) {
        charge(share, bytes, false);
        return true;
    }
    if (bytes > m_limits.smallBodyBytes || bytes > m_limits.reserveBytes - m_reservedBytes)
        return false;
    charge(share, bytes, true);
    return true;
}

void BodyBudget::charge(BodyShare& share, std::size_t bytes, bool isInReserve)
{
    share.m_bytes = bytes;
    share.m_isInReserve = isInReserve;
    (isInReserve ? m_reservedBytes : m_requestBytes) += bytes;
    if (!isInReserve && bytes > 0)
        m_bytesByClient[share.m_client] += bytes;
}

void BodyBudget::uncharge(BodyShare& share) noexcept
{
    const std::size_t bytes = std::exchange(share.m_bytes, 0);
    const bool wasInReserve = std::exchange(share.m_isInReserve, false);
    (wasInReserve ? m_reservedBytes : m_requestBytes) -= bytes;
    if (wasInReserve || bytes == 0)
        return;
    const auto found = m_bytesByClient.find(share.m_client);
    found->second -= bytes;
    if (found->second == 0)
        m_bytesByClient.erase(found);
}

/// Bytes by which the body would exceed a limit.
std::size_t BodyBudget::missingBytes(const BodyShare& share, std::size_t bytes, Scope scope) const
{
    const std::size_t used = scope == Scope::All ? m_requestBytes : scope == Scope::Client ? clientBytes(share.m_client)
                                                                                           : m_reservedBytes;
    const std::size_t limit = scope == Scope::All ? m_limits.requestBytes : scope == Scope::Client ? m_limits.clientBytes
                                                                                                   : m_limits.reserveBytes;
    const std::size_t available = limit - std::min(used, limit);
    return bytes - std::min(bytes, available);
}

/// Closes transfers that have stalled, so that the body gets room in the shared part or else, if it is small, in the
/// reserve.
bool BodyBudget::closeStalled(const BodyShare& share, std::size_t bytes, TimePoint now)
{
    if (closeStalled(share, bytes, Scope::Client, now) && closeStalled(share, bytes, Scope::All, now))
        return true;
    return bytes <= m_limits.smallBodyBytes && closeStalled(share, bytes, Scope::Reserve, now);
}

/// Closes the transfers that have stalled longest until the body keeps a limit. Closes none if this would not suffice.
bool BodyBudget::closeStalled(const BodyShare& share, std::size_t bytes, Scope scope, TimePoint now)
{
    std::vector<BodyShare*> stalled;
    std::copy_if(m_bodies.begin(), m_bodies.end(), std::back_inserter(stalled), [&](const BodyShare* candidate) { return isStalled(*candidate, share, scope, now); });
    const std::size_t available = std::accumulate(stalled.begin(), stalled.end(), std::size_t { 0 }, [](std::size_t sum, const BodyShare* each) { return sum + each->m_bytes; });
    if (available < missingBytes(share, bytes, scope))
        return false;
    std::sort(stalled.begin(), stalled.end(), [](const BodyShare* a, const BodyShare* b) { return a->m_lastProgress < b->m_lastProgress; });
    for (BodyShare* longest : stalled) {
        if (missingBytes(share, bytes, scope) == 0)
            break;
        ++m_counts.closedBodies;
        uncharge(*longest);
        // The callback destroys the share.
        const auto onClose = longest->m_onClose;
        onClose();
    }
    return missingBytes(share, bytes, scope) == 0;
}

bool BodyBudget::isStalled(const BodyShare& candidate, const BodyShare& share, Scope scope, TimePoint now) const
{
    if (&candidate == &share || candidate.m_isComplete || candidate.m_bytes == 0 || candidate.m_isInReserve != (scope == Scope::Reserve))
        return false;
    // Small bodies usually arrive at once. A crowd of unfinished ones must not fill the reserve until they count as stalled.
    const Duration stallTime = scope == Scope::Reserve ? Duration::zero() : m_limits.stallTime;
    return now - candidate.m_lastProgress >= stallTime && (scope != Scope::Client || candidate.m_client == share.m_client);
}

std::size_t BodyBudget::clientBytes(const std::string& client) const
{
    const auto found = m_bytesByClient.find(client);
    return found == m_bytesByClient.end() ? 0 : found->second;
}

void BodyBudget::closeSlowestReaders()
{
    while (m_answerBytes > m_limits.answerBytes) {
        AnswerShare& slowest = **std::min_element(m_answers.begin(), m_answers.end(), [](const auto* a, const auto* b) { return a->m_lastProgress < b->m_lastProgress; });
        ++m_counts.closedAnswers;
        slowest.clear();
        const auto onClose = slowest.m_onClose;
        onClose();
    }
}

}
