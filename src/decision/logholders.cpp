#include "decision/logholders.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// An owner tells the row of servers within a second or so of hearing of them. One that vanished
// longer ago than this, and that the row does not name, was seen not to be needed.
constexpr Duration untilTold = std::chrono::seconds(15);

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
    if (now - vanishedAt_ > untilTold)
        vanished_.clear();
    for (const LogHolder &holder : named)
        if (!contains(vanished_, holder.server))
            vanished_.push_back(holder);
    dropListed();
    heldSince_.reset();
    vanishedAt_ = now;
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
    dropListed();
}

void LogHolders::dropListed()
{
    const auto isListed = [this](const LogHolder &holder) {
        return contains(listed_, holder.server);
    };
    vanished_.erase(std::remove_if(vanished_.begin(), vanished_.end(), isListed), vanished_.end());
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
