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

// Holds back the acknowledgement of committed writes until a majority of the group's servers (the
// primary and enough replicas) holds them in the same term. All waiting writes share one probe for
// each replica.
class Confirmation
{
public:
    explicit Confirmation(bool requireMajority = true);

    // A new primary; what waits for an older term is returned as unknown.
    std::vector<WriteId> onTerm(Term term, std::size_t serverCount);

    // A write committed at the primary at this position, which is of the current term. In a group
    // of one server, or without the majority rule, it is confirmed by the next report.
    void add(WriteId write, Position position);

    // A server's report; returns the writes that are confirmed by it. The primary's own counts for
    // nothing: the primary holds its writes anyway.
    std::vector<WriteId> onReport(const ServerName &replica, const ServerReport &report);

    // Whether any write waits, so that replicas should be probed at once.
    bool waiting() const;

    // Newest position that a majority holds.
    Position confirmed() const;

private:
    bool requireMajority_;
    Term term_ = 0;
    std::size_t serverCount_ = 0;
    std::multimap<LogOffset, WriteId> pendingWrites_;
    // Newest offset of the current term that each replica has reported.
    std::map<ServerName, LogOffset> receivedOffsets_;
};

} // namespace kelptally::decision
