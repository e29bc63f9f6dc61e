#pragma once

#include "azurepaddle/core/error.hpp"
#include "azurepaddle/http1/message.hpp"

#include <cstdint>
#include <memory>
#include <string_view>

namespace azurepaddle::http1 {

enum class ParseErrorCode : unsigned char {
    Malformed, ///< The bytes are not a message of the protocol.
    HeaderTooLarge,
    BodyTooLarge,
    Truncated, ///< The connection ended within a message.
};

using ParseError = LayerError<ParseErrorCode>;

/// Largest header and body that a parser accepts, in bytes.
struct MessageLimits {
    std::uint32_t headerBytes = 16U * 1024U;
    std::uint64_t bodyBytes = 32U * 1024U * 1024U;

    friend bool operator==(const MessageLimits&, const MessageLimits&) = default;
};

/// Reads one request from the bytes of a connection. Refuses ambiguous lengths, so that no request can hide inside
/// another.
class RequestParser {
public:
    explicit RequestParser(const MessageLimits& limits);
    ~RequestParser();
    RequestParser(RequestParser&&) noexcept;
    RequestParser& operator=(RequestParser&&) noexcept;

    /// Takes bytes up to the end of the message and returns how many it took.
    [[nodiscard]] tl::expected<std::size_t, ParseError> feed(std::string_view bytes);
    [[nodiscard]] bool hasStarted() const noexcept; ///< Whether any byte of the message arrived.
    [[nodiscard]] bool isHeaderDone() const noexcept;
    [[nodiscard]] bool isDone() const noexcept;
    /// The message so far.
    [[nodiscard]] Request& request() noexcept;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/// Reads one response. Its body is handed out in parts by takeBody.
class ResponseParser {
public:
    explicit ResponseParser(const MessageLimits& limits);
    ~ResponseParser();
    ResponseParser(ResponseParser&&) noexcept;
    ResponseParser& operator=(ResponseParser&&) noexcept;

    [[nodiscard]] tl::expected<std::size_t, ParseError> feed(std::string_view bytes);
    /// The connection ended in order. An error unless the message is complete by that.
    [[nodiscard]] tl::expected<void, ParseError> feedEnd();
    [[nodiscard]] bool hasStarted() const noexcept;
    [[nodiscard]] bool isHeaderDone() const noexcept;
    [[nodiscard]] bool isDone() const noexcept;
    /// Whether the connection can carry another message after this one.
    [[nodiscard]] bool keepsAlive() const noexcept;
    /// Status and fields; the body stays empty.
    [[nodiscard]] const Response& head() const noexcept;
    /// The part of the body that arrived since the last call.
    [[nodiscard]] std::string takeBody();

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
