#include "azurepaddle/gateway/answer_budget.hpp"

#include <algorithm>

namespace azurepaddle::gateway {

std::optional<std::uint64_t> AnswerBudget::add(std::uint64_t answer, std::size_t bytes)
{
    m_answers[answer] += bytes;
    m_bytes += bytes;
    if (m_bytes <= m_maxBytes)
        return std::nullopt;
    return std::max_element(m_answers.begin(), m_answers.end(), [](const auto& a, const auto& b) { return a.second < b.second; })->first;
}

void AnswerBudget::release(std::uint64_t answer)
{
    const auto found = m_answers.find(answer);
    if (found == m_answers.end())
        return;
    m_bytes -= found->second;
    m_answers.erase(found);
}

}
