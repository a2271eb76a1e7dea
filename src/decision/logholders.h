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
    // "ip:port". A server that crashed comes back there with its log, also under another id.
    std::string endpoint;
};

bool operator==(const LogHolder &a, const LogHolder &b);

// Which servers may hold commits that were acknowledged in a group, whatever the list of servers
// says at the moment.
//
// A commit is acknowledged once a second server has received it, and that one may leave the list
// right afterwards: it has crashed, its entry has lapsed, or this process has just started and has
// not heard of it. A choice among the listed ones alone then promotes a server that lacks the
// commit. So a server that has left the list stays a holder until another one is seen to hold all
// that the primary had after it had left.
class LogHolders
{
public:
    // Begins with those that the group's row names, and those that vanished here a moment ago: the
    // row may not have heard of them yet.
    void begin(const std::vector<LogHolder> &named, Instant now);
    void onListed(const std::vector<LogHolder> &listed, Instant now);

    // The primary was asked then, and held this.
    void onPrimaryPosition(Position position, Instant requestedAt);
    // A listed replica of the same term holds all up to this.
    void onReplicaPosition(Position position);
    // Another primary leads: what replicas have to hold is learnt anew.
    void onPrimary();

    // Those that the list does not name.
    const std::vector<LogHolder> &unlisted() const { return unlisted_; }
    // All, in a fixed order, as the row names them.
    std::vector<LogHolder> all() const;

private:
    void dropListed();

    std::vector<LogHolder> listed_;
    std::vector<LogHolder> unlisted_;
    // When the last of them left, and what the primary held after that.
    Instant unlistedAt_ {};
    std::optional<Position> requiredPosition_;
};

} // namespace kelptally::decision
