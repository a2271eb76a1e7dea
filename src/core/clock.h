#pragma once

#include <chrono>

namespace kelptally {

using Duration = std::chrono::nanoseconds;

// Steady clock that also advances while the machine is suspended (CLOCK_BOOTTIME), so that a lease
// expires during a suspension too.
struct BootClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock, duration>;
    // NOLINTNEXTLINE(readability-identifier-naming): required by the standard's Clock requirements.
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

using Instant = BootClock::time_point;

// Returns fractional milliseconds, for logs, metrics and JSON.
inline double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace kelptally
