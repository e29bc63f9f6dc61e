#pragma once

#include "azurepaddle/http1/message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace azurepaddle::http1 {

/// Rules of RFC 9110 and RFC 9112 on what a response is. Everything that reads a response decides by them.

/// Whether the byte may occur in a token, such as the name of a field (RFC 9110, section 5.6.2).
[[nodiscard]] bool isTokenByte(char byte) noexcept;

/// Whether the byte may occur in the value of a field or in a reason phrase (RFC 9110, section 5.5): everything but
/// control bytes; a tab is allowed.
[[nodiscard]] bool isTextByte(char byte) noexcept;

/// Returns how many bytes at the begin of the text a token may hold.
[[nodiscard]] std::size_t tokenPrefix(std::string_view text) noexcept;
/// Returns how many bytes at the begin of the text a value may hold.
[[nodiscard]] std::size_t textPrefix(std::string_view text) noexcept;

[[nodiscard]] bool isToken(std::string_view text) noexcept;
[[nodiscard]] bool isText(std::string_view text) noexcept;

/// Whether a status code exists: those outside of 100 to 599 are invalid (RFC 9110, section 15).
[[nodiscard]] bool isStatus(unsigned status) noexcept;

/// Whether the status is one of a response that precedes the final one.
[[nodiscard]] bool isInterim(unsigned status) noexcept;

/// Describes the first fault of a decoded final response; empty if there is none. The body is not examined.
[[nodiscard]] std::optional<std::string> findFault(const Response& response);

/// Describes why the body of a response cannot be delimited or decoded for certain (RFC 9112, section 6); empty if it can.
[[nodiscard]] std::optional<std::string> findFramingFault(unsigned status, const Fields& fields, bool isHttp10);

/// Whether the head announces a body although its status allows none. Bytes may follow that belong to no response.
[[nodiscard]] bool announcesForbiddenBody(unsigned status, const Fields& fields);

}
