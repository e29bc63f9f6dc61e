#pragma once

#include "azurepaddle/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>

namespace azurepaddle::http1 {

/// Sizes in bytes, all for one process.
struct BodyBudgetLimits {
    std::size_t requestBytes = SIZE_MAX; ///< Request bodies of all clients together.
    std::size_t clientBytes = SIZE_MAX; ///< Request bodies of one client address, also of one connection.
    std::size_t smallBodyBytes = std::size_t { 64 } * 1024; ///< A body up to this size may use the reserve.
    std::size_t reserveBytes = SIZE_MAX; ///< For small bodies that exceed the limits above. Unfinished ones are closed without a stall time if their room is needed.
    std::size_t answerBytes = SIZE_MAX; ///< Answers that clients have not taken yet, together.
    Duration stallTime = std::chrono::seconds(2); ///< A transfer without progress for this long is closed if its room is needed.
    std::size_t progressBytes = std::size_t { 16 } * 1024; ///< Fewer bytes within the stall time do not count as progress.
    std::size_t decodeBytes = SIZE_MAX; ///< All request bodies and unread answers, plus the additional memory to decode one body.
};

/// What a budget has done since the start of the process.
struct BodyBudgetCounts {
    std::uint64_t refusedBodies = 0; ///< Bodies for which there was no room, also to be decoded.
    std::uint64_t closedBodies = 0; ///< Stalled transfers of bodies that were closed for the sake of others.
    std::uint64_t closedAnswers = 0; ///< Clients closed because they read their answers too slowly.

    friend bool operator==(const BodyBudgetCounts&, const BodyBudgetCounts&) = default;
};

class BodyBudget;

/// The room of one body in a budget. It is given back with the destruction of this object, which the budget outlives.
class BodyShare {
public:
    BodyShare(std::shared_ptr<BodyBudget> budget, std::string client, std::function<void()> onClose);
    ~BodyShare();
    BodyShare(const BodyShare&) = delete;
    BodyShare& operator=(const BodyShare&) = delete;

    /// Changes the size of the body or of an unfinished header. Transfers that have stalled are closed if this makes enough room. Returns false and
    /// keeps the former size if there is not enough. Giving back always succeeds.
    [[nodiscard]] bool resize(std::size_t bytes, TimePoint now);
    /// Whether the body may be decoded; see BodyBudget::mayDecode.
    [[nodiscard]] bool mayDecode(std::size_t bytes) const noexcept;
    /// Records received bytes.
    void recordProgress(std::size_t bytes, TimePoint now);
    /// Marks the body as received: the request is being processed, and is not closed for the sake of others any more.
    void complete() noexcept { m_isComplete = true; }
    [[nodiscard]] std::size_t bytes() const noexcept { return m_bytes; }

private:
    friend class BodyBudget;

    std::shared_ptr<BodyBudget> m_budget;
    std::string m_client;
    std::function<void()> m_onClose;
    std::size_t m_bytes = 0;
    std::size_t m_progress = 0; ///< Bytes since the last progress.
    TimePoint m_lastProgress {};
    bool m_isInReserve = false;
    bool m_isComplete = false;
};

/// The bytes of answers that one client has not taken yet.
class AnswerShare {
public:
    AnswerShare(std::shared_ptr<BodyBudget> budget, std::function<void()> onClose);
    ~AnswerShare();
    AnswerShare(const AnswerShare&) = delete;
    AnswerShare& operator=(const AnswerShare&) = delete;

    /// Adds bytes to send. Closes the clients that have taken nothing for the longest time, perhaps this one, while all
    /// answers together exceed the budget.
    void add(std::size_t bytes, TimePoint now);
    /// Removes sent bytes.
    void remove(std::size_t bytes) noexcept;
    /// Records that the client has taken bytes.
    void recordProgress(TimePoint now) noexcept { m_lastProgress = now; }
    /// Removes all bytes, after the connection was closed.
    void clear() noexcept { remove(m_bytes); }

private:
    friend class BodyBudget;

    std::shared_ptr<BodyBudget> m_budget;
    std::function<void()> m_onClose;
    std::size_t m_bytes = 0;
    TimePoint m_lastProgress {};
};

/// Bounds the memory of the bodies that clients send and of the answers that they have not taken. Room for a body is
/// reserved before it is read. Not thread-safe.
class BodyBudget {
public:
    explicit BodyBudget(BodyBudgetLimits limits) noexcept
        : m_limits(limits)
    {
    }
    BodyBudget(const BodyBudget&) = delete;
    BodyBudget& operator=(const BodyBudget&) = delete;

    /// Whether a body may be decoded that takes this much memory in addition meanwhile. Bodies are decoded one at a time.
    [[nodiscard]] bool mayDecode(std::size_t bytes) noexcept;
    [[nodiscard]] const BodyBudgetLimits& limits() const noexcept { return m_limits; }
    [[nodiscard]] const BodyBudgetCounts& counts() const noexcept { return m_counts; }
    [[nodiscard]] std::size_t requestBytes() const noexcept { return m_requestBytes; }
    [[nodiscard]] std::size_t reservedBytes() const noexcept { return m_reservedBytes; }
    [[nodiscard]] std::size_t answerBytes() const noexcept { return m_answerBytes; }

private:
    friend class BodyShare;
    friend class AnswerShare;

    [[nodiscard]] bool resize(BodyShare& share, std::size_t bytes, TimePoint now);
    [[nodiscard]] bool place(BodyShare& share, std::size_t bytes);
    void charge(BodyShare& share, std::size_t bytes, bool isInReserve);
    void uncharge(BodyShare& share) noexcept;
    /// Which transfers share the limit that a body would exceed.
    enum class Scope : std::uint8_t {
        All,
        Client,
        Reserve,
    };

    [[nodiscard]] std::size_t missingBytes(const BodyShare& share, std::size_t bytes, Scope scope) const;
    [[nodiscard]] bool closeStalled(const BodyShare& share, std::size_t bytes, Scope scope, TimePoint now);
    [[nodiscard]] bool closeStalled(const BodyShare& share, std::size_t bytes, TimePoint now);
    [[nodiscard]] bool isStalled(const BodyShare& candidate, const BodyShare& share, Scope scope, TimePoint now) const;
    [[nodiscard]] std::size_t clientBytes(const std::string& client) const;
    void closeSlowestReaders();

    BodyBudgetLimits m_limits;
    BodyBudgetCounts m_counts;
    std::unordered_set<BodyShare*> m_bodies;
    std::unordered_set<AnswerShare*> m_answers; ///< Those that hold bytes.
    std::map<std::string, std::size_t> m_bytesByClient; ///< Without those in the reserve.
    std::size_t m_requestBytes = 0; ///< Without those in the reserve.
    std::size_t m_reservedBytes = 0;
    std::size_t m_answerBytes = 0;
};

}
