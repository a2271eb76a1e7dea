#pragma once

#include "core/metrics.h"

#include <absl/status/status.h>

#include <cstdint>
#include <map>
#include <string>

namespace kelptally::inner {

// Returns the close code for a link that this end refuses, from the range for private use (RFC
// 6455, section 7.4.2).
std::uint16_t closeCodeOf(const absl::Status &reason);

// Whether the other end's close code is one of closeCodeOf().
bool isRefusal(std::uint16_t closeCode);

// Whether a link that this end closed for this reason is likely to be closed for it again after a
// redial. False for a timeout: a silent peer may answer again at any time.
bool isPersistent(const absl::Status &reason);

// Returns the cause that logs and counters show for a close code.
const char *refusalCause(std::uint16_t closeCode);

constexpr const char *timeoutCause = "timeout";
constexpr const char *silenceCause = "silence";

// Counts the links that this end closed, by cause. All series exist from the start.
class RefusalCounters
{
public:
    // Counts nothing if metrics is null.
    explicit RefusalCounters(Metrics *metrics);

    void count(const char *cause);

private:
    Metrics *const metrics_;
    std::map<std::string, prometheus::Counter *> counters_;
};

} // namespace kelptally::inner
