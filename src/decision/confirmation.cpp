#include "decision/confirmation.h"

#include <algorithm>
#include <functional>

namespace kelptally::decision {

Confirmation::Confirmation(bool requireMajority) : requireMajority_(requireMajority) { }

std::vector<WriteId> Confirmation::onTerm(Term term, std::size_t serverCount)
{
    serverCount_ = serverCount;
    std::vector<WriteId> unknown;
    if (term == term_)
        return unknown;
    for (const auto &[offset, write] : pendingWrites_)
        unknown.push_back(write);
    pendingWrites_.clear();
    receivedOffsets_.clear();
    term_ = term;
    return unknown;
}

void Confirmation::add(WriteId write, Position position)
{
    pendingWrites_.emplace(position.offset, write);
}

std::vector<WriteId> Confirmation::onReport(const ServerName &replica, const ServerReport &report)
{
    std::vector<WriteId> confirmedWrites;
    // A replica of another term, or whose newest record is of an older term, may hold different
    // records at the same offsets.
    const bool holdsTerm = report.term == term_ && report.received.term == term_;
    if (holdsTerm && !report.isPrimary) {
        LogOffset &received = receivedOffsets_[replica];
        received = std::max(received, report.received.offset);
    }
    const LogOffset confirmedOffset = confirmed().offset;
    auto next = pendingWrites_.begin();
    for (; next != pendingWrites_.end() && (next->first <= confirmedOffset || !requireMajority_);
         ++next)
        confirmedWrites.push_back(next->second);
    pendingWrites_.erase(pendingWrites_.begin(), next);
    return confirmedWrites;
}

bool Confirmation::waiting() const
{
    return !pendingWrites_.empty();
}

Position Confirmation::confirmed() const
{
    // Replicas needed for a majority together with the primary.
    const std::size_t replicasNeeded = serverCount_ / 2;
    if (replicasNeeded == 0)
        return {term_, std::numeric_limits<LogOffset>::max()};
    std::vector<LogOffset> offsets;
    offsets.reserve(receivedOffsets_.size());
    for (const auto &[replica, offset] : receivedOffsets_)
        offsets.push_back(offset);
    if (offsets.size() < replicasNeeded)
        return {term_, 0};
    std::sort(offsets.begin(), offsets.end(), std::greater<>());
    return {term_, offsets[replicasNeeded - 1]};
}

} // namespace kelptally::decision
