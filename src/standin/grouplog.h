#pragma once

#include "core/types.h"
#include "standin/sqlitedatabase.h"

#include <memory>
#include <string>
#include <vector>

namespace kelptally::standin {

// A write statement as it is run again on the replicas.
struct LoggedStatement
{
    std::string sql;
    std::vector<Parameter> parameters;
};

// What one transaction wrote.
struct Record
{
    Position position;
    std::vector<LoggedStatement> statements;
};
using RecordPtr = std::shared_ptr<const Record>;

// A term and the offset at which it began.
struct TermStart
{
    Term term = 0;
    LogOffset start = 0;
};

// Records of one term that follow each other in a log.
struct TermRange
{
    Term term = 0;
    LogOffset first = 0;
    LogOffset last = 0;
};

// The log of one server: records at offsets 1, 2, 3, ... across all terms.
class GroupLog
{
public:
    // Term and offset of the newest record; {0, 0} when there is none.
    Position end() const { return positionAt(records_.size()); }
    Position positionAt(LogOffset offset) const;
    const RecordPtr &record(LogOffset offset) const { return records_[offset - 1]; }
    const std::vector<TermRange> &termRanges() const { return termRanges_; }

    // The record's offset must be the next one.
    void append(RecordPtr record);
    // Drops the records after this offset.
    void truncate(LogOffset offset);

    // Newest offset up to which both logs hold the same records.
    LogOffset commonOffset(const std::vector<TermRange> &other) const;

private:
    std::vector<RecordPtr> records_;
    std::vector<TermRange> termRanges_;
};

} // namespace kelptally::standin
