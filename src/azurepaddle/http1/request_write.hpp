#pragma once

#include "azurepaddle/core/clock.hpp"

#include <system_error>

namespace azurepaddle::http1 {

/// What the end of a connection means for an answer that has no length.
enum class ConnectionEnd : unsigned char {
    Complete, ///< The peer ended the connection behind the answer.
    Broken, ///< The connection broke, so the answer may be cut.
    Undecided, ///< The peer has not taken the whole request yet, and may still reset the connection.
};

/// The write of one request, which decides what the end of its connection means. A socket reports a reset once: if the write
/// gets the report, the read sees a plain end, possibly before the result of the write is known.
class RequestWrite {
public:
    /// An end that stays undecided for this long counts as that of the peer, which leaves the rest of the request unread. A
    /// peer that crashed would have reset the connection, which still sends to it.
    static constexpr Duration maxUndecidedTime = std::chrono::milliseconds(500);
    /// Time between two looks at an undecided end.
    static constexpr Duration checkInterval = std::chrono::milliseconds(10);

    void begin() noexcept { m_state = State::InProgress; }
    void finish(const std::error_code& error) noexcept { m_state = error ? State::Failed : State::Written; }
    [[nodiscard]] bool isWritten() const noexcept { return m_state == State::Written; }

    /// The meaning of an end that a read of this socket has seen.
    [[nodiscard]] ConnectionEnd meaningOfEnd(int socket) const noexcept;

private:
    enum class State : unsigned char {
        InProgress,
        Written, ///< The system has all bytes; it may not have sent them yet.
        Failed,
    };

    State m_state = State::InProgress;
};

}
