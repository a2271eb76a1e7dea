#include "decision/logholders.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

bool contains(const std::vector<LogHolder> &holders, const ServerName &server)
{
    return std::any_of(holders.begin(), holders.end(),
                       [&](const LogHolder &holder) { return holder.server == server; });
}

} // namespace

bool operator==(const LogHolder &a, const LogHolder &b)
{
    return a.server == b.server && a.endpoint == b.endpoint;
}

void LogHolders::begin(const std::vector<LogHolder> &named, Instant now)
{
    heldSince_.reset();
    vanishedAt_ = now;
    vanished_ = named;
    dropReplaced();
}

void LogHolders::onListed(const std::vector<LogHolder> &listed, Instant now)
{
    for (const LogHolder &holder : listed_) {
        if (contains(listed, holder.server) || contains(vanished_, holder.server))
            continue;
        vanished_.push_back(holder);
        vanishedAt_ = now;
        heldSince_.reset();
    }
    listed_ = listed;
    dropReplaced();
}

// Listed again, or its address is another listed server's by now.
void LogHolders::dropReplaced()
{
    const auto isReplaced = [this](const LogHolder &holder) {
        return std::any_of(listed_.begin(), listed_.end(), [&](const LogHolder &listed) {
            return listed.server == holder.server || listed.endpoint == holder.endpoint;
        });
    };
    vanished_.erase(std::remove_if(vanished_.begin(), vanished_.end(), isReplaced),
                    vanished_.end());
}

void LogHolders::onPrimaryHeld(Position position, Instant asked)
{
    if (!vanished_.empty() && !heldSince_ && asked >= vanishedAt_)
        heldSince_ = position;
}

void LogHolders::onReplicaHeld(Position position)
{
    if (!heldSince_ || position < *heldSince_)
        return;
    vanished_.clear();
    heldSince_.reset();
}

void LogHolders::onPrimary()
{
    heldSince_.reset();
}

std::vector<LogHolder> LogHolders::all() const
{
    std::vector<LogHolder> holders = listed_;
    holders.insert(holders.end(), vanished_.begin(), vanished_.end());
    std::sort(holders.begin(), holders.end(),
              [](const LogHolder &a, const LogHolder &b) { return a.server < b.server; });
    return holders;
}

} // namespace kelptally::decision
