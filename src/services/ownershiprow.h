#pragma once

#include "decision/ownership.h"

#include <absl/status/statusor.h>

#include <string>

namespace kelptally::services {

// Table of the ownership rows; a row's key is its group's name.
constexpr char ownershipTable[] = "ownership";

// Maximum size of an ownership row in bytes.
constexpr std::size_t maxOwnershipRowBytes = 4096;

// Encodes an ownership row as the JSON text stored in the table service.
std::string encodeOwnershipRow(const decision::OwnershipRow &row);

// Decodes an ownership row; InvalidArgument for any other text. Unknown members are ignored, so
// that newer versions can add some.
absl::StatusOr<decision::OwnershipRow> decodeOwnershipRow(const std::string &text);

} // namespace kelptally::services
