#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "inner/messages.h"

#include <map>
#include <memory>
#include <string>

// The operator's configuration as sessions need it: which database leads to which group, and how.
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
};

struct GroupOptions
{
    // Connections that a server takes from all processes together.
    int maxConnections = 0;
    // Whether a commit is acknowledged only once a replica has received it.
    bool synchronous = false;
};

struct Catalogue
{
    ConfigVersion version = 0;
    // By the database's name.
    std::map<std::string, Route> routes;
    std::map<GroupName, GroupOptions> groups;
    // A transaction without a statement for this long is ended; 0: never.
    Duration transactionIdle {0};
};

using CataloguePtr = std::shared_ptr<const Catalogue>;

// The catalogue in force. Versions only go up within the life of a process.
class CurrentCatalogue
{
public:
    const Catalogue *get() const { return catalogue_.get(); }
    ConfigVersion version() const { return catalogue_ ? catalogue_->version : 0; }

    // False, and nothing changes, when the version is not newer.
    bool install(CataloguePtr catalogue)
    {
        if (catalogue_ && catalogue->version <= catalogue_->version)
            return false;
        catalogue_ = std::move(catalogue);
        return true;
    }

    // Null when there is no such database.
    const Route *route(const std::string &database) const
    {
        if (!catalogue_)
            return nullptr;
        const auto found = catalogue_->routes.find(database);
        return found == catalogue_->routes.end() ? nullptr : &found->second;
    }

private:
    CataloguePtr catalogue_;
};

} // namespace kelptally::session
