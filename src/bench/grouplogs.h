#pragma once

#include "bench/trace.h"
#include "decision/failover.h"

#include <map>
#include <vector>

namespace kelptally::bench {

struct LogRecord
{
    Term term = 0;
    // 0 for the record with which a primary begins its term.
    RequestId request = 0;
    Instant committedAt;
};

// The logs of all terms of one database group. A position denotes a prefix of its term's log; model
// servers store positions only.
class GroupLogs
{
public:
    // Starts a term whose log begins with the given prefix.
    Position beginTerm(Term term, Position from, Instant now);
    Position append(Term term, RequestId request, Instant now);

    // Returns the end of the longest prefix that is shared with the term's log.
    Position commonPrefix(Position position, Term term) const;
    bool contains(Position prefix, RequestId request) const;
    // Returns the position of the request's record, or nothing if the prefix doesn't hold it.
    std::optional<Position> find(Position prefix, RequestId request) const;
    Position end(Term term) const;
    const std::vector<decision::TermStart> &history(Term term) const;
    const std::vector<LogRecord> &records(Term term) const;

private:
    struct TermLog
    {
        std::vector<LogRecord> records;
        std::map<RequestId, LogOffset> index;
        std::vector<decision::TermStart> history;
    };

    std::map<Term, TermLog> logs_;
};

} // namespace kelptally::bench
