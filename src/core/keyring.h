#pragma once

#include "core/digest.h"
#include "core/types.h"

#include <cstring>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace kelptally {

// Maps API keys to organisations. Holds only the SHA-256 digests of the keys; a presented key is
// hashed and neither stored nor logged. The lookup need not take constant time: a caller cannot
// choose a key whose digest shares a prefix with a stored one.
class KeyRing
{
public:
    // Adds keys of an organisation; a key that is already present moves to it. An organisation with
    // an empty name has all permissions. Text that is not a SHA-256 digest in hexadecimal is
    // ignored.
    void add(const OrganisationName &organisation, const std::vector<std::string> &hexHashes);
    void add(const OrganisationName &organisation, const Sha256Digest &key);

    std::optional<OrganisationName> organisationOf(std::string_view key) const;
    // Returns null for an unknown key.
    const OrganisationName *organisationOf(const Sha256Digest &key) const;

    std::size_t size() const { return organisations_.size(); }

private:
    struct DigestHash
    {
        std::size_t operator()(const Sha256Digest &digest) const
        {
            std::size_t hash = 0;
            std::memcpy(&hash, digest.data(), sizeof hash);
            return hash;
        }
    };

    std::unordered_map<Sha256Digest, OrganisationName, DigestHash> organisations_;
};

} // namespace kelptally
