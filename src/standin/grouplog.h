#pragma once

#include "core/types.h"
#include "standin/sqlitedatabase.h"

#include <memory>
#include <string>
#include <vector>

namespace kelptally::standin {

// A write statement as repeated on the replicas.
struct LoggedStatement
{
    std::string sql;
    std::vector<Parameter> parameters;
};

// Log record with the write statements of one transaction.
struct Record
{
    Position position;
    std::vector<LoggedStatement> statements;
};
using RecordPtr = std::shared_ptr<const Record>;

// A term and the offset of its first record.
struct TermStart
{
    Term term = 0;
    LogOffset start = 0;
};

// Consecutive records of one term in a log; both offsets are inclusive.
struct TermRange
{
    Term term = 0;
    LogOffset first = 0;
    LogOffset last = 0;
};

// The log of one server. Offsets start at 1 and are consecutive across all terms.
class GroupLog
{
public:
    // Position of the newest record; {0, 0} if the log is empty.
    Position end() const { return positionAt(records_.size()); }
    Position positionAt(LogOffset offset) const;
    const RecordPtr &record(LogOffset offset) const { return records_[offset - 1]; }
    const std::vector<TermRange> &termRanges() const { return termRanges_; }

    // The record's offset must be end().offset + 1.
    void append(RecordPtr record);
    // Removes the records after this offset.
    void truncate(LogOffset offset);

    // Returns the highest offset up to which both logs are equal.
    LogOffset commonOffset(const std::vector<TermRange> &other) const;

private:
    std::vector<RecordPtr> records_;
    std::vector<TermRange> termRanges_;
};

} // namespace kelptally::standin
