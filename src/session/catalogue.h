#pragma once

#include "core/clock.h"
#include "core/keyring.h"
#include "core/types.h"
#include "decision/quota.h"
#include "inner/messages.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

// The operator's configuration as sessions need it: which database leads to which group, and how;
// and which organisation a caller's key belongs to.
namespace kelptally::session {

struct Route
{
    std::string name;
    GroupName group;
    inner::ReadRule rule = inner::ReadRule::Newest;
    Duration maxAge {0};
    // Longest time of one statement.
    Duration statementTimeout {std::chrono::seconds(1)};
    // Time within which an operation should be answered.
    Duration objective {std::chrono::milliseconds(500)};
    int priority = 0;
    // Whether its callers have to show an organisation's key, where there are organisations.
    bool needsKey = true;
};

struct GroupOptions
{
    // Connections that a server takes from all processes together.
    int maxConnections = 0;
    // Whether a commit is acknowledged only once a replica has received it.
    bool synchronous = false;
    // Each connection to its servers belongs to one organisation.
    bool byOrganisation = false;
};

struct Catalogue
{
    ConfigVersion version = 0;
    // By the database's name.
    std::map<std::string, Route> routes;
    std::map<GroupName, GroupOptions> groups;
    // A transaction without a statement for this long is ended; 0: never.
    Duration transactionIdle {0};
    // Whether the configuration speaks of organisations at all. Without them nobody needs a key.
    bool hasOrganisations = false;
    KeyRing keys;
    // Organisations without a quota may ask as much as they like.
    std::map<OrganisationName, std::optional<decision::Quota>> organisations;
};

using CataloguePtr = std::shared_ptr<const Catalogue>;

// The catalogue in force. Versions only go up within the life of a process.
class CurrentCatalogue
{
public:
    const Catalogue *get() const { return catalogue_.get(); }
    const CataloguePtr &shared() const { return catalogue_; }
    ConfigVersion version() const { return catalogue_ ? catalogue_->version : 0; }

    // False, and nothing changes, when the version is not newer.
    bool install(CataloguePtr catalogue, Instant now = {});

    // Null when there is no such database.
    const Route *route(const std::string &database) const;

    // Once a configuration has had organisations, one that leaves them out opens nothing.
    bool needsKeys() const { return needsKeys_; }
    // Null when no organisation has the key.
    const OrganisationName *organisationOf(const Sha256Digest &key) const;
    // When the first version after this one came into force, as far back as that is known; nothing
    // when none has.
    std::optional<Instant> supersededAt(ConfigVersion version) const;

private:
    struct Installed
    {
        ConfigVersion version = 0;
        Instant at;
    };

    CataloguePtr catalogue_;
    bool needsKeys_ = false;
    // Newest last.
    std::deque<Installed> installed_;
};

} // namespace kelptally::session
