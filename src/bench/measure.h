#pragma once

#include "core/clock.h"

#include <malloc.h>

#include <cstddef>
#include <ctime>

// CPU time and memory of code in this process.
namespace kelptally::bench {

// Returns the CPU time of the calling thread.
inline Duration threadProcessorTime()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

// Returns the mean CPU time per call.
template <typename Function>
Duration meanCallTime(int calls, Function function)
{
    const Duration before = threadProcessorTime();
    for (int i = 0; i < calls; ++i)
        function();
    return (threadProcessorTime() - before) / calls;
}

// Returns the number of bytes currently allocated with malloc().
inline std::size_t allocatedBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace kelptally::bench
