#pragma once

#include "core/clock.h"

#include <cstddef>
#include <vector>

// Which connection of a server a statement gets. A server takes few connections from all processes
// together, each belongs to one organisation for life, and opening one costs time and a slot.
namespace kelptally::decision {

// One connection that nobody uses at the moment.
struct IdleConnection
{
    // It belongs to the statement's organisation.
    bool sameOrganisation = false;
    // It holds just the values of the statement's session, so that nothing has to be set.
    bool hasSessionValues = false;
    // When it last answered.
    Instant lastUsedAt;
};

// The connections of one server as one owner has them.
struct ServerConnections
{
    // Open or being opened, in use or not, of all organisations.
    int total = 0;
    // As many this owner may have.
    int share = 0;
    // Being opened, of all organisations and of the statement's.
    int opening = 0;
    int openingForOrganisation = 0;
    // What the server does at the same time; opening a connection takes a slot meanwhile.
    int slots = 1;
    // The server may be dialled; it has not just refused a connection.
    bool mayOpen = true;
    // One that has rested for less may not make room: its organisation is likely to ask again.
    Duration minIdleTime {0};
};

// What one owner may have of a server's connections, in percent.
struct OwnerShare
{
    int basePercent = 0;
    // With those that rest inside transactions, which serve nobody else meanwhile.
    int maxPercent = 0;
};

// How many connections an owner may have. The rest is for the next owner, for whom a server keeps
// those of a host that lost power.
int maxOwnerConnections(int maxConnections, int idleInTransaction, const OwnerShare &share);

enum class ConnectionAction {
    // An idle connection of the organisation.
    Use,
    // A new one, within the share.
    Open,
    // A new one, and an idle one of another organisation is closed for it.
    Replace,
    // One of the organisation is being opened, or as many as may be at a time.
    WaitForOpening,
    // Every connection is in use.
    WaitForIdle,
    // The server is not dialled for the moment.
    WaitForServer,
};

constexpr std::size_t connectionActionCount = 6;

// As metrics and logs name it.
const char *connectionActionName(ConnectionAction action);

struct ConnectionChoice
{
    ConnectionAction action = ConnectionAction::WaitForIdle;
    // Of the idle connection to use, or to close.
    std::size_t index = 0;
};

// The idle connections stand in the order in which they were used, the one that has rested longest
// first; among those that serve equally the one used last is taken, so that the rest grow old.
//
// Making room by the longest rest keeps the connections of those that ask most. One opening at a
// time for an organisation: several of its statements that wait would each open one, and close
// those of others for it.
ConnectionChoice chooseConnection(const std::vector<IdleConnection> &idle,
                                  const ServerConnections &server, Instant now);

} // namespace kelptally::decision
