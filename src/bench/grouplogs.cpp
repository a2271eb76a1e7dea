#include "bench/grouplogs.h"

#include <algorithm>

namespace kelptally::bench {

Position GroupLogs::beginTerm(Term term, Position from, Instant now)
{
    TermLog next;
    if (from.offset > 0) {
        next = logs_.at(from.term);
        next.records.resize(from.offset);
        const auto isTruncated = [&from](const auto &entry) { return entry.second > from.offset; };
        for (auto it = next.index.begin(); it != next.index.end();)
            it = isTruncated(*it) ? next.index.erase(it) : std::next(it);
    }
    next.history.push_back({term, from.offset + 1});
    logs_[term] = std::move(next);
    return append(term, 0, now);
}

Position GroupLogs::append(Term term, RequestId request, Instant now)
{
    TermLog &log = logs_.at(term);
    log.records.push_back({term, request, now});
    if (request != 0)
        log.index.emplace(request, log.records.size());
    return end(term);
}

Position GroupLogs::commonPrefix(Position position, Term term) const
{
    const auto &target = logs_.at(term).records;
    if (position.offset == 0)
        return position;
    const auto &own = logs_.at(position.term).records;
    LogOffset offset = std::min<LogOffset>(position.offset, target.size());
    while (offset > 0 && own[offset - 1].term != target[offset - 1].term)
        --offset;
    return offset == 0 ? Position {} : Position {own[offset - 1].term, offset};
}

std::optional<Position> GroupLogs::find(Position prefix, RequestId request) const
{
    if (prefix.offset == 0)
        return std::nullopt;
    const TermLog &log = logs_.at(prefix.term);
    const auto found = log.index.find(request);
    if (found == log.index.end() || found->second > prefix.offset)
        return std::nullopt;
    return Position {log.records[found->second - 1].term, found->second};
}

bool GroupLogs::contains(Position prefix, RequestId request) const
{
    return find(prefix, request).has_value();
}

Position GroupLogs::end(Term term) const
{
    return {term, logs_.at(term).records.size()};
}

const std::vector<decision::TermStart> &GroupLogs::history(Term term) const
{
    return logs_.at(term).history;
}

const std::vector<LogRecord> &GroupLogs::records(Term term) const
{
    return logs_.at(term).records;
}

} // namespace kelptally::bench
