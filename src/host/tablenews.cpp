#include "host/tablenews.h"

#include "services/textdifference.h"

#include <prometheus/counter.h>

#include <algorithm>
#include <utility>

namespace kelptally::host {

namespace {

// Each host listens to so many: one may die without anybody asking the service.
constexpr std::size_t tellersEach = 2;
// Rows that are gone are kept for listeners that are behind; those further behind read the table.
constexpr std::size_t maxRemoved = 256;
// The history is gone through once it has grown by so much, at least to twice its length.
constexpr std::size_t compactAfter = 256;
// Of a large row, for listeners that know one of its last versions.
constexpr int keptDifferences = 8;
// A host that finds no teller looks once more before it follows the tables itself.
constexpr int mostLooks = 2;
// The service's clock went back by more than answers overtake each other: it is another one.
constexpr Duration anotherClock = std::chrono::seconds(30);
// A teller that told nothing is not listened to for so long.
constexpr Duration avoidTime = std::chrono::seconds(15);

// A host without room waits so long for the first look at the owners, and for each part of a table.
constexpr Duration longestUntilTeller = std::chrono::seconds(7);
constexpr Duration longestSilence = std::chrono::milliseconds(1200);
// Rows of fewer bytes are told whole: a difference would save little.
constexpr std::size_t leastLarge = 2u << 10;

services::RowChange toChange(const inner::NewsRow &row, Duration serviceTime)
{
    services::RowChange change;
    change.row.key = row.key;
    change.row.value = row.value;
    change.row.etag = std::to_string(row.version);
    change.row.serviceTime = serviceTime;
    change.removed = row.removed;
    return change;
}

} // namespace

std::uint64_t TableNews::versionOf(const services::TableRow &row)
{
    return std::strtoull(row.etag.c_str(), nullptr, 10);
}

std::size_t TableNews::sizeOf(const Change &change)
{
    return change.row.row.key.size() + change.row.row.value.size() + change.difference.size();
}

bool TableNews::isLarge(const services::TableRow &row)
{
    return row.value.size() >= leastLarge;
}

TableNews::TableNews(const Parts &parts)
    : parts_(parts), firstDraw_(parts.draw()), began_(parts.timers.now())
{ }

TableNews::~TableNews()
{
    *alive_ = false;
}

// What the follower of a table asks

// Hosts with room for groups, and tellers, read from the service; the others wait for a teller.
void TableNews::snapshot(const std::string &table, services::SnapshotCallback callback)
{
    if (parts_.hasRoom || table == parts_.leadingTable || isTeller())
        return readAll(table, std::move(callback));
    awaited_[table].callback = std::move(callback);
    await(table, tellers_.empty() ? longestUntilTeller : longestSilence);
    for (const auto &[address, heard] : tellers_)
        askForAll(address);
}

void TableNews::readAll(const std::string &table, services::SnapshotCallback callback)
{
    reading_.insert(table);
    parts_.store.snapshot(table,
                          [this, alive = alive_, table, callback = std::move(callback)](
                              absl::StatusOr<services::TableSnapshot> snapshot) {
                              if (!*alive)
                                  return;
                              reading_.erase(table);
                              if (snapshot.ok())
                                  onSnapshot(table, *snapshot);
                              callback(std::move(snapshot));
                          });
}

void TableNews::onSnapshot(const std::string &table, const services::TableSnapshot &snapshot)
{
    Table &known = tables_[table];
    keep(known, snapshot);
    prove(known, snapshot.serviceTime);
    for (const auto &[link, listener] : listeners_)
        if (listener.told.count(table) != 0)
            parts_.timers.subscribeAt(parts_.timers.now(),
                                      [this, alive = alive_, link = link, table] {
                                          if (*alive)
                                              tell(link, table);
                                      });
}

// Waiting for a teller

void TableNews::await(const std::string &table, Duration limit)
{
    Awaited &awaited = awaited_[table];
    parts_.timers.cancel(awaited.timer);
    awaited.timer = parts_.timers.subscribeAfter(limit, [this, alive = alive_, table] {
        if (*alive)
            stopAwaiting(table, "no_teller_in_time");
    });
}

bool TableNews::isFirstTeller(const std::string &address) const
{
    const auto teller = tellers_.find(address);
    return teller != tellers_.end() && teller->second.isFirst;
}

// One table after the other; they come in parts.
void TableNews::askForAll(const std::string &address)
{
    if (!isFirstTeller(address))
        return;
    for (auto &[table, awaited] : awaited_) {
        await(table, longestSilence);
        askNext(address, table, awaited.upTo);
    }
}

void TableNews::askNext(const std::string &address, const std::string &table, std::uint64_t after)
{
    inner::FollowTables next;
    next.tables.push_back({table, after});
    next.withRows = isFirstTeller(address);
    next.takesParts = true;
    next.continues = true;
    static_cast<void>(parts_.links.sendTo(address, std::move(next)));
}

void TableNews::onAwaited(const std::string &from, const inner::TableNews &news)
{
    Awaited &awaited = awaited_.at(news.table);
    // The answer to an earlier question.
    if (!isFirstTeller(from) || news.after != awaited.upTo)
        return;
    if (news.leftOut)
        return stopAwaiting(news.table, "left_out");
    for (const inner::NewsRow &row : news.rows) {
        if (row.differsFrom != 0)
            return stopAwaiting(news.table, "difference");
        if (row.removed)
            awaited.rows.erase(row.key);
        else
            awaited.rows[row.key] = toChange(row, news.serviceTime).row;
    }
    awaited.upTo = news.upTo;
    if (news.isPart) {
        await(news.table, longestSilence);
        return askNext(from, news.table, news.upTo);
    }
    services::TableSnapshot snapshot;
    for (auto &[key, row] : awaited.rows)
        snapshot.rows.push_back(std::move(row));
    snapshot.next = news.upTo;
    snapshot.serviceTime = news.serviceTime;
    parts_.timers.cancel(awaited.timer);
    const services::SnapshotCallback callback = std::move(awaited.callback);
    awaited_.erase(news.table);
    parts_.log.info("table_told")
        .with("table", news.table)
        .with("rows", std::uint64_t(snapshot.rows.size()))
        .with("teller", from);
    onSnapshot(news.table, snapshot);
    callback(std::move(snapshot));
}

void TableNews::stopAwaitingAll()
{
    std::vector<std::string> tables;
    for (const auto &[table, awaited] : awaited_)
        tables.push_back(table);
    for (const std::string &table : tables)
        stopAwaiting(table, "no_teller");
}

void TableNews::stopAwaiting(const std::string &table, const char *why)
{
    const auto found = awaited_.find(table);
    if (found == awaited_.end())
        return;
    parts_.timers.cancel(found->second.timer);
    services::SnapshotCallback callback = std::move(found->second.callback);
    awaited_.erase(found);
    parts_.log.info("table_read", why).with("table", table);
    readAll(table, std::move(callback));
}

// All rows, for listeners that know nothing yet.
void TableNews::keep(Table &table, const services::TableSnapshot &snapshot)
{
    table.known = true;
    table.isWhole = true;
    table.from = 0;
    table.upTo = snapshot.next;
    table.mustRead = false;
    table.history.clear();
    table.large.clear();
    for (const services::TableRow &row : snapshot.rows) {
        Change change;
        change.row.row = row;
        change.isLarge = isLarge(row);
        if (change.isLarge)
            table.large[row.key] = {versionOf(row),
                                    std::exchange(change.row.row.value, std::string())};
        table.history.push_back(std::move(change));
    }
    std::sort(table.history.begin(), table.history.end(), [](const Change &a, const Change &b) {
        return versionOf(a.row.row) < versionOf(b.row.row);
    });
    table.compacted = table.history.size();
}

void TableNews::changes(const std::string &table, std::uint64_t after, Duration wait,
                        services::ChangesCallback callback)
{
    const bool isNew = tables_.count(table) == 0 || tables_[table].name.empty();
    Table &known = tables_[table];
    known.name = table;
    known.isOpen = true;
    known.after = after;
    known.wait = wait;
    known.callback = std::move(callback);
    if (!known.known || after < known.from || after > known.upTo) {
        known.known = true;
        known.from = known.upTo = after;
        known.history.clear();
        known.isWhole = false;
        known.compacted = 0;
    }
    if (isNew) {
        known.draw = parts_.draw();
        for (const auto &[address, heard] : tellers_)
            follow(address);
    }
    if (known.upTo == after)
        return consider(known);
    parts_.timers.subscribeAt(parts_.timers.now(), [this, alive = alive_, table] {
        if (*alive)
            deliver(tables_[table]);
    });
}

// Whether to ask the service

Instant TableNews::dueAt(const Table &table) const
{
    if (table.mustRead)
        return table.readAt;
    const Instant tooOld = table.provenAt + decision::proofLimit(table.wait, table.draw);
    if (!tellers_.empty())
        return tooOld;
    if (hasLooked_)
        return Instant::min();
    // Nobody is known yet. The leading table is asked first, as it may name somebody.
    if (table.name != parts_.leadingTable)
        return tooOld;
    Duration shortest = table.wait;
    for (const auto &[name, other] : tables_)
        shortest = std::min(shortest, other.wait);
    return std::max(began_, lookedAt_) + decision::firstAsk(shortest, firstDraw_, parts_.hasRoom);
}

void TableNews::consider(Table &table)
{
    parts_.timers.cancel(table.timer);
    if (!table.isOpen)
        return;
    const Instant now = parts_.timers.now();
    // 1. A teller asks all the time, in short questions.
    if (isTeller()) {
        const Duration wait = decision::tellerWait(table.wait);
        if (table.asked == 0 || table.askedWait > wait)
            ask(table, wait, "teller");
        return;
    }
    // 2. Anybody else when something is missing.
    if (table.asked != 0 && !(table.mustRead && table.askedWait > Duration(0)))
        return;
    const Instant due = dueAt(table);
    if (now < due) {
        table.timer = parts_.timers.subscribeAt(due, [this, alive = alive_, name = table.name] {
            if (*alive)
                consider(tables_[name]);
        });
        return;
    }
    if (table.mustRead)
        return ask(table, Duration(0), "left_out");
    if (tellers_.empty()) {
        if (hasLooked_ || table.name != parts_.leadingTable)
            return ask(table, table.wait, "no_teller");
        ++looks_;
        lookedAt_ = now;
        return ask(table, Duration(0), "first");
    }
    ask(table, table.wait, "old");
    avoidSilentTellers(decision::proofLimit(table.wait, 0));
}

void TableNews::considerAll()
{
    for (auto &[name, table] : tables_)
        consider(table);
}

void TableNews::ask(Table &table, Duration wait, const char *why)
{
    parts_.metrics
        .counter("kelptally_table_questions_total",
                 "Questions for changes to the table service, by why this host asks itself",
                 {{"reason", why}})
        .Increment();
    const bool usual = isTeller();
    parts_.log.line(usual ? LogLevel::Debug : LogLevel::Info, "table_asked", why)
        .with("table", table.name)
        .with("after", table.upTo)
        .with("age_ms", parts_.timers.now() - table.provenAt);
    const std::uint64_t question = ++lastQuestion_;
    table.asked = question;
    table.askedWait = wait;
    table.mustRead = false;
    parts_.store.changes(table.name, table.upTo, wait,
                         [this, alive = alive_, name = table.name,
                          question](absl::StatusOr<services::TableChanges> answer) {
                             if (*alive)
                                 onAnswer(tables_[name], question, answer);
                         });
}

void TableNews::onAnswer(Table &table, std::uint64_t question,
                         const absl::StatusOr<services::TableChanges> &answer)
{
    if (table.asked == question)
        table.asked = 0;
    if (!answer.ok()) {
        // The follower reads the whole table, or asks again.
        table.known = false;
        if (!table.isOpen)
            return;
        table.isOpen = false;
        const auto callback = std::move(table.callback);
        table.callback = nullptr;
        return callback(answer.status());
    }
    std::vector<Change> changes;
    for (const services::RowChange &row : answer->changes)
        changes.push_back(changeOf(table, row));
    merge(table, std::move(changes), answer->next);
    prove(table, answer->serviceTime);
    tellAll(table);
    deliver(table);
    // Tellers that the leading table has named are chosen before anything else is asked for.
    const bool isLeading = table.name == parts_.leadingTable;
    parts_.timers.subscribeAt(parts_.timers.now(), [this, alive = alive_, isLeading] {
        if (!*alive)
            return;
        hasLooked_ = hasLooked_ || (isLeading && looks_ >= mostLooks);
        // Nobody owns a group yet, or none that could tell.
        if (isLeading && tellers_.empty())
            stopAwaitingAll();
        considerAll();
    });
}

// What is known

// As the service has told it. Only who tells others needs the difference.
TableNews::Change TableNews::changeOf(const Table &table, const services::RowChange &row) const
{
    Change change;
    change.row = row;
    change.isLarge = !row.removed && isLarge(row.row);
    const auto before = table.large.find(row.row.key);
    if (!change.isLarge || before == table.large.end() || !isTeller())
        return change;
    std::string difference = services::differenceOf(before->second.value, row.row.value);
    if (difference.size() > row.row.value.size() / 2)
        return change;
    change.differsFrom = before->second.version;
    change.difference = std::move(difference);
    return change;
}

// Rows that are known already are left out; those that are new follow without a gap.
void TableNews::merge(Table &table, std::vector<Change> changes, std::uint64_t upTo)
{
    for (Change &change : changes) {
        services::TableRow &row = change.row.row;
        if (versionOf(row) <= table.upTo)
            continue;
        if (change.isLarge)
            table.large[row.key] = {versionOf(row), std::exchange(row.value, std::string())};
        else
            table.large.erase(row.key);
        table.history.push_back(std::move(change));
    }
    table.upTo = std::max(table.upTo, upTo);
    table.mustRead = table.mustRead && table.upTo < table.readUpTo;
    if (table.history.size() > 2 * table.compacted + compactAfter)
        compact(table);
}

// Takes out what a later change of the same row has superseded, so that the history is as long as
// the table and not as its past. Large rows keep a chain of differences while it is short.
void TableNews::compact(Table &table)
{
    std::set<std::string> seen;
    std::map<std::string, int> differences;
    std::deque<Change> kept;
    std::size_t removed = 0;
    for (auto change = table.history.rbegin(); change != table.history.rend(); ++change) {
        const std::string &key = change->row.row.key;
        const bool isNewest = seen.insert(key).second;
        const bool links = change->isLarge && ++differences[key] <= keptDifferences;
        if (!isNewest && !links)
            continue;
        if (change->row.removed && ++removed > maxRemoved) {
            table.from = std::max(table.from, versionOf(change->row.row));
            continue;
        }
        kept.push_front(std::move(*change));
    }
    table.history.swap(kept);
    table.compacted = table.history.size();
}

std::deque<TableNews::Change>::const_iterator TableNews::firstAfter(const Table &table,
                                                                    std::uint64_t version)
{
    return std::upper_bound(table.history.begin(), table.history.end(), version,
                            [](std::uint64_t after, const Change &change) {
                                return after < versionOf(change.row.row);
                            });
}

// The service's clock runs as this host's does, and the fastest news so far bound how far apart
// they are.
void TableNews::prove(Table &table, std::optional<Duration> serviceTime)
{
    const Instant now = parts_.timers.now();
    if (!serviceTime) {
        table.provenAt = now;
        return;
    }
    const bool isBack = table.serviceTime && *serviceTime < *table.serviceTime - anotherClock;
    if (!isBack && table.serviceTime && *serviceTime < *table.serviceTime)
        return;
    const Duration offset = now.time_since_epoch() - *serviceTime;
    clockOffset_ = clockOffset_ && !isBack ? std::min(*clockOffset_, offset) : offset;
    table.serviceTime = serviceTime;
    table.provenAt = std::min(now, Instant(*serviceTime + *clockOffset_));
}

// Of a large row only the newest value is there, and no other is needed.
std::vector<services::RowChange> TableNews::changesAfter(const Table &table,
                                                         std::uint64_t version) const
{
    std::vector<services::RowChange> changes;
    for (auto change = firstAfter(table, version); change != table.history.end(); ++change) {
        const services::TableRow &row = change->row.row;
        const auto large = table.large.find(row.key);
        const bool isNewest = large != table.large.end() && large->second.version == versionOf(row);
        if (change->isLarge && !isNewest)
            continue;
        changes.push_back(change->row);
        if (change->isLarge)
            changes.back().row.value = large->second.value;
    }
    return changes;
}

// An answer without rows is one, too: it tells the follower how old its knowledge is.
void TableNews::deliver(Table &table)
{
    if (!table.isOpen)
        return;
    table.isOpen = false;
    const auto callback = std::move(table.callback);
    table.callback = nullptr;
    services::TableChanges changes;
    changes.changes = changesAfter(table, table.after);
    changes.next = table.upTo;
    changes.serviceTime = table.serviceTime;
    callback(std::move(changes));
}

// Listening

void TableNews::onNews(const std::string &from, const inner::TableNews &news)
{
    if (awaited_.count(news.table) != 0)
        return onAwaited(from, news);
    const auto found = tables_.find(news.table);
    const auto teller = tellers_.find(from);
    if (found == tables_.end() || teller == tellers_.end())
        return;
    Table &table = found->second;
    // Told late, or by a host that has heard nothing since.
    if (table.serviceTime && news.serviceTime < *table.serviceTime)
        return;
    if (!table.serviceTime || *table.serviceTime < news.serviceTime)
        teller->second.at = parts_.timers.now();
    const bool hasGap = news.leftOut || news.after > table.upTo;
    if (hasGap && news.upTo > table.upTo) {
        table.readUpTo = news.upTo;
        return readSoon(table);
    }
    auto changes = changesOf(table, news);
    if (!changes) {
        table.readUpTo = news.upTo;
        return readSoon(table);
    }
    merge(table, *std::move(changes), news.upTo);
    if (!news.isPart)
        prove(table, news.serviceTime);
    deliver(table);
    if (!news.isPart)
        return;
    askNext(from, table.name, table.upTo);
}

// Nothing when a row is told as a difference from a value that is not known here.
std::optional<std::vector<TableNews::Change>>
TableNews::changesOf(const Table &table, const inner::TableNews &news) const
{
    std::map<std::string, LargeRow> large;
    std::vector<Change> changes;
    for (const inner::NewsRow &row : news.rows) {
        if (row.version <= table.upTo)
            continue;
        Change change;
        change.row = toChange(row, news.serviceTime);
        if (row.differsFrom != 0) {
            const auto known = table.large.find(row.key);
            if (large.count(row.key) == 0 && known != table.large.end())
                large[row.key] = known->second;
            const LargeRow &before = large[row.key];
            auto value = services::applyDifference(before.value, row.value);
            if (before.version != row.differsFrom || !value.ok()) {
                parts_.log.info("table_difference_unusable")
                    .with("table", table.name)
                    .with("key", row.key)
                    .with("from", row.differsFrom)
                    .with("known", before.version);
                return std::nullopt;
            }
            change.difference = row.value;
            change.differsFrom = row.differsFrom;
            change.row.row.value = *std::move(value);
        }
        change.isLarge = !row.removed && isLarge(change.row.row);
        large[row.key] = {row.version, change.isLarge ? change.row.row.value : std::string()};
        changes.push_back(std::move(change));
    }
    return changes;
}

void TableNews::readSoon(Table &table)
{
    // The teller that tells rows gets a moment, too.
    const Duration spread = table.wait / readPart;
    if (!table.mustRead)
        table.readAt = parts_.timers.now() + spread
            + std::chrono::duration_cast<Duration>(spread * parts_.draw());
    table.mustRead = true;
    consider(table);
}

void TableNews::onLinkUp(const std::string &address)
{
    if (tellers_.count(address) == 0)
        return;
    follow(address);
    askForAll(address);
}

void TableNews::follow(const std::string &address)
{
    inner::FollowTables message;
    message.withRows = tellers_.at(address).isFirst;
    message.takesParts = true;
    for (const auto &[name, table] : tables_)
        if (!table.name.empty())
            message.tables.push_back({name, table.upTo});
    if (!message.tables.empty())
        static_cast<void>(parts_.links.sendTo(address, std::move(message)));
}

void TableNews::setCandidates(const decision::TellerOrder &candidates)
{
    candidates_ = &candidates;
    chooseTellers();
}

void TableNews::chooseTellers()
{
    const Instant now = parts_.timers.now();
    if (candidates_ == nullptr)
        return;
    std::set<std::string> avoided;
    for (const auto &[address, until] : avoided_)
        if (until > now)
            avoided.insert(address);
    const std::vector<std::string> chosen = candidates_->choose(parts_.zone, tellersEach, avoided);
    selfChosen_ = std::find(chosen.begin(), chosen.end(), parts_.self) != chosen.end();
    std::map<std::string, Heard> tellers;
    if (!selfChosen_)
        for (const std::string &address : chosen)
            tellers.emplace(address, Heard {now, address == chosen.front()});
    std::map<std::string, Heard> before;
    before.swap(tellers_);
    for (auto &[address, heard] : tellers) {
        const auto old = before.find(address);
        const bool isNew = old == before.end();
        const bool changed = isNew || old->second.isFirst != heard.isFirst;
        if (!isNew)
            heard.at = old->second.at;
        tellers_.emplace(address, heard);
        if (isNew) {
            parts_.log.info("teller_chosen").with("teller", address);
            parts_.links.connect(address);
        }
        if (changed)
            follow(address);
    }
    for (const auto &[address, heard] : before) {
        if (tellers_.count(address) != 0)
            continue;
        parts_.log.info("teller_left").with("teller", address);
        static_cast<void>(parts_.links.sendTo(address, inner::FollowTables()));
        parts_.links.drop(address);
    }
    considerAll();
}

// One that is dead, cut off or without the service tells nothing; the next in order takes its
// place.
void TableNews::avoidSilentTellers(Duration limit)
{
    const Instant now = parts_.timers.now();
    bool changed = false;
    for (const auto &[address, heard] : tellers_) {
        if (now - heard.at < limit)
            continue;
        avoided_[address] = now + avoidTime;
        changed = true;
    }
    if (changed)
        chooseTellers();
}

} // namespace kelptally::host
