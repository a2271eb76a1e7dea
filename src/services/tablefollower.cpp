#include "services/tablefollower.h"

#include <algorithm>
#include <vector>

namespace kelptally::services {

namespace {

// Delay after a failed call.
constexpr Duration retryDelay = std::chrono::milliseconds(250);

} // namespace

TableFollower::TableFollower(const Parts &parts, std::string table, Duration longPollTime,
                             Handlers handlers)
    : parts_(parts), table_(std::move(table)), longPollTime_(longPollTime),
      handlers_(std::move(handlers))
{ }

TableFollower::~TableFollower()
{
    *alive_ = false;
}

void TableFollower::start()
{
    readSnapshot();
}

void TableFollower::readSnapshot()
{
    parts_.feed.snapshot(table_, [this, alive = alive_](absl::StatusOr<TableSnapshot> snapshot) {
        if (!*alive)
            return;
        updateReachability(snapshot.status());
        if (snapshot.ok())
            return onSnapshot(*snapshot);
        parts_.timers.subscribeAfter(retryDelay, [this, alive] {
            if (*alive)
                readSnapshot();
        });
    });
}

void TableFollower::onSnapshot(const TableSnapshot &snapshot)
{
    std::map<std::string, std::string> before = versions_;
    const std::optional<Instant> changedAfter = updateServiceClock(snapshot.serviceTime);
    for (const TableRow &row : snapshot.rows) {
        before.erase(row.key);
        apply(row, changedAfter);
    }
    for (const auto &[key, version] : before)
        remove(key);
    position_ = snapshot.next;
    hasSnapshot_ = true;
    handlers_.onSnapshotRead();
    requestChanges();
}

void TableFollower::requestChanges()
{
    parts_.feed.changes(table_, position_, longPollTime_,
                        [this, alive = alive_](absl::StatusOr<TableChanges> changes) {
                            if (*alive)
                                onChanges(changes);
                        });
}

void TableFollower::requestChangesAfter(Duration delay)
{
    if (delay <= Duration(0))
        return requestChanges();
    parts_.timers.subscribeAfter(delay, [this, alive = alive_] {
        if (*alive)
            requestChanges();
    });
}

void TableFollower::onChanges(const absl::StatusOr<TableChanges> &changes)
{
    if (changes.ok()) {
        updateReachability(changes.status());
        const std::optional<Instant> changedAfter = updateServiceClock(changes->serviceTime);
        for (const RowChange &change : changes->changes) {
            if (change.removed)
                remove(change.row.key);
            else
                apply(change.row, changedAfter);
        }
        position_ = changes->next;
        return requestChangesAfter(
            changes->changes.empty() ? Duration(0) : pace_.pauseAfterChanges(parts_.timers.now()));
    }
    if (absl::IsOutOfRange(changes.status())) {
        parts_.log.info("table_history_expired")
            .with("table", table_)
            .with("cause", changes.status().message());
        return readSnapshot();
    }
    updateReachability(changes.status());
    requestChangesAfter(retryDelay);
}

// Returns the earliest time, by this host's clock, at which the changes of an answer may have been
// made: the service's time of the answer before. No value when that is not known.
std::optional<Instant> TableFollower::updateServiceClock(std::optional<Duration> serviceTime)
{
    if (!serviceTime)
        return std::nullopt;
    const Duration now = parts_.timers.now().time_since_epoch();
    const std::optional<Duration> before = lastServiceTime_;
    // A clock that went back means that the service was restarted or replaced.
    const bool known = before && *before <= *serviceTime;
    clockOffset_ = known ? std::min(clockOffset_, now - *serviceTime) : now - *serviceTime;
    lastServiceTime_ = serviceTime;
    if (!known)
        return std::nullopt;
    return Instant(*before + clockOffset_);
}

// Snapshots and changes may overtake each other: ignores a version older than the known one.
void TableFollower::apply(const TableRow &changed, std::optional<Instant> changedAfter)
{
    TableRow row = changed;
    row.changedAfter = changedAfter;
    std::string &known = versions_[row.key];
    const bool older =
        known.size() > row.etag.size() || (known.size() == row.etag.size() && known >= row.etag);
    if (older)
        return;
    known = row.etag;
    handlers_.onRow(row);
}

void TableFollower::remove(const std::string &key)
{
    if (versions_.erase(key) != 0)
        handlers_.onRemoved(key);
}

void TableFollower::updateReachability(const absl::Status &status)
{
    if (status.ok() == reachable_)
        return;
    reachable_ = status.ok();
    if (reachable_)
        parts_.log.info("table_back").with("table", table_);
    else
        parts_.log.warning("table_lost").with("table", table_).with("cause", status.message());
}

} // namespace kelptally::services
