#pragma once

#include "core/rows.h"
#include "decision/failover.h"

#include <optional>
#include <vector>

namespace kelptally::owner {

// Parses the answer to a group's status statement; no value if its columns are not as expected.
std::optional<decision::ServerReport> parseServerReport(const Rows &rows);

// Parses the answer to a group's history statement; no value if its columns are not as expected.
std::optional<std::vector<decision::TermStart>> parseHistory(const Rows &rows);

} // namespace kelptally::owner
