#pragma once

#include "core/clock.h"

#include <malloc.h>

#include <cstddef>
#include <ctime>

// Processor time and memory of pieces of this process.
namespace kelptally::bench {

inline Duration threadProcessorTime()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

// Mean processor time of one call.
template <typename Function>
Duration meanCallTime(int calls, Function function)
{
    const Duration before = threadProcessorTime();
    for (int i = 0; i < calls; ++i)
        function();
    return (threadProcessorTime() - before) / calls;
}

// Bytes that are allocated at the moment.
inline std::size_t allocatedBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace kelptally::bench
