#pragma once

#include "core/eventlog.h"
#include "core/timerservice.h"
#include "decision/feedpace.h"
#include "services/tableservice.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace kelptally::services {

// Keeps up with one table: a snapshot, then its changes, and a snapshot again when the history is
// gone.
class TableFollower
{
public:
    struct Parts
    {
        TimerService &timers;
        TableFeed &feed;
        EventLog &log;
    };

    struct Handlers
    {
        // A row that is new or has changed.
        std::function<void(const TableRow &)> onRow;
        std::function<void(const std::string &key)> onRemoved;
        // After each snapshot.
        std::function<void()> onSnapshotRead;
    };

    // The wait is the longest that one question for changes stays open: each costs a call, and an
    // answer that is lost on its way is noticed no sooner.
    TableFollower(const Parts &parts, std::string table, Duration longPollTime, Handlers handlers);
    ~TableFollower();

    void start();
    // Whether the whole table has been read once.
    bool hasSnapshot() const { return hasSnapshot_; }
    // All changes up to this version are known.
    std::uint64_t position() const { return position_; }

private:
    void readSnapshot();
    void onSnapshot(const TableSnapshot &snapshot);
    void requestChanges();
    void requestChangesAfter(Duration delay);
    void onChanges(const absl::StatusOr<TableChanges> &changes);
    void apply(const TableRow &changed, std::optional<Instant> changedAfter);
    void remove(const std::string &key);
    void updateReachability(const absl::Status &status);
    std::optional<Instant> updateServiceClock(std::optional<Duration> serviceTime);

    const Parts parts_;
    const std::string table_;
    const Duration longPollTime_;
    const Handlers handlers_;
    // Version of each row as last seen.
    std::map<std::string, std::string> versions_;
    std::uint64_t position_ = 0;
    // The service's clock at its last answer.
    std::optional<Duration> lastServiceTime_;
    // This host's clock less the service's, at the fastest answer so far.
    Duration clockOffset_ {0};
    decision::FeedPace pace_;
    bool hasSnapshot_ = false;
    bool reachable_ = true;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::services
