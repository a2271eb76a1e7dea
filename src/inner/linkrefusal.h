#pragma once

#include "core/metrics.h"

#include <absl/status/status.h>

#include <cstdint>
#include <map>
#include <string>

namespace kelptally::inner {

// Close code of a link that this end refuses, of the range for private use (RFC 6455, section
// 7.4.2).
std::uint16_t closeCodeOf(const absl::Status &why);

// Whether the other end closed a link with one of these codes.
bool isRefusal(std::uint16_t closeCode);

// Whether a link that this end gave up for the reason is likely to be refused again: a peer that
// was only silent may be there again at any moment.
bool isPersistent(const absl::Status &why);

// The cause as logs and counters name it.
const char *refusalCause(std::uint16_t closeCode);

constexpr const char *timeoutCause = "timeout";
constexpr const char *silenceCause = "silence";

// Counts the links that this end gave up; each series exists from the start.
class RefusalCounters
{
public:
    // Counts nothing without metrics.
    explicit RefusalCounters(Metrics *metrics);

    void count(const char *cause);

private:
    Metrics *const metrics_;
    std::map<std::string, prometheus::Counter *> counters_;
};

} // namespace kelptally::inner
