#pragma once

#include "core/timerservice.h"
#include "services/configrows.h"
#include "services/tableservice.h"

#include <memory>
#include <optional>

namespace kelptally::admin {

// Updates the snapshot of the newest configuration version in the object store, retrying until it
// succeeds. Never replaces it by an older version: each write is conditional on the snapshot read
// before.
class SnapshotWriter
{
public:
    SnapshotWriter(TimerService &timers, services::ObjectStore &objects);
    ~SnapshotWriter();
    SnapshotWriter(const SnapshotWriter &) = delete;
    SnapshotWriter &operator=(const SnapshotWriter &) = delete;

    void update(services::ConfigVersionRow row);

    // Returns whether no update is pending.
    bool idle() const { return !pending_; }

    static constexpr Duration retryPeriod = std::chrono::seconds(1);

private:
    void read();
    void onRead(const absl::StatusOr<std::optional<services::TableRow>> &read);
    void onWritten(ConfigVersion version, const absl::Status &status);
    void retry();
    void finish();

    TimerService &timers_;
    services::ObjectStore &objects_;
    std::optional<services::ConfigVersionRow> pending_;
    bool running_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::admin
