#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace azurepaddle::platform::internal {

using Json = nlohmann::json;

/// Parses JSON. Empty if the text is malformed, or nested so deeply that no message of the platform is.
[[nodiscard]] std::optional<Json> parseJson(std::string_view text);

/// Returns an upper estimate of the memory of the parsed form of a text, in bytes. Many small values take many times their
/// size as text.
[[nodiscard]] std::size_t parsedBytes(std::string_view text) noexcept;

/// Returns a member of an object; empty if it is missing or of another type.
[[nodiscard]] std::optional<std::string> textOf(const Json& object, const char* name);
[[nodiscard]] std::optional<std::uint64_t> countOf(const Json& object, const char* name);
[[nodiscard]] std::optional<double> numberOf(const Json& object, const char* name);
[[nodiscard]] std::optional<bool> flagOf(const Json& object, const char* name);
/// Returns an array member; null if it is missing or of another type.
[[nodiscard]] const Json* listOf(const Json& object, const char* name);

/// Empty if the text is not valid base64.
[[nodiscard]] std::optional<std::string> decodeBase64(std::string_view text);

}
