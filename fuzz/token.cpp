#include "decision/sessiontoken.h"
#include "decision/transactions.h"
#include "fuzz/fuzz.h"

#include <absl/strings/escaping.h>

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <string>

using namespace kelptally;
using decision::SessionToken;

namespace {

constexpr std::string_view key = "fuzz key";
constexpr std::size_t macBytes = 16;

// Signs a body as SessionToken does, so that the fuzzer passes the signature check.
std::string signedToken(std::string_view body)
{
    const std::string input = "kelptally session token:" + std::string(body);
    std::array<unsigned char, EVP_MAX_MD_SIZE> mac {};
    unsigned length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(input.data()), input.size(), mac.data(), &length);
    std::string signedBytes(body);
    signedBytes.append(reinterpret_cast<const char *>(mac.data()), macBytes);
    std::string text = absl::WebSafeBase64Escape(signedBytes);
    while (!text.empty() && text.back() == '=')
        text.pop_back();
    return text;
}

} // namespace

// Tokens and transaction ids are canonical: each that parses is formatted to the same text.
int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view input = fuzz::textOf(data, size);
    fuzz::require(input.empty() || !SessionToken::open(input, key).ok()
                  || SessionToken::open(input, key)->seal(key) == input);
    const std::string token = signedToken(input);
    const auto opened = SessionToken::open(token, key);
    if (opened.ok())
        fuzz::require(opened->seal(key) == token);
    const auto id = decision::TransactionId::fromText(std::string(input));
    if (id)
        fuzz::require(id->toText() == input);
    return 0;
}
