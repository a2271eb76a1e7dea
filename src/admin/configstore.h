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

// One accepted version as the platform keeps it; without its document in a history.
using ConfigRecord = services::ConfigVersionRow;

// How an apply ended. Unavailable: nothing was written; Unknown: it may have been written, ask
// again with the same change id.
struct ConfigApplied
{
    bool accepted = false;
    // The accepted version, or the newest one that stood in the way.
    ConfigVersion version = 0;
};

using ConfigVersionCallback = std::function<void(absl::StatusOr<ConfigVersion>)>;
using ConfigRecordCallback = std::function<void(absl::StatusOr<std::optional<ConfigRecord>>)>;
using ConfigHistoryCallback = std::function<void(absl::StatusOr<std::vector<ConfigRecord>>)>;
using ConfigApplyCallback = std::function<void(absl::StatusOr<ConfigApplied>)>;

// Where accepted versions are kept: the platform's table service, with a snapshot of the newest in
// the object store. Used on the admin thread; each callback comes exactly once, there.
class ConfigStore
{
public:
    virtual ~ConfigStore() = default;

    // Number of the newest version, 0 when there is none; a small read.
    virtual void readNewestVersion(ConfigVersionCallback callback) = 0;
    virtual void readNewest(ConfigRecordCallback callback) = 0;
    virtual void readVersion(ConfigVersion version, ConfigRecordCallback callback) = 0;
    virtual void readSnapshot(ConfigRecordCallback callback) = 0;
    // The newest versions, newest first, without their documents.
    virtual void readHistory(std::size_t limit, ConfigHistoryCallback callback) = 0;
    // Brings the snapshot up to this version if it is behind, for as long as that takes.
    virtual void updateSnapshot(ConfigVersion version) = 0;
    // Makes the document version expected + 1 if expected is the newest.
    virtual void apply(ConfigVersion expected, ConfigRecord record,
                       ConfigApplyCallback callback) = 0;
};

std::unique_ptr<ConfigStore> makePlatformConfigStore(DutyThread &thread,
                                                     const settings::ProcessSettings &settings);

} // namespace kelptally::admin
