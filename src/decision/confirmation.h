#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "decision/failover.h"

#include <cstdint>
#include <limits>
#include <map>
#include <vector>

namespace kelptally::decision {

using WriteId = std::uint64_t;

// Tracks committed writes until a majority of the group's servers (the primary and enough replicas)
// holds them in the same term and they may be acknowledged.
class Confirmation
{
public:
    explicit Confirmation(bool requireMajority = true);

    // Sets the current term and the size of the group. If the term is new, returns the pending
    // writes of the previous one, whose outcome is unknown.
    std::vector<WriteId> onTerm(Term term, std::size_t serverCount);

    // Adds a write that the primary has committed at this position of the current term. In a group
    // of one server, or without the majority rule, the next report confirms it.
    void add(WriteId write, Position position);

    // Processes a server's report and returns the writes that are now confirmed. A report of the
    // primary does not count, since the primary is already part of the majority.
    std::vector<WriteId> onReport(const ServerName &replica, const ServerReport &report);

    // Returns whether any write is pending, so that replicas should be probed at once.
    bool waiting() const;

    // Returns the newest position held by a majority.
    Position confirmed() const;

private:
    bool requireMajority_;
    Term term_ = 0;
    std::size_t serverCount_ = 0;
    std::multimap<LogOffset, WriteId> pendingWrites_;
    // Newest offset in the current term reported by each replica.
    std::map<ServerName, LogOffset> receivedOffsets_;
};

} // namespace kelptally::decision
