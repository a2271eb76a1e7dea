#pragma once

#include "core/clock.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace kelptally::bench {

// Returns the user and system CPU time of the processes since their start, from /proc/PID/stat
// (proc(5)). NotFound if a process doesn't exist.
absl::StatusOr<Duration> processorTime(const std::vector<int> &processIds);

// Returns the resident anonymous memory in bytes, from RssAnon of /proc/PID/status.
absl::StatusOr<std::int64_t> residentMemory(int processId);

} // namespace kelptally::bench
