#pragma once

#include "decision/ownership.h"

#include <absl/status/statusor.h>

#include <string>

namespace kelptally::services {

// Table of the ownership rows; a row's key is its group's name.
constexpr char ownershipTable[] = "ownership";

// Largest ownership row that is accepted, in bytes.
constexpr std::size_t maxOwnershipRowBytes = 4096;

// An ownership row as the JSON text that the table service keeps.
std::string encodeOwnershipRow(const decision::OwnershipRow &row);

// The row of such a text; InvalidArgument for anything else. Unknown members are left alone, so
// that a newer build may add some.
absl::StatusOr<decision::OwnershipRow> decodeOwnershipRow(const std::string &text);

} // namespace kelptally::services
