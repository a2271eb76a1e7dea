#include "host/tablerelay.h"

#include "services/textdifference.h"

#include <prometheus/counter.h>

#include <algorithm>
#include <utility>

namespace kelptally::host {

namespace {

// With two relays per host the loss of one doesn't make its subscribers poll the service.
constexpr std::size_t relaysPerHost = 2;
// Removed rows kept for subscribers that lag; those further behind read from the service.
constexpr std::size_t maxTombstones = 256;
// The history is compacted when it exceeds twice its last compacted length by this many changes.
constexpr std::size_t compactionGrowth = 256;
// Changes of one large row that are kept with their differences.
constexpr int maxDifferencesPerRow = 8;
// Polls of the candidate table before a host without relays follows all tables itself.
constexpr int maxDiscoveryPolls = 2;
// A step back of the service's clock beyond this is a clock reset, not a reordered answer.
constexpr Duration clockResetThreshold = std::chrono::seconds(30);
// How long a silent relay is excluded from the choice.
constexpr Duration relayAvoidTime = std::chrono::seconds(15);

// Limits of the wait for a snapshot from a relay: until a relay is known, and for each part.
constexpr Duration maxRelayDiscoveryTime = std::chrono::seconds(7);
constexpr Duration maxRelaySilence = std::chrono::milliseconds(1200);
constexpr char changesTooLarge[] = "the changes are larger than the table";
// Smaller rows are always sent whole.
constexpr std::size_t minLargeRowBytes = 2u << 10;

services::RowChange toChange(const inner::TableUpdateRow &row, Duration serviceTime,
                             Instant receivedAt)
{
    services::RowChange change;
    change.row.key = row.key;
    change.row.value = row.value;
    change.row.etag = std::to_string(row.version);
    change.row.serviceTime = serviceTime;
    change.row.receivedAt = receivedAt;
    change.removed = row.removed;
    return change;
}

} // namespace

std::uint64_t TableRelay::versionOf(const services::TableRow &row)
{
    return std::strtoull(row.etag.c_str(), nullptr, 10);
}

std::size_t TableRelay::sizeOf(const Change &change)
{
    return change.row.row.key.size() + change.row.row.value.size() + change.difference.size();
}

std::size_t TableRelay::sizeOf(const Table &table)
{
    std::size_t bytes = 0;
    for (const Change &change : table.history)
        bytes += change.row.row.key.size() + change.row.row.value.size();
    for (const auto &[key, row] : table.largeRows)
        bytes += row.value.size();
    return bytes;
}

bool TableRelay::isLarge(const services::TableRow &row)
{
    return row.value.size() >= minLargeRowBytes;
}

TableRelay::TableRelay(const Parts &parts)
    : parts_(parts), discoveryDraw_(parts.draw()), startedAt_(parts.timers.now())
{ }

TableRelay::~TableRelay()
{
    *alive_ = false;
}

// Requests of the local follower

// Relays and hosts that can own groups read from the service; the others wait for a relay.
void TableRelay::snapshot(const std::string &table, services::SnapshotCallback callback)
{
    const auto known = tables_.find(table);
    const bool isServiceAnswering = known != tables_.end() && known->second.needsSnapshot;
    const Duration maxWait = maxSnapshotWait(table);
    if (parts_.hasCapacity || table == parts_.candidateTable || isRelay() || isServiceAnswering
        || maxWait <= Duration(0))
        return readSnapshot(table, std::move(callback));
    pendingSnapshots_[table].callback = std::move(callback);
    startSnapshotTimer(table, maxWait);
    for (const auto &[address, state] : relays_)
        requestSnapshots(address);
}

// How long a relay is awaited. A table that was followed before, whose history the service has
// discarded, is outdated meanwhile.
Duration TableRelay::maxSnapshotWait(const std::string &table) const
{
    const auto known = tables_.find(table);
    const bool wasFollowed = known != tables_.end() && !known->second.name.empty();
    if (!wasFollowed)
        return relays_.empty() ? maxRelayDiscoveryTime : maxRelaySilence;
    if (relays_.empty())
        return Duration(0);
    return std::min(maxRelaySilence, confirmationLimit(known->second) - parts_.timers.now());
}

void TableRelay::readSnapshot(const std::string &table, services::SnapshotCallback callback)
{
    readingTables_.insert(table);
    parts_.store.snapshot(table,
                          [this, alive = alive_, table, callback = std::move(callback)](
                              absl::StatusOr<services::TableSnapshot> snapshot) {
                              if (!*alive)
                                  return;
                              readingTables_.erase(table);
                              if (snapshot.ok())
                                  onSnapshot(table, *snapshot);
                              callback(std::move(snapshot));
                          });
}

void TableRelay::onSnapshot(const std::string &table, const services::TableSnapshot &snapshot)
{
    Table &known = tables_[table];
    resetHistory(known, snapshot);
    confirm(known, snapshot.serviceTime);
    for (const auto &[link, subscriber] : subscribers_)
        if (subscriber.sentVersions.count(table) != 0)
            parts_.timers.subscribeAt(parts_.timers.now(),
                                      [this, alive = alive_, link = link, table] {
                                          if (*alive)
                                              sendUpdate(link, table);
                                      });
}

// Snapshots from a relay

void TableRelay::startSnapshotTimer(const std::string &table, Duration limit)
{
    PendingSnapshot &pending = pendingSnapshots_[table];
    parts_.timers.cancel(pending.timer);
    pending.timer = parts_.timers.subscribeAfter(limit, [this, alive = alive_, table] {
        if (*alive)
            readPendingFromService(table, "no_teller_in_time");
    });
}

bool TableRelay::isPreferredRelay(const std::string &address) const
{
    const auto relay = relays_.find(address);
    return relay != relays_.end() && relay->second.isPreferred;
}

// Requests the next part of each pending table.
void TableRelay::requestSnapshots(const std::string &address)
{
    if (!isPreferredRelay(address))
        return;
    for (auto &[table, pending] : pendingSnapshots_) {
        startSnapshotTimer(table, maxRelaySilence);
        requestNextPart(address, table, pending.upTo);
    }
}

void TableRelay::requestNextPart(const std::string &address, const std::string &table,
                                 std::uint64_t after)
{
    inner::SubscribeTables next;
    next.tables.push_back({table, after});
    next.withRows = isPreferredRelay(address);
    next.acceptsParts = true;
    next.isContinuation = true;
    static_cast<void>(parts_.links.sendTo(address, std::move(next)));
}

void TableRelay::onSnapshotPart(const std::string &from, const inner::TableUpdate &update)
{
    PendingSnapshot &pending = pendingSnapshots_.at(update.table);
    // Ignores an answer to an earlier request.
    if (!isPreferredRelay(from) || update.after != pending.upTo)
        return;
    if (update.rowsOmitted)
        return readPendingFromService(update.table, "left_out");
    for (const inner::TableUpdateRow &row : update.rows) {
        if (row.baseVersion != 0)
            return readPendingFromService(update.table, "difference");
        if (row.removed)
            pending.rows.erase(row.key);
        else
            pending.rows[row.key] = toChange(row, update.serviceTime, parts_.timers.now()).row;
    }
    pending.upTo = update.upTo;
    if (update.isPartial) {
        startSnapshotTimer(update.table, maxRelaySilence);
        return requestNextPart(from, update.table, update.upTo);
    }
    services::TableSnapshot snapshot;
    for (auto &[key, row] : pending.rows)
        snapshot.rows.push_back(std::move(row));
    snapshot.next = update.upTo;
    snapshot.serviceTime = update.serviceTime;
    parts_.timers.cancel(pending.timer);
    const services::SnapshotCallback callback = std::move(pending.callback);
    pendingSnapshots_.erase(update.table);
    parts_.log.info("table_told")
        .with("table", update.table)
        .with("rows", std::uint64_t(snapshot.rows.size()))
        .with("teller", from);
    onSnapshot(update.table, snapshot);
    callback(std::move(snapshot));
}

void TableRelay::readAllPendingFromService()
{
    std::vector<std::string> tables;
    for (const auto &[table, pending] : pendingSnapshots_)
        tables.push_back(table);
    for (const std::string &table : tables)
        readPendingFromService(table, "no_teller");
}

void TableRelay::readPendingFromService(const std::string &table, const char *why)
{
    const auto found = pendingSnapshots_.find(table);
    if (found == pendingSnapshots_.end())
        return;
    parts_.timers.cancel(found->second.timer);
    services::SnapshotCallback callback = std::move(found->second.callback);
    pendingSnapshots_.erase(found);
    parts_.log.info("table_read", why).with("table", table);
    readSnapshot(table, std::move(callback));
}

// Fills the history with all rows, so that new subscribers can be served from it.
void TableRelay::resetHistory(Table &table, const services::TableSnapshot &snapshot) const
{
    std::deque<Change> history;
    std::map<std::string, LargeRow> largeRows;
    for (const services::TableRow &row : snapshot.rows) {
        Change change = changeOf(table, {row, false});
        if (change.isLarge)
            largeRows[row.key] = {versionOf(row),
                                  std::exchange(change.row.row.value, std::string())};
        history.push_back(std::move(change));
    }
    // Subscribers that know the previous state learn which of its rows are gone.
    for (const std::string &key : missingRows(table, snapshot)) {
        Change change;
        change.row.row.key = key;
        change.row.row.etag = std::to_string(snapshot.next);
        change.row.removed = true;
        history.push_back(std::move(change));
    }
    // Rows that were removed before the previous state are not known, nor are those of a state with
    // only a part of the rows.
    table.from = table.hasAllRows ? table.upTo : table.upTo == 0 ? 0 : snapshot.next;
    table.isKnown = true;
    table.hasAllRows = true;
    table.needsSnapshot = false;
    table.upTo = snapshot.next;
    table.needsPoll = false;
    table.history.swap(history);
    table.largeRows.swap(largeRows);
    std::sort(table.history.begin(), table.history.end(), [](const Change &a, const Change &b) {
        return versionOf(a.row.row) < versionOf(b.row.row);
    });
    table.compactedSize = table.history.size();
}

// Returns the keys of the known rows that are not in the snapshot.
std::set<std::string> TableRelay::missingRows(const Table &table,
                                              const services::TableSnapshot &snapshot)
{
    std::set<std::string> keys;
    for (const Change &change : table.history) {
        if (change.row.removed)
            keys.erase(change.row.row.key);
        else
            keys.insert(change.row.row.key);
    }
    for (const services::TableRow &row : snapshot.rows)
        keys.erase(row.key);
    return keys;
}

void TableRelay::changes(const std::string &table, std::uint64_t after, Duration wait,
                         services::ChangesCallback callback)
{
    const bool isNew = tables_.count(table) == 0 || tables_[table].name.empty();
    Table &known = tables_[table];
    known.name = table;
    known.hasRequest = true;
    known.after = after;
    known.wait = wait;
    known.callback = std::move(callback);
    if (known.needsSnapshot) {
        parts_.timers.subscribeAt(parts_.timers.now(), [this, alive = alive_, table] {
            if (*alive && tables_[table].needsSnapshot)
                failRequest(tables_[table], absl::OutOfRangeError(changesTooLarge));
        });
        return;
    }
    if (!known.isKnown || after < known.from || after > known.upTo) {
        known.isKnown = true;
        known.from = known.upTo = after;
        known.history.clear();
        known.hasAllRows = false;
        known.compactedSize = 0;
    }
    if (isNew) {
        known.draw = parts_.draw();
        for (const auto &[address, state] : relays_)
            subscribeTo(address);
    }
    if (known.upTo == after)
        return pollIfDue(known);
    parts_.timers.subscribeAt(parts_.timers.now(), [this, alive = alive_, table] {
        if (*alive)
            deliver(tables_[table]);
    });
}

// Polls of the service

Instant TableRelay::confirmationLimit(const Table &table)
{
    return table.confirmedAt + decision::maxConfirmationAge(table.wait, table.draw);
}

Instant TableRelay::pollDueAt(const Table &table) const
{
    const Instant limit = confirmationLimit(table);
    // An announced change may be as old as the last confirmation. A poll in flight brings it, too.
    if (table.needsPoll)
        return table.pendingPoll != 0 ? table.pollAt : std::min(table.pollAt, limit);
    // If the service's clock stands still, its answers confirm nothing.
    if (!relays_.empty())
        return std::max(limit, table.polledAt + decision::relayPollWait(table.wait));
    if (discoveryDone_)
        return Instant::min();
    // No relay is known yet: the candidate table is polled first, as it may name one.
    if (table.name != parts_.candidateTable)
        return limit;
    Duration shortest = table.wait;
    for (const auto &[name, other] : tables_)
        shortest = std::min(shortest, other.wait);
    return std::max(startedAt_, lastDiscoveryAt_)
        + decision::relayDiscoveryDelay(shortest, discoveryDraw_, parts_.hasCapacity);
}

std::optional<Duration> TableRelay::confirmationAge(const std::string &table) const
{
    const auto known = tables_.find(table);
    if (known == tables_.end() || known->second.confirmedAt == Instant())
        return std::nullopt;
    return parts_.timers.now() - known->second.confirmedAt;
}

void TableRelay::pollIfDue(Table &table)
{
    parts_.timers.cancel(table.timer);
    if (!table.hasRequest)
        return;
    const Instant now = parts_.timers.now();
    // 1. A relay always has a long poll open.
    if (isRelay()) {
        if (table.pendingPoll == 0)
            startPoll(table, decision::relayPollWait(table.wait), "teller");
        return;
    }
    // 2. Any other host polls when rows are missing or its state is too old. A poll in flight is
    // repeated only if rows were announced since, unless it reads earlier ones or its answer is
    // arriving.
    const bool isReading = table.isReadingRows || table.isAnswerArriving;
    if (table.pendingPoll != 0 && (!table.needsPoll || isReading))
        return;
    const Instant due = pollDueAt(table);
    if (now < due) {
        table.timer = parts_.timers.subscribeAt(due, [this, alive = alive_, name = table.name] {
            if (*alive)
                pollIfDue(tables_[name]);
        });
        return;
    }
    if (table.needsPoll)
        return startPoll(table, Duration(0), "left_out");
    if (relays_.empty()) {
        if (discoveryDone_ || table.name != parts_.candidateTable)
            return startPoll(table, decision::relayPollWait(table.wait), "no_teller");
        ++discoveryPolls_;
        lastDiscoveryAt_ = now;
        return startPoll(table, Duration(0), "first");
    }
    // A long poll would leave no time to notice that its answer is lost.
    startPoll(table, Duration(0), "old");
    replaceSilentRelays(decision::maxConfirmationAge(table.wait, 0));
}

void TableRelay::pollDueTables()
{
    for (auto &[name, table] : tables_)
        pollIfDue(table);
}

void TableRelay::startPoll(Table &table, Duration wait, const char *why)
{
    parts_.metrics
        .counter("kelptally_table_questions_total",
                 "Polls of the table service for changes, by reason", {{"reason", why}})
        .Increment();
    const bool isRoutine = isRelay();
    LogLine line =
        parts_.log.line(isRoutine ? LogLevel::Debug : LogLevel::Info, "table_asked", why);
    line.with("table", table.name)
        .with("after", table.upTo)
        .with("age_ms", parts_.timers.now() - table.confirmedAt)
        .with("held_ms", wait);
    if (table.needsPoll)
        line.with("announced_ms", parts_.timers.now() - table.announcedAt);
    const std::uint64_t poll = ++lastPoll_;
    table.pendingPoll = poll;
    table.isReadingRows = table.needsPoll;
    table.isAnswerArriving = false;
    table.polledAt = parts_.timers.now();
    table.needsPoll = false;
    auto onAnswer = [this, alive = alive_, name = table.name,
                     poll](const absl::StatusOr<services::TableChanges> &answer) {
        if (*alive)
            onPollAnswer(tables_[name], poll, answer);
    };
    auto onProgress = [this, alive = alive_, name = table.name,
                       poll](const services::AnswerProgress &progress) {
        return !*alive || onPollProgress(tables_[name], poll, progress);
    };
    parts_.store.changes(table.name, table.upTo, wait,
                         {std::move(onAnswer), std::move(onProgress)});
}

bool TableRelay::onPollProgress(Table &table, std::uint64_t poll,
                                const services::AnswerProgress &progress)
{
    table.isAnswerArriving = table.isAnswerArriving || table.pendingPoll == poll;
    return acceptsAnswer(table, progress);
}

// Refuses changes that are larger than the table. After an outage each version of a large row is
// among them, and on a slow link more versions may be written than arrive.
bool TableRelay::acceptsAnswer(const Table &table, const services::AnswerProgress &progress)
{
    const std::size_t remaining =
        progress.bodySize - std::min(progress.bodySize, progress.received);
    return !table.hasAllRows || !decision::isLargerThanTable(remaining, sizeOf(table));
}

void TableRelay::failRequest(Table &table, const absl::Status &status)
{
    if (!table.hasRequest)
        return;
    table.hasRequest = false;
    const auto callback = std::move(table.callback);
    table.callback = nullptr;
    callback(status);
}

void TableRelay::onPollAnswer(Table &table, std::uint64_t poll,
                              const absl::StatusOr<services::TableChanges> &answer)
{
    if (table.pendingPoll == poll)
        table.pendingPoll = 0;
    if (!answer.ok()) {
        // The follower reads a new snapshot or repeats its request.
        table.isKnown = false;
        table.needsSnapshot = absl::IsCancelled(answer.status());
        return failRequest(
            table, table.needsSnapshot ? absl::OutOfRangeError(changesTooLarge) : answer.status());
    }
    logAnswer(table, *answer);
    appendChanges(table, changesOf(table, *answer), answer->next);
    confirm(table, answer->serviceTime);
    publish(table);
    deliver(table);
    // Deferred so that relays named by the candidate table are chosen before the next poll.
    const bool isCandidateTable = table.name == parts_.candidateTable;
    parts_.timers.subscribeAt(parts_.timers.now(), [this, alive = alive_, isCandidateTable] {
        if (!*alive)
            return;
        discoveryDone_ =
            discoveryDone_ || (isCandidateTable && discoveryPolls_ >= maxDiscoveryPolls);
        // The candidate table names no usable relay.
        if (isCandidateTable && relays_.empty())
            readAllPendingFromService();
        pollDueTables();
    });
}

// Only answers with large rows are logged above the debug level.
void TableRelay::logAnswer(const Table &table, const services::TableChanges &answer) const
{
    std::size_t bytes = 0;
    for (const services::RowChange &change : answer.changes)
        bytes += change.row.value.size();
    const LogLevel level = bytes >= minLargeRowBytes ? LogLevel::Info : LogLevel::Debug;
    parts_.log.line(level, "table_answered")
        .with("table", table.name)
        .with("after", table.upTo)
        .with("up_to", answer.next)
        .with("rows", std::uint64_t(answer.changes.size()))
        .with("bytes", std::uint64_t(bytes))
        .with("took_ms", parts_.timers.now() - table.polledAt);
}

// History

// Converts a row from the service. Only relays compute the difference.
TableRelay::Change TableRelay::changeOf(const Table &table, const services::RowChange &row) const
{
    Change change;
    change.row = row;
    change.isLarge = !row.removed && isLarge(row.row);
    const auto before = table.largeRows.find(row.row.key);
    if (!change.isLarge || before == table.largeRows.end() || !isRelay())
        return change;
    std::string difference = services::differenceOf(before->second.value, row.row.value);
    if (difference.size() > row.row.value.size() / 2)
        return change;
    change.baseVersion = before->second.version;
    change.difference = std::move(difference);
    return change;
}

// Of several versions of a large row only the last is kept, as a difference from the known one.
std::vector<TableRelay::Change> TableRelay::changesOf(const Table &table,
                                                      const services::TableChanges &answer) const
{
    std::map<std::string, std::string> lastVersions;
    for (const services::RowChange &change : answer.changes)
        lastVersions[change.row.key] = change.row.etag;
    std::vector<Change> changes;
    for (const services::RowChange &change : answer.changes) {
        const bool isLast = lastVersions[change.row.key] == change.row.etag;
        if (isLast || change.removed || !isLarge(change.row))
            changes.push_back(changeOf(table, change));
    }
    return changes;
}

// Appends the changes after table.upTo; they must follow it without a gap.
void TableRelay::appendChanges(Table &table, std::vector<Change> changes, std::uint64_t upTo)
{
    for (Change &change : changes) {
        services::TableRow &row = change.row.row;
        if (versionOf(row) <= table.upTo)
            continue;
        if (change.isLarge)
            table.largeRows[row.key] = {versionOf(row), std::exchange(row.value, std::string())};
        else
            table.largeRows.erase(row.key);
        table.history.push_back(std::move(change));
    }
    table.upTo = std::max(table.upTo, upTo);
    table.needsPoll = table.needsPoll && table.upTo < table.neededVersion;
    if (table.history.size() > 2 * table.compactedSize + compactionGrowth)
        compactHistory(table);
}

// Removes superseded changes, so that the history is bounded by the size of the table. The last
// differences of a large row and the last removed rows are kept.
void TableRelay::compactHistory(Table &table)
{
    std::set<std::string> seen;
    std::map<std::string, int> differences;
    std::deque<Change> kept;
    std::size_t removed = 0;
    for (auto change = table.history.rbegin(); change != table.history.rend(); ++change) {
        const std::string &key = change->row.row.key;
        const bool isNewest = seen.insert(key).second;
        const bool keepsDifference = change->isLarge && ++differences[key] <= maxDifferencesPerRow;
        if (!isNewest && !keepsDifference)
            continue;
        if (change->row.removed && ++removed > maxTombstones) {
            table.from = std::max(table.from, versionOf(change->row.row));
            continue;
        }
        kept.push_front(std::move(*change));
    }
    table.history.swap(kept);
    table.compactedSize = table.history.size();
}

std::deque<TableRelay::Change>::const_iterator TableRelay::firstAfter(const Table &table,
                                                                      std::uint64_t version)
{
    return std::upper_bound(table.history.begin(), table.history.end(), version,
                            [](std::uint64_t after, const Change &change) {
                                return after < versionOf(change.row.row);
                            });
}

// Records that the table is current as of serviceTime. The smallest offset seen between the two
// clocks converts it to local time, so that transit time never makes the state look newer.
void TableRelay::confirm(Table &table, std::optional<Duration> serviceTime)
{
    const Instant now = parts_.timers.now();
    if (!serviceTime) {
        table.confirmedAt = now;
        return;
    }
    const bool isBack =
        table.serviceTime && *serviceTime < *table.serviceTime - clockResetThreshold;
    if (!isBack && table.serviceTime && *serviceTime < *table.serviceTime)
        return;
    const Duration offset = now.time_since_epoch() - *serviceTime;
    clockOffset_ = clockOffset_ && !isBack ? std::min(*clockOffset_, offset) : offset;
    table.serviceTime = serviceTime;
    table.confirmedAt = std::min(now, Instant(*serviceTime + *clockOffset_));
}

// Of a large row only the newest value is returned.
std::vector<services::RowChange> TableRelay::changesAfter(const Table &table,
                                                          std::uint64_t version) const
{
    std::vector<services::RowChange> changes;
    for (auto change = firstAfter(table, version); change != table.history.end(); ++change) {
        const services::TableRow &row = change->row.row;
        const auto large = table.largeRows.find(row.key);
        const bool isNewest =
            large != table.largeRows.end() && large->second.version == versionOf(row);
        if (change->isLarge && !isNewest)
            continue;
        changes.push_back(change->row);
        if (change->isLarge)
            changes.back().row.value = large->second.value;
    }
    return changes;
}

// Answers the open request, also without changes: serviceTime tells the follower up to when its
// state is current.
void TableRelay::deliver(Table &table)
{
    if (!table.hasRequest)
        return;
    table.hasRequest = false;
    const auto callback = std::move(table.callback);
    table.callback = nullptr;
    services::TableChanges changes;
    changes.changes = changesAfter(table, table.after);
    changes.next = table.upTo;
    changes.serviceTime = table.serviceTime;
    callback(std::move(changes));
}

// Updates from relays

void TableRelay::onUpdate(const std::string &from, const inner::TableUpdate &update)
{
    if (pendingSnapshots_.count(update.table) != 0)
        return onSnapshotPart(from, update);
    const auto found = tables_.find(update.table);
    const auto relay = relays_.find(from);
    if (found == tables_.end() || relay == relays_.end())
        return;
    Table &table = found->second;
    // A late update, or one from a relay that is behind.
    if (table.serviceTime && update.serviceTime < *table.serviceTime)
        return;
    if (!table.serviceTime || *table.serviceTime < update.serviceTime)
        relay->second.lastUpdateAt = parts_.timers.now();
    const bool hasGap = update.rowsOmitted || update.after > table.upTo;
    if (hasGap && update.upTo > table.upTo) {
        parts_.log.info("table_update_unusable", update.rowsOmitted ? "rows_omitted" : "gap")
            .with("table", table.name)
            .with("from", from)
            .with("after", update.after)
            .with("up_to", update.upTo)
            .with("known", table.upTo)
            .with("polling", table.pendingPoll != 0);
        table.neededVersion = update.upTo;
        return schedulePoll(table);
    }
    auto changes = decodeChanges(table, update);
    if (!changes) {
        table.neededVersion = update.upTo;
        return schedulePoll(table);
    }
    appendChanges(table, *std::move(changes), update.upTo);
    if (!update.isPartial)
        confirm(table, update.serviceTime);
    deliver(table);
    if (!update.isPartial)
        return;
    requestNextPart(from, table.name, table.upTo);
}

// Returns nothing when the base version of a difference is not available.
std::optional<std::vector<TableRelay::Change>>
TableRelay::decodeChanges(const Table &table, const inner::TableUpdate &update) const
{
    std::map<std::string, LargeRow> large;
    std::vector<Change> changes;
    for (const inner::TableUpdateRow &row : update.rows) {
        if (row.version <= table.upTo)
            continue;
        Change change;
        change.row = toChange(row, update.serviceTime, parts_.timers.now());
        if (row.baseVersion != 0) {
            const auto known = table.largeRows.find(row.key);
            if (large.count(row.key) == 0 && known != table.largeRows.end())
                large[row.key] = known->second;
            const LargeRow &before = large[row.key];
            auto value = services::applyDifference(before.value, row.value);
            if (before.version != row.baseVersion || !value.ok()) {
                parts_.log.info("table_difference_unusable")
                    .with("table", table.name)
                    .with("key", row.key)
                    .with("from", row.baseVersion)
                    .with("known", before.version);
                return std::nullopt;
            }
            change.difference = row.value;
            change.baseVersion = row.baseVersion;
            change.row.row.value = *std::move(value);
        }
        change.isLarge = !row.removed && isLarge(change.row.row);
        large[row.key] = {row.version, change.isLarge ? change.row.row.value : std::string()};
        changes.push_back(std::move(change));
    }
    return changes;
}

void TableRelay::schedulePoll(Table &table)
{
    // Leaves the preferred relay time to send the rows.
    const Duration spread = table.wait / spreadDivisor;
    if (!table.needsPoll) {
        table.announcedAt = parts_.timers.now();
        table.pollAt = table.announcedAt + spread
            + std::chrono::duration_cast<Duration>(spread * parts_.draw());
    }
    table.needsPoll = true;
    pollIfDue(table);
}

void TableRelay::onLinkUp(const std::string &address)
{
    if (relays_.count(address) == 0)
        return;
    subscribeTo(address);
    requestSnapshots(address);
}

void TableRelay::subscribeTo(const std::string &address)
{
    inner::SubscribeTables message;
    message.withRows = relays_.at(address).isPreferred;
    message.acceptsParts = true;
    for (const auto &[name, table] : tables_)
        if (!table.name.empty())
            message.tables.push_back({name, table.upTo});
    if (!message.tables.empty())
        static_cast<void>(parts_.links.sendTo(address, std::move(message)));
}

void TableRelay::setCandidates(const decision::RelayOrder &candidates)
{
    candidates_ = &candidates;
    chooseRelays();
}

void TableRelay::chooseRelays()
{
    const Instant now = parts_.timers.now();
    if (candidates_ == nullptr)
        return;
    std::set<std::string> avoided;
    for (const auto &[address, until] : avoidedUntil_)
        if (until > now)
            avoided.insert(address);
    const std::vector<std::string> chosen =
        candidates_->choose(parts_.zone, relaysPerHost, avoided);
    isChosenRelay_ = std::find(chosen.begin(), chosen.end(), parts_.self) != chosen.end();
    std::map<std::string, RelayState> relays;
    if (!isChosenRelay_)
        for (const std::string &address : chosen)
            relays.emplace(address, RelayState {now, address == chosen.front()});
    std::map<std::string, RelayState> before;
    before.swap(relays_);
    for (auto &[address, state] : relays) {
        const auto old = before.find(address);
        const bool isNew = old == before.end();
        const bool changed = isNew || old->second.isPreferred != state.isPreferred;
        if (!isNew)
            state.lastUpdateAt = old->second.lastUpdateAt;
        relays_.emplace(address, state);
        if (isNew) {
            parts_.log.info("teller_chosen").with("teller", address);
            parts_.links.connect(address);
        }
        if (changed)
            subscribeTo(address);
    }
    for (const auto &[address, state] : before) {
        if (relays_.count(address) != 0)
            continue;
        parts_.log.info("teller_left").with("teller", address);
        static_cast<void>(parts_.links.sendTo(address, inner::SubscribeTables()));
        parts_.links.drop(address);
    }
    pollDueTables();
}

// Replaces relays without updates for `limit`: they are down, unreachable or cut off from the
// service.
void TableRelay::replaceSilentRelays(Duration limit)
{
    const Instant now = parts_.timers.now();
    bool changed = false;
    for (const auto &[address, state] : relays_) {
        if (now - state.lastUpdateAt < limit)
            continue;
        avoidedUntil_[address] = now + relayAvoidTime;
        changed = true;
    }
    if (!changed)
        return;
    chooseRelays();
    // A host without other relays returns to these, rather than polling for itself until the owners
    // change.
    parts_.timers.subscribeAfter(relayAvoidTime, [this, alive = alive_] {
        if (*alive && relays_.empty())
            chooseRelays();
    });
}

} // namespace kelptally::host
