#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace azurepaddle::gateway {

/// Bounds the memory of all answers that are being received. An endpoint in trouble may send without end: the largest
/// answer is given up when all of them together exceed the bound, so that the others arrive whole.
class AnswerBudget {
public:
    explicit AnswerBudget(std::size_t maxBytes) noexcept
        : m_maxBytes(maxBytes)
    {
    }

    /// Counts bytes of an answer. Returns the answer that has to be given up, if there is one.
    [[nodiscard]] std::optional<std::uint64_t> add(std::uint64_t answer, std::size_t bytes);
    /// Forgets an answer that was handed on or given up.
    void release(std::uint64_t answer);
    [[nodiscard]] std::size_t bytes() const noexcept { return m_bytes; }

private:
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::map<std::uint64_t, std::size_t> m_answers;
};

}
