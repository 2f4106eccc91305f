#include "model/digest/keydigester.h"

#include <openssl/core_names.h>
#include <openssl/evp.h>

#include <array>
#include <stdexcept>
#include <string>
#include <utility>

namespace chervilmount::model {

namespace {

const unsigned char *bytesOf(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

[[noreturn]] void throwOpenSslError()
{
    throw std::runtime_error("OpenSSL cannot compute HMAC-SHA-256");
}

} // namespace

void KeyDigester::FreeContext::operator()(evp_mac_ctx_st *context) const
{
    EVP_MAC_CTX_free(context);
}

KeyDigester::KeyDigester(std::string_view digestKey)
{
    if (digestKey.size() < MinimumDigestKeyBytes)
        throw std::invalid_argument("the digest key is shorter than "
                                    + std::to_string(MinimumDigestKeyBytes) + " bytes");
    const std::unique_ptr<EVP_MAC, decltype(&EVP_MAC_free)> mac(
            EVP_MAC_fetch(nullptr, "HMAC", nullptr), &EVP_MAC_free);
    if (!mac)
        throwOpenSslError();
    m_prepared.reset(EVP_MAC_CTX_new(mac.get()));
    std::string hash = "SHA256";
    const std::array<OSSL_PARAM, 2> parameters{
            OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, hash.data(), 0),
            OSSL_PARAM_construct_end()};
    if (!m_prepared
        || EVP_MAC_init(m_prepared.get(), bytesOf(digestKey), digestKey.size(), parameters.data())
                != 1)
        throwOpenSslError();
}

KeyDigester::KeyDigester(const KeyDigester &other)
    : m_prepared(copyOf(other.m_prepared))
{
}

KeyDigester &KeyDigester::operator=(const KeyDigester &other)
{
    if (this != &other)
        m_prepared = copyOf(other.m_prepared);
    return *this;
}

Digest KeyDigester::digest(std::string_view key) const
{
    const Context context = copyOf(m_prepared);
    Digest digest{};
    std::size_t size = 0;
    if (EVP_MAC_update(context.get(), bytesOf(key), key.size()) != 1
        || EVP_MAC_final(context.get(), digest.data(), &size, digest.size()) != 1
        || size != digest.size())
        throwOpenSslError();
    return digest;
}

KeyDigester::Context KeyDigester::copyOf(const Context &context)
{
    Context copy(EVP_MAC_CTX_dup(context.get()));
    if (!copy)
        throwOpenSslError();
    return copy;
}

} // namespace chervilmount::model
