#include "core/clock.h"

#include <ctime>

namespace kelptally {

BootClock::time_point BootClock::now() noexcept
{
    timespec spec {};
    clock_gettime(CLOCK_BOOTTIME, &spec);
    const auto sinceBoot =
        std::chrono::seconds(spec.tv_sec) + std::chrono::nanoseconds(spec.tv_nsec);
    return time_point(sinceBoot);
}

} // namespace kelptally
