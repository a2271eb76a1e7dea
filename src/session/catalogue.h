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

// The parts of the operator's configuration that sessions use: the routes from databases to groups,
// and the organisations of callers' keys.
namespace kelptally::session {

// How statements for one database are routed.
struct Route
{
    std::string name;
    GroupName group;
    inner::ReadRule rule = inner::ReadRule::Newest;
    Duration maxAge {0};
    // Maximum execution time of one statement.
    Duration statementTimeout {std::chrono::seconds(1)};
    // Target latency of an operation.
    Duration objective {std::chrono::milliseconds(500)};
    int priority = 0;
    // Whether callers must present an organisation's key if organisations are configured.
    bool needsKey = true;
};

struct GroupOptions
{
    // Maximum number of connections to one server from all processes together.
    int maxConnections = 0;
    // Whether a commit is acknowledged only once a replica has received it.
    bool synchronous = false;
    // Whether each connection to the servers belongs to a single organisation.
    bool byOrganisation = false;
};

// One version of the configuration.
struct Catalogue
{
    ConfigVersion version = 0;
    // By database name.
    std::map<std::string, Route> routes;
    std::map<GroupName, GroupOptions> groups;
    // Idle timeout of transactions; 0 means none.
    Duration transactionIdle {0};
    // Whether the configuration has a list of organisations. Without it no caller needs a key.
    bool hasOrganisations = false;
    KeyRing keys;
    // Organisations and their quotas; without a quota an organisation is not limited.
    std::map<OrganisationName, std::optional<decision::Quota>> organisations;
};

using CataloguePtr = std::shared_ptr<const Catalogue>;

// The catalogue in force. Its version never decreases during the lifetime of a process.
class CurrentCatalogue
{
public:
    const Catalogue *get() const { return catalogue_.get(); }
    const CataloguePtr &shared() const { return catalogue_; }
    ConfigVersion version() const { return catalogue_ ? catalogue_->version : 0; }

    // Replaces the catalogue. Returns false, without effect, if the version is not newer.
    bool install(CataloguePtr catalogue, Instant now = {});

    // Returns the route to a database, or null if there is none.
    const Route *route(const std::string &database) const;

    // Stays true once a configuration has had organisations, so that one without them does not
    // grant access to everybody.
    bool needsKeys() const { return needsKeys_; }
    // Returns the organisation of a key, or null if the key is unknown.
    const OrganisationName *organisationOf(const Sha256Digest &key) const;
    // Returns the quota of an organisation that was added within the last minute. Other processes
    // may not know it yet.
    std::optional<decision::Quota> recentlyAddedQuota(const OrganisationName &organisation,
                                                      Instant now) const;
    // Returns when the first version newer than `version` was installed, or nothing if there is
    // none. Only recent versions are remembered.
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
    // Organisations that later versions than the first one added, and when.
    std::map<OrganisationName, Instant> addedAt_;
};

} // namespace kelptally::session
