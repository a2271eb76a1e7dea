#include "decision/logholders.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

const LogHolder *find(const std::vector<LogHolder> &holders, const ServerName &server)
{
    const auto found = std::find_if(holders.begin(), holders.end(), [&](const LogHolder &holder) {
        return holder.server == server;
    });
    return found == holders.end() ? nullptr : &*found;
}

template <typename Predicate>
void removeIf(std::vector<LogHolder> &holders, Predicate predicate)
{
    holders.erase(std::remove_if(holders.begin(), holders.end(), predicate), holders.end());
}

} // namespace

bool operator==(const LogHolder &a, const LogHolder &b)
{
    return a.server == b.server && a.endpoint == b.endpoint && a.held == b.held;
}

void LogHolders::begin(const std::vector<LogHolder> &named, Instant now)
{
    heldSince_.reset();
    vanishedAt_ = now;
    vanished_ = named;
    dropListed();
    for (const LogHolder &holder : named)
        if (find(listed_, holder.server) != nullptr)
            held_[holder.server] = std::max(held_[holder.server], holder.held);
}

void LogHolders::onListed(const std::vector<LogHolder> &listed, Instant now)
{
    for (const LogHolder &holder : listed_) {
        if (find(listed, holder.server) != nullptr)
            continue;
        vanished_.push_back({holder.server, holder.endpoint, held_[holder.server]});
        held_.erase(holder.server);
        vanishedAt_ = now;
        heldSince_.reset();
    }
    listed_ = listed;
    dropListed();
}

void LogHolders::dropListed()
{
    removeIf(vanished_,
             [this](const LogHolder &holder) { return find(listed_, holder.server) != nullptr; });
}

void LogHolders::onHeld(const ServerName &server, Position position)
{
    const LogHolder *listed = find(listed_, server);
    if (listed == nullptr)
        return;
    Position &held = held_[server];
    held = std::max(held, position);
    removeIf(vanished_, [&](const LogHolder &holder) {
        const bool isKnown = holder.held != Position();
        return isKnown && holder.endpoint == listed->endpoint && holder.held <= position;
    });
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
    for (LogHolder &holder : holders) {
        const auto held = held_.find(holder.server);
        holder.held = held == held_.end() ? Position() : held->second;
    }
    holders.insert(holders.end(), vanished_.begin(), vanished_.end());
    std::sort(holders.begin(), holders.end(),
              [](const LogHolder &a, const LogHolder &b) { return a.server < b.server; });
    return holders;
}

bool LogHolders::areNamedIn(const std::vector<LogHolder> &named) const
{
    const std::vector<LogHolder> holders = all();
    return std::equal(holders.begin(), holders.end(), named.begin(), named.end(),
                      [](const LogHolder &a, const LogHolder &b) {
                          const bool isSame = a.server == b.server && a.endpoint == b.endpoint;
                          return isSame && (!a.missing || a.held <= b.held);
                      });
}

} // namespace kelptally::decision
