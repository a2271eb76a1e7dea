#include "modelserver.h"

#include <algorithm>
#include <utility>

namespace kelptally::decision {

ModelServer::ModelServer(ServerName name, bool primary)
    : name_(std::move(name)), primary_(primary), log_ {{1, 0, 0, 0, 0, false}}, history_ {{1, 1}}
{ }

bool ModelServer::prepare(Term term)
{
    if (term < prepared_ || (term <= term_ && term != prepared_))
        return false;
    if (term > prepared_)
        followedPrimary_.clear();
    prepared_ = term;
    return true;
}

bool ModelServer::promote(Term term)
{
    if (takesWrites() && term_ == term)
        return true;
    if (term != prepared_ || term <= term_ || !followedPrimary_.empty())
        return false;
    term_ = term;
    primary_ = true;
    history_.push_back({term, log_.size() + 1});
    append({term, 0, 0, 0, fence(), false});
    return true;
}

bool ModelServer::follow(const ServerName &primary, Term term)
{
    const bool leadsTerm = primary_ && term == term_;
    if (term < prepared_ || leadsTerm || primary == name_)
        return false;
    prepared_ = term;
    primary_ = false;
    followedPrimary_ = primary;
    return true;
}

bool ModelServer::raiseFence(OwnerEpoch epoch)
{
    if (!takesWrites() || fence() > epoch)
        return false;
    if (fence() < epoch)
        append({term_, 0, 0, epoch, epoch, false});
    return true;
}

WriteAnswer ModelServer::write(OwnerEpoch epoch, std::uint64_t key, std::uint64_t attempt,
                               bool isVoid)
{
    if (!takesWrites() || fence() > epoch)
        return {};
    for (std::size_t i = 0; i < log_.size(); ++i) {
        if (log_[i].key == key)
            return {log_[i].isVoid ? WriteResult::AlreadyVoid : WriteResult::AlreadyExecuted,
                    {log_[i].term, i + 1}};
    }
    append({term_, key, attempt, epoch, fence(), isVoid});
    return {WriteResult::Done, end()};
}

void ModelServer::onReplication(const Replication &message)
{
    if (message.primary != followedPrimary_ || message.term != prepared_)
        return;
    // If two logs have the same term at an offset, they are equal up to that offset.
    std::size_t common = std::min(log_.size(), message.log.size());
    while (common > 0 && log_[common - 1].term != message.log[common - 1].term)
        --common;
    if (common == message.log.size())
        return;
    log_ = message.log;
    history_ = message.history;
    term_ = message.term;
}

ServerReport ModelServer::report() const
{
    ServerReport report;
    report.term = std::max(prepared_, term_);
    report.isPrimary = takesWrites();
    report.received = end();
    report.applied = end();
    report.fence = fence();
    return report;
}

Position ModelServer::end() const
{
    return {log_.back().term, log_.size()};
}

OwnerEpoch ModelServer::fence() const
{
    return log_.back().fence;
}

void ModelServer::append(Record record)
{
    log_.push_back(record);
}

} // namespace kelptally::decision
