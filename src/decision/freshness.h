#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "decision/failover.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace kelptally::decision {

// Bounds the age of each server's data without synchronised clocks: it keeps samples of (time,
// primary's position), and a replica that has applied a sample's position is no older than the
// sample.
class Freshness
{
public:
    // The primary had this position at some time after the probe was sent. Uses the send time, so
    // that the bound errs towards older.
    void onPrimarySample(Instant probeSent, Position position);

    // A replica had applied this position when it answered. A lower position than before (a rebuilt
    // replica) lowers its bound.
    void onReplicaReport(const ServerName &replica, Position applied);

    // After a failover: replicas keep their bounds only as far as the new history holds them.
    void onNewTerm(Term term, const std::vector<TermStart> &history);

    // Drops what is known of a server, as when its last connection is lost: it may come back with
    // less than it had.
    void forget(const ServerName &server);

    // Upper bound of the age of what a read at this replica sees, or nothing when unknown.
    std::optional<Duration> age(const ServerName &replica, Instant now) const;

    // How far the replica was behind the primary's newest sample when it reported last: about the
    // time until it holds what is written now. Zero for one that had caught up.
    Duration lag(const ServerName &replica) const;

    // Newest position that the replica is known to have applied; nothing when it is unknown or not
    // part of the current history, so that nothing may be read there.
    std::optional<Position> applied(const ServerName &replica) const;

private:
    struct Sample
    {
        Instant at;
        Position position;
    };

    struct ReplicaBound
    {
        Position applied;
        std::optional<Instant> asOf;
        Duration lag {0};
    };

    bool isUsable(Position position) const;
    Position normalized(Position position) const;
    void thinOldSamples();
    std::optional<Instant> asOf(Position applied) const;

    // Ascending in time and in position, both strictly.
    std::deque<Sample> samples_;
    // Nothing until the first term is known: positions are then compared as they are.
    std::optional<Term> term_;
    std::vector<TermStart> history_;
    std::map<ServerName, ReplicaBound> replicas_;
};

} // namespace kelptally::decision
