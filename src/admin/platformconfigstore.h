#pragma once

#include "admin/configstore.h"
#include "admin/snapshotwriter.h"
#include "core/timerservice.h"
#include "decision/configapply.h"
#include "services/tableservice.h"

#include <memory>
#include <random>

namespace kelptally::admin {

// Stores accepted versions in the platform's table service, and a snapshot of the newest in its
// object store. Executes the actions of decision::ConfigApply. The timer service must outlive it.
class PlatformConfigStore : public ConfigStore
{
public:
    PlatformConfigStore(TimerService &timers, std::unique_ptr<services::TableService> tables,
                        std::unique_ptr<services::ObjectStore> objects);
    ~PlatformConfigStore() override;

    void readNewestVersion(ConfigVersionCallback callback) override;
    void readNewest(ConfigRecordCallback callback) override;
    void readVersion(ConfigVersion version, ConfigRecordCallback callback) override;
    void readSnapshot(ConfigRecordCallback callback) override;
    void readHistory(std::size_t limit, ConfigHistoryCallback callback) override;
    void updateSnapshot(ConfigVersion version) override;
    void apply(ConfigVersion expected, ConfigRecord record, ConfigApplyCallback callback) override;

    // How long an apply retries while the store does not answer.
    static constexpr Duration applyTimeout = std::chrono::seconds(10);

private:
    struct Apply;
    struct History;
    using ApplyPtr = std::shared_ptr<Apply>;

    void readRecord(const std::string &key, ConfigRecordCallback callback);
    void step(const ApplyPtr &apply, const std::optional<decision::ApplyAction> &action);
    void readNewestFor(const ApplyPtr &apply);
    void readVersionFor(const ApplyPtr &apply, ConfigVersion version);
    void writeFor(const ApplyPtr &apply, const decision::WriteVersionRow &action);
    static void addToHistory(History &history,
                             const absl::StatusOr<std::optional<ConfigRecord>> &record);
    void finish(const ApplyPtr &apply);

    TimerService &timers_;
    const std::unique_ptr<services::TableService> tables_;
    const std::unique_ptr<services::ObjectStore> objects_;
    std::mt19937_64 random_;
    SnapshotWriter snapshot_;
    // Expires with the store, so that late timers and answers are ignored.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::admin
