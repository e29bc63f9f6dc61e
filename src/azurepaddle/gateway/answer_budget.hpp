#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace azurepaddle::gateway {

/// Bounds the memory of all answers that are being received. A faulty endpoint may send an endless answer: when the
/// total exceeds the bound, the largest answer is selected for cancellation, so that the others can be received
/// completely.
class AnswerBudget {
public:
    explicit AnswerBudget(std::size_t maxBytes) noexcept
        : m_maxBytes(maxBytes)
    {
    }

    /// Adds received bytes of an answer. Returns the answer to cancel if the bound is exceeded.
    [[nodiscard]] std::optional<std::uint64_t> add(std::uint64_t answerId, std::size_t bytes);
    /// Removes an answer that was forwarded or cancelled.
    void release(std::uint64_t answerId);
    [[nodiscard]] std::size_t bytes() const noexcept { return m_bytes; }

private:
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::map<std::uint64_t, std::size_t> m_bytesByAnswer;
};

}
