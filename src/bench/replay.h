#pragma once

#include "bench/checker.h"
#include "bench/trace.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>

namespace kelptally::bench {

struct ReplayOptions
{
    // Maximum retries of a request that was refused as not executed.
    int callerRetries = 0;
    // Delay before a retry; by default the retryAfter of the answer.
    std::optional<Duration> callerRetryDelay;
    // Maximum slots of a primary for browse reads, 0 for no limit; by default the owner's setting.
    std::optional<int> primaryBrowseSlots;
};

// Replays a trace in the model under a policy ("kelptally", "primary-only" or "round-robin") and
// checks every answer. InvalidArgument if the policy doesn't exist.
absl::StatusOr<Figures> replay(const Trace &trace, const std::string &policy,
                               const ReplayOptions &options = {});

} // namespace kelptally::bench
