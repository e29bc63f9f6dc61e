#pragma once

#include <string>
#include <string_view>

namespace azurepaddle {

/// The SHA-256 digest of the bytes, as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string sha256Hex(std::string_view bytes);

/// The digest of the concatenation of two texts, which is not formed.
[[nodiscard]] std::string sha256Hex(std::string_view first, std::string_view second);

/// Compares two secrets in time that depends only on their lengths.
[[nodiscard]] bool equalSecrets(std::string_view left, std::string_view right) noexcept;

/// Random bytes from the operating system as lower-case hexadecimal digits, for identifiers that must be unique over
/// all instances and restarts.
[[nodiscard]] std::string randomHex(std::size_t bytes);

}
