#pragma once

#include "core/types.h"

#include <absl/status/statusor.h>

#include <string>

namespace kelptally::services {

// Table of the accepted configuration versions: the row "newest", and for each version a row with
// its document and a history row without.
constexpr char configTable[] = "config";
constexpr char newestConfigKey[] = "newest";
// Object with a copy of the newest version, for a start while the table service is unavailable.
constexpr char configSnapshotKey[] = "config-snapshot";

// The row "newest". It is small, as every process polls it.
struct NewestConfigRow
{
    ConfigVersion version = 0;
    std::string changeId;
};

// The row of one version, its history row (without the document), and the snapshot.
struct ConfigVersionRow
{
    ConfigVersion version = 0;
    std::string author;
    // Random id of the change. A writer whose answer was lost finds its change by this id.
    std::string changeId;
    // UTC, ISO 8601.
    std::string time;
    std::string document;
};

std::string configVersionKey(ConfigVersion version);
std::string configHistoryKey(ConfigVersion version);

// JSON encoding of the rows. InvalidArgument when a text is not such a row, or when a row exceeds
// its bounds or is not UTF-8.
absl::StatusOr<std::string> encodeConfigRow(const NewestConfigRow &row);
absl::StatusOr<std::string> encodeConfigRow(const ConfigVersionRow &row);
absl::StatusOr<NewestConfigRow> decodeNewestConfigRow(const std::string &text);
absl::StatusOr<ConfigVersionRow> decodeConfigVersionRow(const std::string &text);

} // namespace kelptally::services
