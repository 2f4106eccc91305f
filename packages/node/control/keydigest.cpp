#include "node/control/keydigest.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#include <array>

namespace chervilmount::node {

namespace {

std::string toHexText(const std::array<unsigned char, SHA256_DIGEST_LENGTH> &bytes)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : bytes) {
        text += Digits[byte >> 4U];
        text += Digits[byte & 0xfU];
    }
    return text;
}

} // namespace

std::string digestKey(std::string_view digestKey, std::string_view key)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    unsigned length = 0;
    HMAC(EVP_sha256(), digestKey.data(), static_cast<int>(digestKey.size()),
         reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data(), &length);
    return toHexText(digest);
}

std::string sha256(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    return toHexText(digest);
}

} // namespace chervilmount::node
