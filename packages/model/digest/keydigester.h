#pragma once

#include "model/digest/sha256.h"

#include <cstddef>
#include <memory>
#include <string_view>

struct evp_mac_ctx_st;

namespace chervilmount::model {

/** Shortest accepted digest key: the output length of HMAC-SHA-256. */
constexpr std::size_t MinimumDigestKeyBytes = 32;

/**
 * Computes the stored digests of callers' keys: HMAC-SHA-256 under the deployment's digest key. The
 * MAC context is initialised once, so that each digest is cheap. Not thread-safe; each thread needs
 * a copy of its own.
 */
class KeyDigester
{
public:
    /**
     * @param digestKey the deployment's digest key.
     * @throws std::invalid_argument if it is shorter than MinimumDigestKeyBytes.
     * @throws std::runtime_error if OpenSSL fails.
     */
    explicit KeyDigester(std::string_view digestKey);

    KeyDigester(const KeyDigester &other);
    KeyDigester &operator=(const KeyDigester &other);
    KeyDigester(KeyDigester &&) = default;
    KeyDigester &operator=(KeyDigester &&) = default;
    ~KeyDigester() = default;

    /** @returns the digest of a caller's key. @throws std::runtime_error if OpenSSL fails. */
    Digest digest(std::string_view key) const;

private:
    struct FreeContext
    {
        void operator()(evp_mac_ctx_st *context) const;
    };
    using Context = std::unique_ptr<evp_mac_ctx_st, FreeContext>;

    static Context copyOf(const Context &context);

    Context m_prepared;
};

} // namespace chervilmount::model
