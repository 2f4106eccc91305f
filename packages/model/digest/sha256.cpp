#include "model/digest/sha256.h"

#include <openssl/evp.h>

#include <stdexcept>

namespace chervilmount::model {

namespace {

constexpr std::string_view HexDigits = "0123456789abcdef";

Digest sha256(const void *data, std::size_t size)
{
    Digest digest{};
    if (EVP_Digest(data, size, digest.data(), nullptr, EVP_sha256(), nullptr) != 1)
        throw std::runtime_error("OpenSSL cannot compute SHA-256");
    return digest;
}

} // namespace

Digest sha256(std::string_view bytes)
{
    return sha256(bytes.data(), bytes.size());
}

Digest sha256(std::span<const Digest> digests)
{
    return sha256(digests.data(), digests.size_bytes());
}

std::string toHex(const Digest &digest)
{
    std::string text;
    text.reserve(2 * digest.size());
    for (const std::uint8_t byte : digest) {
        text += HexDigits[byte >> 4U];
        text += HexDigits[byte & 0xFU];
    }
    return text;
}

std::optional<Digest> digestFromHex(std::string_view text)
{
    Digest digest{};
    if (text.size() != 2 * digest.size())
        return std::nullopt;
    for (std::size_t index = 0; index < digest.size(); ++index) {
        const std::size_t high = HexDigits.find(text[2 * index]);
        const std::size_t low = HexDigits.find(text[2 * index + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos)
            return std::nullopt;
        digest.at(index) = static_cast<std::uint8_t>(high << 4U | low);
    }
    return digest;
}

} // namespace chervilmount::model
