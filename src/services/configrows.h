#pragma once

#include "core/types.h"

#include <absl/status/statusor.h>

#include <string>

namespace kelptally::services {

// Table of the accepted configuration versions: the row "newest", and for each version one with
// its document and a small one without.
constexpr char configTable[] = "config";
constexpr char newestConfigKey[] = "newest";
// Object with a copy of the newest version, for starts while the table service is down.
constexpr char configSnapshotKey[] = "config-snapshot";

// The row "newest": small, since every process reads it again and again.
struct NewestConfigRow
{
    ConfigVersion version = 0;
    std::string changeId;
};

// The row of one version, with and without its document, and the snapshot.
struct ConfigVersionRow
{
    ConfigVersion version = 0;
    std::string author;
    // Drawn by whoever applies, so that a lost answer is recognised by reading back.
    std::string changeId;
    // UTC, ISO 8601.
    std::string time;
    std::string document;
};

std::string configVersionKey(ConfigVersion version);
std::string configHistoryKey(ConfigVersion version);

// JSON texts of the rows. InvalidArgument when a text is not such a row, or when a row is over its
// bounds or not UTF-8.
absl::StatusOr<std::string> encodeConfigRow(const NewestConfigRow &row);
absl::StatusOr<std::string> encodeConfigRow(const ConfigVersionRow &row);
absl::StatusOr<NewestConfigRow> decodeNewestConfigRow(const std::string &text);
absl::StatusOr<ConfigVersionRow> decodeConfigVersionRow(const std::string &text);

} // namespace kelptally::services
