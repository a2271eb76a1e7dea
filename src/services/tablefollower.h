#pragma once

#include "core/eventlog.h"
#include "core/timerservice.h"
#include "decision/pollpacer.h"
#include "services/tableservice.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace kelptally::services {

// Follows one table: reads a snapshot and then its changes, and a new snapshot when the service no
// longer has the changes that follow.
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
        // Called for each row that is new or has changed.
        std::function<void(const TableRow &)> onRow;
        std::function<void(const std::string &key)> onRemoved;
        // Called after each snapshot.
        std::function<void()> onSnapshotRead;
    };

    // The long poll time bounds each request for changes. A longer one saves calls, but delays the
    // detection of a lost answer.
    TableFollower(const Parts &parts, std::string table, Duration longPollTime, Handlers handlers);
    ~TableFollower();

    void start();
    // Whether the whole table has been read at least once.
    bool hasSnapshot() const { return hasSnapshot_; }
    // Version up to which all changes are known.
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
    // Last known version of each row.
    std::map<std::string, std::string> versions_;
    std::uint64_t position_ = 0;
    // The service's clock at its last answer.
    std::optional<Duration> lastServiceTime_;
    // This host's clock less the service's: the minimum of all answers.
    Duration clockOffset_ {0};
    decision::PollPacer pace_;
    bool hasSnapshot_ = false;
    bool reachable_ = true;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::services
