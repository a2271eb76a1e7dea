#include "host/tablenews.h"

#include <algorithm>

// What a teller does for those that listen to it.
namespace kelptally::host {

namespace {

// Rows of more bytes are told in parts of about this size, each once its listener has had the one
// before, or read by a listener that takes no parts: on links of 20 Mbit/s 50 listeners get 32 KB
// within 0.7 s.
constexpr std::size_t partBytes = 32u << 10;
// Of a table that a listener reads for the first time.
constexpr std::size_t largestFirstRow = 512u << 10;
// Where bytes cross zones a call for reading is dearer than this, and cheaper than more.
constexpr std::size_t mostToldFar = 16u << 10;
// More than this goes out spread over time.
constexpr std::size_t much = 2u << 10;

} // namespace

void TableNews::onFollow(inner::LinkId link, const inner::FollowTables &follow)
{
    if (follow.tables.empty()) {
        listeners_.erase(link);
        return;
    }
    Listener &listener = listeners_[link];
    if (!follow.continues)
        listener.told.clear();
    listener.withRows = follow.withRows;
    listener.takesParts = follow.takesParts;
    for (const inner::FollowedTable &followed : follow.tables) {
        listener.told[followed.table] = followed.after;
        if (!tellsSoon(followed.table))
            refuseAll(link, followed.table);
        tell(link, followed.table);
    }
    considerAll();
}

// It is known here, or being read.
bool TableNews::tellsSoon(const std::string &table) const
{
    const auto known = tables_.find(table);
    return (known != tables_.end() && known->second.known) || reading_.count(table) != 0;
}

// Whoever waits for the whole table reads it.
void TableNews::refuseAll(inner::LinkId link, const std::string &table)
{
    inner::TableNews news;
    news.table = table;
    news.leftOut = true;
    static_cast<void>(parts_.links.sendOn(link, std::move(news)));
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
    for (auto change = firstAfter(table, oldest); change != table.history.end(); ++change)
        bytes += sizeOf(*change);
    return bytes;
}

// Much news goes out spread over a part of the time that there is, so that it holds up no
// statement.
void TableNews::tellAll(const Table &table)
{
    const bool isMuch = pendingBytes(table) > much;
    const Duration spread = isMuch ? table.wait / readPart : Duration(0);
    const Instant now = parts_.timers.now();
    std::vector<inner::LinkId> links;
    for (const auto &[link, listener] : listeners_)
        if (listener.told.count(table.name) != 0)
            links.push_back(link);
    for (std::size_t i = 0; i < links.size(); ++i) {
        if (!isMuch) {
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

// A large row goes as its differences from what the listener knows, or else whole; nothing when a
// later change tells all. Known are the versions of large rows that it will have by then.
std::optional<inner::NewsRow> TableNews::rowFor(const Table &table, const Change &change,
                                                const Listener &listener, std::uint64_t after,
                                                std::map<std::string, std::uint64_t> &known)
{
    const services::TableRow &row = change.row.row;
    const std::uint64_t version = versionOf(row);
    inner::NewsRow told {row.key, row.value, version, change.row.removed};
    if (!change.isLarge)
        return told;
    const auto before = known.find(row.key);
    const bool follows =
        before == known.end() ? change.differsFrom <= after : change.differsFrom == before->second;
    const auto newest = table.large.find(row.key);
    const bool isNewest = newest != table.large.end() && newest->second.version == version;
    if (listener.takesParts && change.differsFrom != 0 && follows) {
        told.value = change.difference;
        told.differsFrom = change.differsFrom;
    } else if (isNewest) {
        told.value = newest->second.value;
    } else {
        return std::nullopt;
    }
    known[row.key] = version;
    return told;
}

// A part ends with all rows of one version, as one write changes several. What does not fit into
// one message, a row included, is left out.
void TableNews::fill(inner::TableNews &news, const Table &table, const Listener &listener,
                     bool isNear)
{
    news.leftOut = news.after == 0 ? !table.isWhole : news.after < table.from;
    const std::size_t most = !listener.withRows ? 0 : isNear ? partBytes : mostToldFar;
    const bool inParts = isNear && listener.withRows && listener.takesParts;
    // A change reaches all listeners at once, a first reading one.
    const std::size_t largest = news.after == 0 ? largestFirstRow : partBytes;
    std::map<std::string, std::uint64_t> known;
    std::size_t bytes = 0;
    std::uint64_t last = news.after;
    for (auto change = firstAfter(table, news.after);
         change != table.history.end() && !news.leftOut; ++change) {
        const std::uint64_t version = versionOf(change->row.row);
        if (inParts && bytes > partBytes / 2 && version != last) {
            news.isPart = true;
            news.upTo = last;
            return;
        }
        auto row = rowFor(table, *change, listener, news.after, known);
        last = version;
        if (!row)
            continue;
        bytes += row->key.size() + row->value.size();
        news.leftOut = inParts ? row->value.size() > largest : bytes > most;
        news.rows.push_back(std::move(*row));
    }
    if (news.leftOut)
        news.rows.clear();
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
    fill(news, table, listener->second, parts_.links.isNear(link));
    const std::uint64_t toldUpTo = news.upTo;
    if (parts_.links.sendOn(link, std::move(news)).ok())
        after = std::max(after, toldUpTo);
}

void TableNews::onLinkDown(inner::LinkId link)
{
    if (listeners_.erase(link) != 0)
        considerAll();
}

} // namespace kelptally::host
