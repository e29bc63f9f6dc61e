#pragma once

#include "azurepaddle/core/error.hpp"
#include "azurepaddle/http1/message.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace azurepaddle::http1 {

enum class ParseErrorCode : unsigned char {
    Malformed, ///< The bytes are not a valid HTTP message.
    HeaderTooLarge,
    BodyTooLarge,
    Truncated, ///< The connection ended within a message.
};

using ParseError = LayerError<ParseErrorCode>;

/// Maximum sizes of header and body, in bytes.
struct MessageLimits {
    std::uint32_t headerBytes = 16U * 1024U;
    std::uint64_t bodyBytes = 32U * 1024U * 1024U;

    friend bool operator==(const MessageLimits&, const MessageLimits&) = default;
};

/// Parses one request from the bytes of a connection. Rejects ambiguous lengths, which would allow request smuggling.
class RequestParser {
public:
    explicit RequestParser(const MessageLimits& limits);
    ~RequestParser();
    RequestParser(RequestParser&&) noexcept;
    RequestParser& operator=(RequestParser&&) noexcept;

    /// Consumes bytes up to the end of the message and returns their number.
    [[nodiscard]] tl::expected<std::size_t, ParseError> feed(std::string_view bytes);
    [[nodiscard]] bool hasStarted() const noexcept; ///< Whether any byte of the message was received.
    [[nodiscard]] bool isHeaderDone() const noexcept;
    [[nodiscard]] bool isDone() const noexcept;
    /// The declared size of the body; empty before the end of the header and for a chunked body.
    [[nodiscard]] std::optional<std::uint64_t> declaredBodyBytes() const;
    [[nodiscard]] std::size_t receivedBodyBytes() const noexcept;
    /// Whether the request is one of HTTP/1.0, whose senders know neither chunks nor interim responses. False until its first
    /// line is parsed.
    [[nodiscard]] bool isHttp10() const noexcept;
    /// Reserves memory for a body of this size, so that it is not copied while it grows.
    void reserveBody(std::size_t bytes);
    /// The request as received so far.
    [[nodiscard]] Request& request() noexcept;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/// Parses one response. Its body is returned in parts by takeBody.
class ResponseParser {
public:
    explicit ResponseParser(const MessageLimits& limits);
    ~ResponseParser();
    ResponseParser(ResponseParser&&) noexcept;
    ResponseParser& operator=(ResponseParser&&) noexcept;

    [[nodiscard]] tl::expected<std::size_t, ParseError> feed(std::string_view bytes);
    /// Signals that the peer closed the connection in order. An error unless this completes the message.
    [[nodiscard]] tl::expected<void, ParseError> feedEnd();
    [[nodiscard]] bool hasStarted() const noexcept;
    [[nodiscard]] bool isHeaderDone() const noexcept;
    [[nodiscard]] bool isDone() const noexcept;
    /// Whether the connection can be reused after this message.
    [[nodiscard]] bool keepsAlive() const noexcept;
    /// Status and fields. The body is empty.
    [[nodiscard]] const Response& head() const noexcept;
    /// Returns the part of the body that was received since the last call.
    [[nodiscard]] std::string takeBody();

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
