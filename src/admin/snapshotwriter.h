#pragma once

#include "core/timerservice.h"
#include "services/configrows.h"
#include "services/tableservice.h"

#include <memory>
#include <optional>

namespace kelptally::admin {

// Brings the snapshot of the newest configuration version in the object store up to date, trying
// again until it is done. Never lowers it: each write is conditional on the snapshot it has read.
class SnapshotWriter
{
public:
    SnapshotWriter(TimerService &timers, services::ObjectStore &objects);
    ~SnapshotWriter();
    SnapshotWriter(const SnapshotWriter &) = delete;
    SnapshotWriter &operator=(const SnapshotWriter &) = delete;

    void update(services::ConfigVersionRow row);

    // Whether nothing is left to write.
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
