#include "core/digest.h"

#include <catch2/catch.hpp>

using namespace kelptally;

// Test vectors of FIPS 180-2, appendix B, and RFC 4231, sections 4.2 to 4.4.
TEST_CASE("SHA-256 and HMAC match the standard test vectors when keys alternate")
{
    for (int round = 0; round < 2; ++round) {
        CHECK(digestToHex(sha256("abc"))
              == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
        CHECK(digestToHex(hmacSha256(std::string(20, '\x0b'), "Hi There"))
              == "b0344c61d8db38535ca8afceaf0bf12b881dc200c9833da726e9376c2e32cff7");
        CHECK(digestToHex(hmacSha256("Jefe", "what do ya want for nothing?"))
              == "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
        CHECK(digestToHex(hmacSha256("Jefe", "what do ya want for nothing?"))
              == "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
        CHECK(digestToHex(hmacSha256(std::string(20, '\xaa'), std::string(50, '\xdd')))
              == "773ea91e36800e46854db8ebd09181a72959098b3ef8c122d9635514ced565fe");
        CHECK(digestToHex(hmacSha256("", ""))
              == "b613679a0814d9ec772f95d778c35fc5ff1697c493715653c6c712144292c5ad");
        CHECK(hmacSha256("", "x") == hmacSha256(std::string_view(), "x"));
    }
}
