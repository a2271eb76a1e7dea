#include "decision/logholders.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// An owner updates the row within about a second of learning of a server, well within this time. A
// server that left the list earlier and that the row does not name is no longer a holder.
constexpr Duration maxRowDelay = std::chrono::seconds(15);

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
    if (now - unlistedAt_ > maxRowDelay)
        unlisted_.clear();
    for (const LogHolder &holder : named)
        if (!contains(unlisted_, holder.server))
            unlisted_.push_back(holder);
    dropListed();
    requiredPosition_.reset();
    unlistedAt_ = now;
}

void LogHolders::onListed(const std::vector<LogHolder> &listed, Instant now)
{
    for (const LogHolder &holder : listed_) {
        if (contains(listed, holder.server) || contains(unlisted_, holder.server))
            continue;
        unlisted_.push_back(holder);
        unlistedAt_ = now;
        requiredPosition_.reset();
    }
    listed_ = listed;
    dropListed();
}

void LogHolders::dropListed()
{
    const auto isListed = [this](const LogHolder &holder) {
        return contains(listed_, holder.server);
    };
    unlisted_.erase(std::remove_if(unlisted_.begin(), unlisted_.end(), isListed), unlisted_.end());
}

void LogHolders::onPrimaryPosition(Position position, Instant requestedAt)
{
    if (!unlisted_.empty() && !requiredPosition_ && requestedAt >= unlistedAt_)
        requiredPosition_ = position;
}

void LogHolders::onReplicaPosition(Position position)
{
    if (!requiredPosition_ || position < *requiredPosition_)
        return;
    unlisted_.clear();
    requiredPosition_.reset();
}

void LogHolders::onPrimaryChanged()
{
    requiredPosition_.reset();
}

std::vector<LogHolder> LogHolders::all() const
{
    std::vector<LogHolder> holders = listed_;
    holders.insert(holders.end(), unlisted_.begin(), unlisted_.end());
    std::sort(holders.begin(), holders.end(),
              [](const LogHolder &a, const LogHolder &b) { return a.server < b.server; });
    return holders;
}

} // namespace kelptally::decision
