#pragma once

#include "bench/checker.h"
#include "bench/trace.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>

namespace kelptally::bench {

struct ReplayOptions
{
    // How often a caller sends a request again that was refused as not run, and after what pause;
    // nothing: as long as the answer asked it to wait.
    int callerRetries = 0;
    std::optional<Duration> callerRetryDelay;
    // Slots of a primary that browsing may hold at a time, 0 for all; nothing: as the owner has it.
    std::optional<int> primaryBrowseSlots;
};

// Replays a trace under a policy ("kelptally", "primary-only" or "round-robin") and judges every
// answer. InvalidArgument when there is no such policy.
absl::StatusOr<Figures> replay(const Trace &trace, const std::string &policy,
                               const ReplayOptions &options = {});

} // namespace kelptally::bench
