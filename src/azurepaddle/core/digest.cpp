#include "azurepaddle/core/digest.hpp"

#include "azurepaddle/core/invariant.hpp"

#include <array>
#include <memory>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <vector>

namespace azurepaddle {

namespace {

    std::string toHex(const unsigned char* bytes, std::size_t count)
    {
        constexpr std::string_view digits = "0123456789abcdef";
        std::string text;
        text.reserve(count * 2);
        for (std::size_t i = 0; i < count; ++i) {
            text.push_back(digits[bytes[i] >> 4U]);
            text.push_back(digits[bytes[i] & 0xFU]);
        }
        return text;
    }

}

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
    return toHex(digest.data(), digest.size());
}

std::string sha256Hex(std::string_view first, std::string_view second)
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    EVP_DigestUpdate(context.get(), first.data(), first.size());
    EVP_DigestUpdate(context.get(), second.data(), second.size());
    EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
    return toHex(digest.data(), digest.size());
}

bool equalSecrets(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string randomHex(std::size_t bytes)
{
    std::vector<unsigned char> buffer(bytes);
    const int result = RAND_bytes(buffer.data(), static_cast<int>(buffer.size()));
    AZUREPADDLE_INVARIANT(result == 1, "the operating system gave no random bytes");
    return toHex(buffer.data(), buffer.size());
}

}
