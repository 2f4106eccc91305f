#include "model/encoding/base64.h"

#include <cstddef>
#include <openssl/evp.h>

namespace chervilmount::model {

std::string toBase64(const std::string &bytes)
{
    // EVP_EncodeBlock writes four characters for each three bytes and a terminating zero.
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::string fromBase64(const std::string &text)
{
    if (text.empty() || text.size() % 4 != 0)
        return {};
    std::string bytes(text.size() / 4 * 3, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                       reinterpret_cast<const unsigned char *>(text.data()),
                                       static_cast<int>(text.size()));
    if (length < 0)
        return {};
    // EVP_DecodeBlock counts the padding as zero bytes.
    std::size_t padding = 0;
    while (padding < 2 && text[text.size() - 1 - padding] == '=')
        ++padding;
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace chervilmount::model
