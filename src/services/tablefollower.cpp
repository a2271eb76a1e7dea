#include "services/tablefollower.h"

#include <algorithm>
#include <vector>

namespace kelptally::services {

namespace {

// Longest that one question for changes stays open; each costs a call.
constexpr Duration feedWait = std::chrono::seconds(20);
// Pause after a call that failed: a service that refuses is not asked all the time.
constexpr Duration failedPause = std::chrono::milliseconds(250);

} // namespace

TableFollower::TableFollower(const Parts &parts, std::string table, const Checks &checks,
                             Handlers handlers)
    : parts_(parts), table_(std::move(table)), checks_(checks), handlers_(std::move(handlers))
{ }

TableFollower::~TableFollower()
{
    *alive_ = false;
}

void TableFollower::start()
{
    check();
    if (checks_.period > Duration(0))
        checkLater();
}

void TableFollower::checkLater()
{
    Duration pause = checks_.period;
    if (checks_.bytesPerSecond > 0)
        pause = std::max(pause,
                         std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                             double(bytes_) / double(checks_.bytesPerSecond))));
    parts_.timers.subscribeAfter(pause, [this, alive = alive_] {
        if (!*alive)
            return;
        check();
        checkLater();
    });
}

void TableFollower::check()
{
    if (checking_)
        return;
    checking_ = true;
    parts_.feed.snapshot(table_, [this, alive = alive_](absl::StatusOr<TableSnapshot> snapshot) {
        if (!*alive)
            return;
        checking_ = false;
        note(snapshot.status());
        if (snapshot.ok())
            return onSnapshot(*snapshot);
        // Nothing else would begin to follow the changes.
        if (!following_)
            parts_.timers.subscribeAfter(failedPause, [this, alive] {
                if (*alive)
                    check();
            });
    });
}

void TableFollower::onSnapshot(const TableSnapshot &snapshot)
{
    std::map<std::string, std::string> before = versions_;
    bytes_ = 0;
    for (const TableRow &row : snapshot.rows) {
        bytes_ += row.key.size() + row.value.size();
        before.erase(row.key);
        apply(row);
    }
    for (const auto &[key, version] : before)
        remove(key);
    if (!following_)
        next_ = snapshot.next;
    read_ = true;
    handlers_.onRead();
    if (!following_)
        follow();
}

void TableFollower::follow()
{
    following_ = true;
    parts_.feed.changes(table_, next_, feedWait,
                        [this, alive = alive_](absl::StatusOr<TableChanges> changes) {
                            if (*alive)
                                onChanges(changes);
                        });
}

void TableFollower::onChanges(const absl::StatusOr<TableChanges> &changes)
{
    if (changes.ok()) {
        note(changes.status());
        for (const RowChange &change : changes->changes) {
            if (change.removed)
                remove(change.row.key);
            else
                apply(change.row);
        }
        next_ = changes->next;
        return follow();
    }
    if (absl::IsOutOfRange(changes.status())) {
        following_ = false;
        parts_.log.info("history_gone").with("table", table_);
        return check();
    }
    note(changes.status());
    parts_.timers.subscribeAfter(failedPause, [this, alive = alive_] {
        if (*alive)
            follow();
    });
}

// Snapshots and changes overtake each other: a version below the known one is old news.
void TableFollower::apply(const TableRow &row)
{
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

void TableFollower::note(const absl::Status &status)
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
