#include "azurepaddle/gateway/answer_budget.hpp"

#include <algorithm>

namespace azurepaddle::gateway {

std::optional<std::uint64_t> AnswerBudget::add(std::uint64_t answerId, std::size_t bytes)
{
    m_bytesByAnswer[answerId] += bytes;
    m_bytes += bytes;
    if (m_bytes <= m_maxBytes)
        return std::nullopt;
    return std::max_element(m_bytesByAnswer.begin(), m_bytesByAnswer.end(), [](const auto& a, const auto& b) { return a.second < b.second; })->first;
}

void AnswerBudget::release(std::uint64_t answerId)
{
    const auto found = m_bytesByAnswer.find(answerId);
    if (found == m_bytesByAnswer.end())
        return;
    m_bytes -= found->second;
    m_bytesByAnswer.erase(found);
}

}
