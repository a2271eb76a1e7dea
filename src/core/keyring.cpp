#include "core/keyring.h"

namespace kelptally {

void KeyRing::add(const OrganisationName &organisation, const std::vector<std::string> &hexHashes)
{
    for (const std::string &hex : hexHashes)
        if (const std::optional<Sha256Digest> digest = digestFromHex(hex))
            add(organisation, *digest);
}

void KeyRing::add(const OrganisationName &organisation, const Sha256Digest &key)
{
    organisations_[key] = organisation;
}

std::optional<OrganisationName> KeyRing::organisationOf(std::string_view key) const
{
    const OrganisationName *found = organisationOf(sha256(key));
    return found == nullptr ? std::nullopt : std::optional<OrganisationName>(*found);
}

const OrganisationName *KeyRing::organisationOf(const Sha256Digest &key) const
{
    const auto found = organisations_.find(key);
    return found == organisations_.end() ? nullptr : &found->second;
}

} // namespace kelptally
