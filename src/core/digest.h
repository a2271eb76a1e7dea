#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace kelptally {

using Sha256Digest = std::array<unsigned char, 32>;

Sha256Digest sha256(std::string_view bytes);

// Computes HMAC-SHA-256 (RFC 2104). Each thread caches the state of the key it used last.
Sha256Digest hmacSha256(std::string_view key, std::string_view bytes);

// Parses a digest from 64 hexadecimal digits; nullopt for any other text.
std::optional<Sha256Digest> digestFromHex(std::string_view hex);

std::string digestToHex(const Sha256Digest &digest);

// Compares in constant time.
bool sameDigest(const Sha256Digest &a, const Sha256Digest &b);

} // namespace kelptally
