#pragma once

#include "core/clock.h"

#include <cstddef>
#include <vector>

// Chooses the connection for a statement. A server's connection limit is shared by all owners, each
// connection belongs to one organisation for its lifetime, and opening one takes time and a slot.
namespace kelptally::decision {

struct IdleConnection
{
    // Belongs to the statement's organisation.
    bool sameOrganisation = false;
    // Has exactly the session values that the statement needs.
    bool hasSessionValues = false;
    // Time of the last answer.
    Instant lastUsedAt;
};

// One owner's connections to one server.
struct ServerConnections
{
    // Open or being opened, of all organisations.
    int total = 0;
    // Maximum of total.
    int share = 0;
    // Being opened, for all organisations and for the statement's.
    int opening = 0;
    int openingForOrganisation = 0;
    // Statements that the server runs concurrently. An opening connection occupies a slot.
    int slots = 1;
    // False during the backoff after a refused connection.
    bool mayOpen = true;
    // A connection that was idle for less is not closed to make room for another.
    Duration minIdleTime {0};
};

// One owner's share of a server's connections, in percent.
struct OwnerShare
{
    int basePercent = 0;
    // Including connections that are idle in a transaction.
    int maxPercent = 0;
};

// Returns how many connections an owner may open. The rest is left for the next owner of the group:
// after a power loss the server still counts the connections of the lost host.
int maxOwnerConnections(int maxConnections, int idleInTransaction, const OwnerShare &share);

enum class ConnectionAction {
    // Use an idle connection of the organisation.
    Use,
    // Open a new one, within the share.
    Open,
    // Close an idle connection of another organisation and open a new one.
    Replace,
    // One is being opened for the organisation, or the limit of concurrent openings is reached.
    WaitForOpening,
    // All connections are in use, or idle for too short a time.
    WaitForIdle,
    // The server refused a connection; retry after the backoff.
    WaitForServer,
};

constexpr std::size_t connectionActionCount = 6;

// Returns the name used in metrics and logs.
const char *connectionActionName(ConnectionAction action);

struct ConnectionChoice
{
    ConnectionAction action = ConnectionAction::WaitForIdle;
    // Index of the idle connection to use or to close.
    std::size_t index = 0;
};

// Expects the idle connections in order of last use, least recently used first. Of equally suitable
// ones it takes the most recently used. The least recently used is replaced, which keeps the
// connections of busy organisations. At most one connection is opened at a time for an
// organisation: its queued statements would otherwise evict those of others.
ConnectionChoice chooseConnection(const std::vector<IdleConnection> &idle,
                                  const ServerConnections &server, Instant now);

} // namespace kelptally::decision
