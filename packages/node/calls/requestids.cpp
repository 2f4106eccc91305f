#include "node/calls/requestids.h"

#include <openssl/rand.h>

#include <stdexcept>

namespace chervilmount::node {

namespace {

constexpr std::string_view Digits = "0123456789abcdef";

} // namespace

model::RequestId newRequestId(std::mt19937_64 &random)
{
    model::RequestId id{};
    for (std::size_t half = 0; half < 2; ++half) {
        std::uint64_t bits = random();
        for (std::size_t index = 0; index < 8; ++index) {
            id[half * 8 + index] = static_cast<std::uint8_t>(bits & 0xffU);
            bits >>= 8U;
        }
    }
    return id;
}

std::string newToken()
{
    model::RequestId bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        throw std::runtime_error("OpenSSL cannot generate random bytes for a token");
    return toHex(bytes);
}

std::string toHex(const model::RequestId &id)
{
    std::string text;
    for (const std::uint8_t byte : id) {
        text += Digits[byte >> 4U];
        text += Digits[byte & 0xfU];
    }
    return text;
}

std::optional<model::RequestId> requestIdFromHex(std::string_view text)
{
    model::RequestId id{};
    if (text.size() != 2 * id.size())
        return std::nullopt;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const std::size_t digit = Digits.find(text[index]);
        if (digit == std::string_view::npos)
            return std::nullopt;
        id[index / 2] = static_cast<std::uint8_t>((id[index / 2] << 4U) | digit);
    }
    return id;
}

} // namespace chervilmount::node
