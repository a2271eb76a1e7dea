#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <optional>
#include <string>
#include <vector>

namespace kelptally::decision {

// A server of a group whose log may hold acknowledged commits.
struct LogHolder
{
    ServerName server;
    // "ip:port". A crashed server returns here with its log, possibly under another id.
    std::string endpoint;
};

bool operator==(const LogHolder &a, const LogHolder &b);

// Tracks which servers of a group may hold acknowledged commits, including servers that are not on
// the current list of servers.
//
// A commit is acknowledged once a second server has received it, and that server may leave the list
// at once: it crashed, its entry expired, or this process has just started. Choosing among listed
// servers alone could then promote a server that lacks the commit. A server that has left the list
// therefore stays a holder until another replica holds all that the primary held after that time.
class LogHolders
{
public:
    // Starts with the holders named in the group's row and those that left the list recently, which
    // the row may not name yet.
    void begin(const std::vector<LogHolder> &named, Instant now);
    void onListed(const std::vector<LogHolder> &listed, Instant now);

    // The primary answered a request sent at requestedAt, with the position of its newest record.
    void onPrimaryPosition(Position position, Instant requestedAt);
    // A listed replica of the same term holds all records up to the position.
    void onReplicaPosition(Position position);
    // The primary changed: resets the position that a replica has to reach.
    void onPrimaryChanged();

    // Returns the holders that are not on the list of servers.
    const std::vector<LogHolder> &unlisted() const { return unlisted_; }
    // Returns all holders, sorted by server, as the row names them.
    std::vector<LogHolder> all() const;

private:
    void dropListed();

    std::vector<LogHolder> listed_;
    std::vector<LogHolder> unlisted_;
    // When the last of them left the list, and the position of the primary after that.
    Instant unlistedAt_ {};
    std::optional<Position> requiredPosition_;
};

} // namespace kelptally::decision
