#pragma once

#include "core/dutythread.h"
#include "core/types.h"
#include "services/configrows.h"
#include "settings/processsettings.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kelptally::admin {

// An accepted version as stored; its document is empty in a history.
using ConfigRecord = services::ConfigVersionRow;

// The result of an apply. The apply fails with Unavailable when nothing was written, and with
// Unknown when it may have been written: it can be repeated with the same change id.
struct ConfigApplied
{
    bool accepted = false;
    // The accepted version, or the newest version that conflicts.
    ConfigVersion version = 0;
};

using ConfigVersionCallback = std::function<void(absl::StatusOr<ConfigVersion>)>;
using ConfigRecordCallback = std::function<void(absl::StatusOr<std::optional<ConfigRecord>>)>;
using ConfigHistoryCallback = std::function<void(absl::StatusOr<std::vector<ConfigRecord>>)>;
using ConfigApplyCallback = std::function<void(absl::StatusOr<ConfigApplied>)>;

// Maximum number of versions in one history, each of which is a read of its own.
constexpr std::size_t maxHistoryLimit = 100;

// Stores accepted versions in the platform's table service, with a snapshot of the newest in the
// object store. Used on the admin thread; each callback is called exactly once, on that thread.
class ConfigStore
{
public:
    virtual ~ConfigStore() = default;

    // Reads the number of the newest version without its document; 0 when there is none.
    virtual void readNewestVersion(ConfigVersionCallback callback) = 0;
    virtual void readNewest(ConfigRecordCallback callback) = 0;
    virtual void readVersion(ConfigVersion version, ConfigRecordCallback callback) = 0;
    virtual void readSnapshot(ConfigRecordCallback callback) = 0;
    // Reads the newest versions, newest first, without their documents; at most maxHistoryLimit.
    virtual void readHistory(std::size_t limit, ConfigHistoryCallback callback) = 0;
    // Updates the snapshot to this version if it is older; retries until that succeeds.
    virtual void updateSnapshot(ConfigVersion version) = 0;
    // Stores the document as version expected + 1 if expected is the newest version.
    virtual void apply(ConfigVersion expected, ConfigRecord record,
                       ConfigApplyCallback callback) = 0;
};

std::unique_ptr<ConfigStore> makePlatformConfigStore(DutyThread &thread,
                                                     const settings::ProcessSettings &settings);

} // namespace kelptally::admin
