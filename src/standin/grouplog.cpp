#include "standin/grouplog.h"

#include <glog/logging.h>

#include <algorithm>

namespace kelptally::standin {

Position GroupLog::positionAt(LogOffset offset) const
{
    if (offset == 0 || offset > records_.size())
        return {};
    return records_[offset - 1]->position;
}

void GroupLog::append(RecordPtr record)
{
    const Position position = record->position;
    CHECK_EQ(position.offset, records_.size() + 1);
    if (termRanges_.empty() || termRanges_.back().term != position.term)
        termRanges_.push_back({position.term, position.offset, position.offset});
    termRanges_.back().last = position.offset;
    records_.push_back(std::move(record));
}

void GroupLog::truncate(LogOffset offset)
{
    records_.resize(std::min<std::size_t>(records_.size(), offset));
    while (!termRanges_.empty() && termRanges_.back().first > offset)
        termRanges_.pop_back();
    if (!termRanges_.empty())
        termRanges_.back().last = std::min(termRanges_.back().last, offset);
}

// Each term has one primary, which only appends. So logs with the same (term, offset) are equal up
// to that offset.
LogOffset GroupLog::commonOffset(const std::vector<TermRange> &other) const
{
    LogOffset common = 0;
    for (const TermRange &a : termRanges_) {
        for (const TermRange &b : other) {
            const LogOffset last = std::min(a.last, b.last);
            if (a.term == b.term && last >= std::max(a.first, b.first))
                common = std::max(common, last);
        }
    }
    return common;
}

} // namespace kelptally::standin
