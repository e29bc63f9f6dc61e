#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace azurepaddle::platform::internal {

using Json = nlohmann::json;

/// The text as JSON. Nothing if it is malformed.
[[nodiscard]] std::optional<Json> parseJson(std::string_view text);

/// A member of an object. Nothing if it is missing or of another type.
[[nodiscard]] std::optional<std::string> textOf(const Json& object, const char* name);
[[nodiscard]] std::optional<std::uint64_t> countOf(const Json& object, const char* name);
[[nodiscard]] std::optional<double> numberOf(const Json& object, const char* name);
[[nodiscard]] std::optional<bool> flagOf(const Json& object, const char* name);
/// An array member, or null.
[[nodiscard]] const Json* listOf(const Json& object, const char* name);

/// Nothing if the text is not base64.
[[nodiscard]] std::optional<std::string> decodeBase64(std::string_view text);

}
