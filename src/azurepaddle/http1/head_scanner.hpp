#pragma once

#include "azurepaddle/http1/parser.hpp"

#include <string_view>

namespace azurepaddle::http1::internal {

/// Checks the head of a response as it arrives, up to its first wrong byte (RFC 9112, sections 2 to 5). A parser that waits
/// for the end of the head would let its caller wait for a response that cannot come any more.
class HeadScanner {
public:
    /// Checks the next bytes. Those behind the head are ignored. Must not be called after an error.
    [[nodiscard]] tl::expected<void, ParseError> feed(std::string_view bytes);

private:
    enum class State : unsigned char {
        Version,
        Status,
        StatusEnd,
        Reason,
        LineStart, ///< Of the first field: it cannot continue a line before.
        NextLineStart,
        Name,
        Value,
        Continuation, ///< Of a value, in a line that begins with a blank.
        ContinuationToken, ///< At its begin, where the name of a field would stand.
        ContinuationTokenEnd, ///< Blanks behind that.
        LineEnd, ///< CR was read.
        HeadEnd, ///< CR was read in place of a further field.
        Done,
    };

    [[nodiscard]] std::size_t validPrefix(std::string_view bytes) const noexcept;
    [[nodiscard]] tl::expected<void, ParseError> feed(char byte);
    [[nodiscard]] tl::expected<void, ParseError> feedVersion(char byte);
    [[nodiscard]] tl::expected<void, ParseError> feedStatus(char byte);
    [[nodiscard]] tl::expected<void, ParseError> feedLineStart(char byte);
    [[nodiscard]] tl::expected<void, ParseError> feedName(char byte);
    [[nodiscard]] tl::expected<void, ParseError> feedContinuation(char byte);
    [[nodiscard]] tl::expected<void, ParseError> feedText(char byte);
    [[nodiscard]] tl::expected<void, ParseError> feedLineFeed(char byte);

    State m_state = State::Version;
    State m_afterLine = State::LineStart;
    std::size_t m_position = 0; ///< Bytes of the version or digits of the status read so far.
};

}
