#include "session/catalogue.h"

namespace kelptally::session {

namespace {

// Number of versions whose installation times are kept, for the transactions that are open.
constexpr std::size_t maxInstalled = 32;

} // namespace

bool CurrentCatalogue::install(CataloguePtr catalogue, Instant now)
{
    if (catalogue_ && catalogue->version <= catalogue_->version)
        return false;
    catalogue_ = std::move(catalogue);
    needsKeys_ = needsKeys_ || catalogue_->hasOrganisations;
    installed_.push_back({catalogue_->version, now});
    if (installed_.size() > maxInstalled)
        installed_.pop_front();
    return true;
}

const Route *CurrentCatalogue::route(const std::string &database) const
{
    if (!catalogue_)
        return nullptr;
    const auto found = catalogue_->routes.find(database);
    return found == catalogue_->routes.end() ? nullptr : &found->second;
}

const OrganisationName *CurrentCatalogue::organisationOf(const Sha256Digest &key) const
{
    return catalogue_ ? catalogue_->keys.organisationOf(key) : nullptr;
}

std::optional<Instant> CurrentCatalogue::supersededAt(ConfigVersion version) const
{
    for (const Installed &each : installed_)
        if (each.version > version)
            return each.at;
    return std::nullopt;
}

} // namespace kelptally::session
