#include "azurepaddle/platform/json.hpp"

#include <openssl/evp.h>

namespace azurepaddle::platform::internal {

namespace {

    // Messages of the platform nest less than ten levels. Each level takes memory, however few bytes it has.
    constexpr std::size_t maxNesting = 64;

    /// Whether arrays and objects are nested more deeply than allowed. Brackets within strings do not count.
    bool isNestedTooDeeply(std::string_view text)
    {
        std::size_t depth = 0;
        bool isInString = false;
        for (std::size_t i = 0; i < text.size(); ++i) {
            const char character = text[i];
            if (isInString) {
                if (character == '\\')
                    ++i; // An escaped character does not end the string.
                else
                    isInString = character != '"';
            } else if (character == '"') {
                isInString = true;
            } else if (character == '[' || character == '{') {
                if (++depth > maxNesting)
                    return true;
            } else if ((character == ']' || character == '}') && depth > 0) {
                --depth;
            }
        }
        return false;
    }

}

std::size_t parsedBytes(std::string_view text) noexcept
{
    // A value takes 16 bytes in its list, three times as much while the list grows, and 32 for a list or object of its
    // own; a member of an object has a node of about 100 bytes, for which a colon and a comma are counted.
    constexpr std::size_t bytesPerSeparator = 64;
    bool isInString = false;
    std::size_t separators = 0;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char c = text[at];
        if (c == '"')
            isInString = !isInString;
        else if (isInString)
            at += c == '\\' ? 1 : 0;
        else
            separators += c == '[' || c == '{' || c == ',' || c == ':' ? 1 : 0;
    }
    return text.size() + separators * bytesPerSeparator;
}

std::optional<Json> parseJson(std::string_view text)
{
    if (isNestedTooDeeply(text))
        return std::nullopt;
    Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded())
        return std::nullopt;
    return json;
}

namespace {

    const Json* memberOf(const Json& object, const char* name)
    {
        if (!object.is_object())
            return nullptr;
        const auto found = object.find(name);
        return found == object.end() ? nullptr : &*found;
    }

}

std::optional<std::string> textOf(const Json& object, const char* name)
{
    const Json* member = memberOf(object, name);
    return member && member->is_string() ? std::optional(member->get<std::string>()) : std::nullopt;
}

std::optional<std::uint64_t> countOf(const Json& object, const char* name)
{
    const Json* member = memberOf(object, name);
    return member && member->is_number_unsigned() ? std::optional(member->get<std::uint64_t>()) : std::nullopt;
}

std::optional<double> numberOf(const Json& object, const char* name)
{
    const Json* member = memberOf(object, name);
    return member && member->is_number() ? std::optional(member->get<double>()) : std::nullopt;
}

std::optional<bool> flagOf(const Json& object, const char* name)
{
    const Json* member = memberOf(object, name);
    return member && member->is_boolean() ? std::optional(member->get<bool>()) : std::nullopt;
}

const Json* listOf(const Json& object, const char* name)
{
    const Json* member = memberOf(object, name);
    return member && member->is_array() ? member : nullptr;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    constexpr std::size_t quantum = 4;
    constexpr std::size_t decodedQuantum = 3;
    if (text.size() % quantum != 0)
        return std::nullopt;
    std::string decoded(text.size() / quantum * decodedQuantum, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(decoded.data()), reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (size < 0)
        return std::nullopt;
    // OpenSSL decodes the padding as zero bytes.
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    decoded.resize(static_cast<std::size_t>(size) - padding);
    return decoded;
}

}
