#include "violations.hpp"

namespace azurepaddle::standin {

namespace {

    constexpr std::size_t maxDetails = 50;

}

void Violations::add(const std::string& kind, const std::string& detail)
{
    const std::scoped_lock lock(m_mutex);
    ++m_total;
    ++m_kinds[kind];
    if (m_details.size() < maxDetails)
        m_details.push_back(kind + ": " + detail);
}

std::uint64_t Violations::count(const std::string& kind) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_kinds.find(kind);
    return found == m_kinds.end() ? 0 : found->second;
}

std::uint64_t Violations::total() const
{
    const std::scoped_lock lock(m_mutex);
    return m_total;
}

nlohmann::json Violations::toJson() const
{
    const std::scoped_lock lock(m_mutex);
    return { { "total", m_total }, { "kinds", m_kinds }, { "details", m_details } };
}

}
