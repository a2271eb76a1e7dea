#include "session/catalogue.h"

#include <iterator>

namespace kelptally::session {

namespace {

// Number of versions whose installation times are kept, for the transactions that are open.
constexpr std::size_t maxInstalled = 32;
// Processes that get no newer configuration lose their groups within this time.
constexpr Duration recentTime = std::chrono::minutes(1);

} // namespace

bool CurrentCatalogue::install(CataloguePtr catalogue, Instant now)
{
    if (catalogue_ && catalogue->version <= catalogue_->version)
        return false;
    for (auto added = addedAt_.begin(); added != addedAt_.end();)
        added = now - added->second > recentTime ? addedAt_.erase(added) : std::next(added);
    if (catalogue_)
        for (const auto &[organisation, quota] : catalogue->organisations)
            if (catalogue_->organisations.count(organisation) == 0)
                addedAt_[organisation] = now;
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

std::optional<decision::Quota>
CurrentCatalogue::recentlyAddedQuota(const OrganisationName &organisation, Instant now) const
{
    const auto added = addedAt_.find(organisation);
    if (added == addedAt_.end() || now - added->second > recentTime)
        return std::nullopt;
    const auto found = catalogue_->organisations.find(organisation);
    return found == catalogue_->organisations.end() ? std::nullopt : found->second;
}

std::optional<Instant> CurrentCatalogue::supersededAt(ConfigVersion version) const
{
    for (const Installed &each : installed_)
        if (each.version > version)
            return each.at;
    return std::nullopt;
}

} // namespace kelptally::session
