#include "core/digest.h"

#include <glog/logging.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>
#include <memory>

namespace kelptally {

namespace {

int hexValue(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

template <typename T, void (*release)(T *)>
struct Deleter
{
    void operator()(T *object) const { release(object); }
};
using DigestPtr = std::unique_ptr<EVP_MD_CTX, Deleter<EVP_MD_CTX, EVP_MD_CTX_free>>;
using MacPtr = std::unique_ptr<EVP_MAC_CTX, Deleter<EVP_MAC_CTX, EVP_MAC_CTX_free>>;

// Fetched once: the lookup by name costs more than a short digest.
const EVP_MD *sha256Algorithm()
{
    static const EVP_MD *const algorithm = EVP_MD_fetch(nullptr, "SHA256", nullptr);
    return algorithm;
}

// An HMAC context initialised with a key, reused for the next input under the same key.
struct KeyedMac
{
    std::string key;
    MacPtr context;
};

// Aborts when libcrypto fails (out of memory, broken installation): there is no valid digest then.
void checkSuccess(int succeeded)
{
    LOG_IF(FATAL, succeeded != 1) << "event=digest_failed cause=\"libcrypto\"";
}

const unsigned char *bytesOf(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

MacPtr makeMac(std::string_view key)
{
    static EVP_MAC *const algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
    // OpenSSL rejects an empty key. HMAC pads keys with zeros, so a single zero byte is equivalent.
    constexpr std::string_view emptyKey("\0", 1);
    const std::string_view usedKey = key.empty() ? emptyKey : key;
    MacPtr context(EVP_MAC_CTX_new(algorithm));
    char digest[] = "SHA256";
    const std::array<OSSL_PARAM, 2> parameters = {
        OSSL_PARAM_construct_utf8_string("digest", digest, 0), OSSL_PARAM_construct_end()};
    checkSuccess(EVP_MAC_init(context.get(), bytesOf(usedKey), usedKey.size(), parameters.data()));
    return context;
}

} // namespace

Sha256Digest sha256(std::string_view bytes)
{
    thread_local const DigestPtr context(EVP_MD_CTX_new());
    Sha256Digest digest;
    checkSuccess(EVP_DigestInit_ex2(context.get(), sha256Algorithm(), nullptr));
    checkSuccess(EVP_DigestUpdate(context.get(), bytes.data(), bytes.size()));
    checkSuccess(EVP_DigestFinal_ex(context.get(), digest.data(), nullptr));
    return digest;
}

Sha256Digest hmacSha256(std::string_view key, std::string_view bytes)
{
    thread_local KeyedMac mac;
    if (!mac.context || mac.key != key)
        mac = {std::string(key), makeMac(key)};
    else
        checkSuccess(EVP_MAC_init(mac.context.get(), nullptr, 0, nullptr));
    Sha256Digest digest;
    std::size_t length = 0;
    checkSuccess(EVP_MAC_update(mac.context.get(), bytesOf(bytes), bytes.size()));
    checkSuccess(EVP_MAC_final(mac.context.get(), digest.data(), &length, digest.size()));
    return digest;
}

std::optional<Sha256Digest> digestFromHex(std::string_view hex)
{
    Sha256Digest digest;
    if (hex.size() != digest.size() * 2)
        return std::nullopt;
    for (std::size_t i = 0; i < digest.size(); ++i) {
        const int high = hexValue(hex[2 * i]);
        const int low = hexValue(hex[2 * i + 1]);
        if (high < 0 || low < 0)
            return std::nullopt;
        digest[i] = static_cast<unsigned char>(high * 16 + low);
    }
    return digest;
}

std::string digestToHex(const Sha256Digest &digest)
{
    constexpr char digits[] = "0123456789abcdef";
    std::string hex;
    for (const unsigned char byte : digest) {
        hex += digits[byte >> 4];
        hex += digits[byte & 15];
    }
    return hex;
}

bool sameDigest(const Sha256Digest &a, const Sha256Digest &b)
{
    return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace kelptally
