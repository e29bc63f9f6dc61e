#include "azurepaddle/scaling/sustained_need.hpp"

namespace azurepaddle::scaling {

std::uint32_t SustainedNeed::add(std::uint32_t endpoints, TimePoint now)
{
    if (!std::exchange(m_isStarted, true))
        m_since = now;
    while (!m_lowest.empty() && m_lowest.back().second >= endpoints)
        m_lowest.pop_back();
    m_lowest.emplace_back(now, endpoints);
    while (m_lowest.front().first + m_period < now)
        m_lowest.pop_front();
    return now - m_since < m_period ? 0 : m_lowest.front().second;
}

void SustainedNeed::clear()
{
    m_lowest.clear();
    m_isStarted = false;
}

}
