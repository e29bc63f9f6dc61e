#include "azurepaddle/http1/head_scanner.hpp"

#include "azurepaddle/http1/grammar.hpp"

#include <fmt/format.h>

namespace azurepaddle::http1::internal {

namespace {

    ParseError malformed(std::string_view what)
    {
        return { ParseErrorCode::Malformed, std::string(what) };
    }

    ParseError malformedByte(std::string_view where, char byte)
    {
        return { ParseErrorCode::Malformed, fmt::format("{} holds the byte 0x{:02x}", where, static_cast<unsigned char>(byte)) };
    }

}

tl::expected<void, ParseError> HeadScanner::feed(std::string_view bytes)
{
    while (m_state != State::Done) {
        bytes.remove_prefix(validPrefix(bytes));
        if (bytes.empty())
            break;
        if (auto checked = feed(bytes.front()); !checked)
            return checked;
        bytes.remove_prefix(1);
    }
    return {};
}

/// The number of bytes that leave the state as it is.
std::size_t HeadScanner::validPrefix(std::string_view bytes) const noexcept
{
    if (m_state == State::Name)
        return tokenPrefix(bytes);
    return m_state == State::Value || m_state == State::Reason ? textPrefix(bytes) : 0;
}

tl::expected<void, ParseError> HeadScanner::feed(char byte)
{
    switch (m_state) {
    case State::Version:
        return feedVersion(byte);
    case State::Status:
    case State::StatusEnd:
        return feedStatus(byte);
    case State::LineStart:
    case State::NextLineStart:
        return feedLineStart(byte);
    case State::Name:
        return feedName(byte);
    case State::Continuation:
    case State::ContinuationToken:
    case State::ContinuationTokenEnd:
        return feedContinuation(byte);
    case State::Reason:
    case State::Value:
        return feedText(byte);
    case State::LineEnd:
    case State::HeadEnd:
        return feedLineFeed(byte);
    case State::Done:
        break;
    }
    return {};
}

/// Minor versions above 1 do not exist.
tl::expected<void, ParseError> HeadScanner::feedVersion(char byte)
{
    constexpr std::string_view name = "HTTP/1.";
    const std::size_t at = m_position++;
    const bool isValid = at < name.size() ? byte == name[at] : at == name.size() ? byte == '0' || byte == '1'
                                                                                 : byte == ' ';
    if (!isValid)
        return tl::unexpected(malformed("the status line does not begin with HTTP/1.0 or HTTP/1.1"));
    if (at > name.size()) {
        m_state = State::Status;
        m_position = 0;
    }
    return {};
}

tl::expected<void, ParseError> HeadScanner::feedStatus(char byte)
{
    constexpr std::size_t digits = 3;
    const bool isDigit = byte >= '0' && byte <= '9';
    // The first digit tells whether the code is within 100 to 599.
    const bool isOfKnownClass = m_position > 0 || (byte >= '1' && byte <= '5');
    if (m_state == State::StatusEnd ? byte != ' ' : !isDigit || !isOfKnownClass)
        return tl::unexpected(malformed("the status code is not a number within 100 to 599"));
    if (m_state == State::StatusEnd)
        m_state = State::Reason;
    else if (++m_position == digits)
        m_state = State::StatusEnd;
    return {};
}

/// A line that begins with a blank continues the value before it (RFC 9112, section 5.2).
tl::expected<void, ParseError> HeadScanner::feedLineStart(char byte)
{
    const bool isContinuation = m_state == State::NextLineStart && (byte == ' ' || byte == '\t');
    if (!isContinuation && byte != '\r' && !isTokenByte(byte))
        return tl::unexpected(malformedByte("the name of a field", byte));
    m_state = isContinuation ? State::Continuation : byte == '\r' ? State::HeadEnd
                                                                  : State::Name;
    return {};
}

tl::expected<void, ParseError> HeadScanner::feedName(char byte)
{
    if (byte == ':')
        m_state = State::Value;
    else if (!isTokenByte(byte))
        return tl::unexpected(malformedByte("the name of a field", byte));
    return {};
}

/// A gateway may refuse all continued values or pass them on. Those that look like a field whose name begins with a blank
/// are refused: that field could be the one that delimits the body.
tl::expected<void, ParseError> HeadScanner::feedContinuation(char byte)
{
    if (byte == ':')
        return tl::unexpected(malformed("the name of a field begins with a blank"));
    const bool isBlank = byte == ' ' || byte == '\t';
    if (isBlank && m_state == State::ContinuationToken)
        m_state = State::ContinuationTokenEnd;
    else if (isTokenByte(byte) && m_state == State::Continuation)
        m_state = State::ContinuationToken;
    else if (!isBlank && !(isTokenByte(byte) && m_state == State::ContinuationToken)) {
        m_state = State::Value;
        return feedText(byte);
    }
    return {};
}

tl::expected<void, ParseError> HeadScanner::feedText(char byte)
{
    if (byte != '\r' && !isTextByte(byte))
        return tl::unexpected(malformedByte(m_state == State::Reason ? "the reason phrase" : "the value of a field", byte));
    if (byte == '\r') {
        m_afterLine = m_state == State::Reason ? State::LineStart : State::NextLineStart;
        m_state = State::LineEnd;
    }
    return {};
}

tl::expected<void, ParseError> HeadScanner::feedLineFeed(char byte)
{
    if (byte != '\n')
        return tl::unexpected(malformed("a line of the head ends with CR alone"));
    m_state = m_state == State::HeadEnd ? State::Done : m_afterLine;
    return {};
}

}
