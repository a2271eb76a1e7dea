#include "host/tablenews.h"

#include <algorithm>

// What a teller does for those that listen to it.
namespace kelptally::host {

namespace {

// Rows of more bytes are read by each listener itself: on links of 20 Mbit/s 50 listeners get 32 KB
// within 0.7 s. Where bytes cross zones a call for reading is dearer than a small row, and cheaper
// than a large one.
constexpr std::size_t mostToldNear = 32u << 10;
constexpr std::size_t mostToldFar = 2u << 10;

} // namespace

void TableNews::onFollow(inner::LinkId link, const inner::FollowTables &follow)
{
    if (follow.tables.empty()) {
        listeners_.erase(link);
        return;
    }
    Listener &listener = listeners_[link];
    listener.told.clear();
    listener.withRows = follow.withRows;
    listener.takesDifferences = follow.takesDifferences;
    for (const inner::FollowedTable &followed : follow.tables) {
        listener.told[followed.table] = followed.after;
        tell(link, followed.table);
    }
    considerAll();
}

// Of rows that some listener has not been told.
std::size_t TableNews::pendingBytes(const Table &table) const
{
    std::uint64_t oldest = table.upTo;
    for (const auto &[link, listener] : listeners_) {
        const auto told = listener.told.find(table.name);
        if (told != listener.told.end())
            oldest = std::min(oldest, told->second);
    }
    std::size_t bytes = 0;
    for (const Change &change : table.history)
        if (versionOf(change.row.row) > oldest)
            bytes += sizeOf(change);
    return bytes;
}

// Much news goes out spread over a part of the time that there is, so that it holds up no
// statement.
void TableNews::tellAll(const Table &table)
{
    const bool much = pendingBytes(table) > mostToldFar;
    const Duration spread = much ? table.wait / readPart : Duration(0);
    const Instant now = parts_.timers.now();
    std::vector<inner::LinkId> links;
    for (const auto &[link, listener] : listeners_)
        if (listener.told.count(table.name) != 0)
            links.push_back(link);
    for (std::size_t i = 0; i < links.size(); ++i) {
        if (!much) {
            tell(links[i], table.name);
            continue;
        }
        const Duration delay =
            spread * static_cast<Duration::rep>(i) / static_cast<Duration::rep>(links.size());
        parts_.timers.subscribeAt(now + delay,
                                  [this, alive = alive_, link = links[i], name = table.name] {
                                      if (*alive)
                                          tell(link, name);
                                  });
    }
}

// A large row goes as its differences from what the listener knows, or else whole.
std::vector<inner::NewsRow> TableNews::newsFor(const Table &table, const Listener &listener,
                                               std::uint64_t after) const
{
    std::vector<inner::NewsRow> rows;
    // Versions of large rows that the listener will know.
    std::map<std::string, std::uint64_t> known;
    for (const Change &change : table.history) {
        const services::TableRow &row = change.row.row;
        const std::uint64_t version = versionOf(row);
        if (version <= after)
            continue;
        inner::NewsRow told {row.key, row.value, version, change.row.removed};
        if (change.isLarge) {
            const auto before = known.find(row.key);
            const bool follows = before == known.end() ? change.differsFrom <= after
                                                       : change.differsFrom == before->second;
            const auto newest = table.large.find(row.key);
            const bool isNewest = newest != table.large.end() && newest->second.version == version;
            if (listener.takesDifferences && change.differsFrom != 0 && follows) {
                told.value = change.difference;
                told.differsFrom = change.differsFrom;
            } else if (isNewest) {
                told.value = newest->second.value;
            } else {
                continue;
            }
            known[row.key] = version;
        }
        rows.push_back(std::move(told));
    }
    return rows;
}

void TableNews::tell(inner::LinkId link, const std::string &name)
{
    const auto listener = listeners_.find(link);
    const auto known = tables_.find(name);
    if (listener == listeners_.end() || known == tables_.end() || !known->second.known
        || !known->second.serviceTime)
        return;
    const Table &table = known->second;
    std::uint64_t &after = listener->second.told[name];
    inner::TableNews news;
    news.table = table.name;
    news.after = after;
    news.upTo = table.upTo;
    news.serviceTime = *table.serviceTime;
    news.leftOut = after < table.from;
    if (!news.leftOut)
        news.rows = newsFor(table, listener->second, after);
    std::size_t bytes = 0;
    for (const inner::NewsRow &row : news.rows)
        bytes += row.key.size() + row.value.size();
    const std::size_t most = !listener->second.withRows ? 0
        : parts_.links.isNear(link)                     ? mostToldNear
                                                        : mostToldFar;
    if (bytes > most) {
        news.rows.clear();
        news.leftOut = true;
    }
    if (parts_.links.sendOn(link, std::move(news)).ok())
        after = std::max(after, table.upTo);
}

void TableNews::onLinkDown(inner::LinkId link)
{
    if (listeners_.erase(link) != 0)
        considerAll();
}

} // namespace kelptally::host
