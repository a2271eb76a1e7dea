#pragma once

#include "core/digest.h"
#include "core/types.h"

#include <cstring>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace kelptally {

// Whose key a caller shows. Only SHA-256 sums of keys are held; a key that is shown is hashed, and
// neither kept nor logged. The look-up by the sum tells nothing of keys by its time: nobody can
// choose a sum that shares its beginning with another one.
class KeyRing
{
public:
    // The organisation of the last call that named the key has it. An organisation of an empty name
    // may do everything.
    void add(const OrganisationName &organisation, const std::vector<std::string> &hexHashes);
    void add(const OrganisationName &organisation, const Sha256Digest &key);

    std::optional<OrganisationName> organisationOf(std::string_view key) const;
    // Null when no organisation has the key.
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
