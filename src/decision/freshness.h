#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "decision/failover.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace kelptally::decision {

// Bounds the age of each replica's data without synchronised clocks. It samples the primary's
// position over time; the data of a replica that has applied a sampled position is no older than
// the sample.
class Freshness
{
public:
    // Records the primary's position as answered to a probe. The send time of the probe is used, so
    // that the age is never underestimated.
    void onPrimarySample(Instant probeSent, Position position);

    // Records the position that a replica has applied. A lower position than before (a rebuilt
    // replica) discards its previous bound.
    void onReplicaReport(const ServerName &replica, Position applied);

    // Starts a new term after a failover. Samples and bounds that are not part of the new history
    // are dropped.
    void onNewTerm(Term term, const std::vector<TermStart> &history);

    // Drops the state of a server, for example when its last connection is lost: it may come back
    // with less data.
    void forget(const ServerName &server);

    // Returns an upper bound on the age of the replica's data, or nothing if unknown.
    std::optional<Duration> age(const ServerName &replica, Instant now) const;

    // Returns how far the replica was behind the primary's newest sample at its last report; zero
    // if it had caught up or if this is unknown.
    Duration lag(const ServerName &replica) const;

    // Returns the newest position that the replica has applied, or nothing if it is unknown or not
    // part of the current history; the replica must not serve reads then.
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

    // Strictly ascending by both time and position.
    std::deque<Sample> samples_;
    // Not set until the first term is known; until then every position is usable.
    std::optional<Term> term_;
    std::vector<TermStart> history_;
    std::map<ServerName, ReplicaBound> replicas_;
};

} // namespace kelptally::decision
