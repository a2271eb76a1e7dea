#pragma once

#include "core/clock.h"

#include <cstdint>
#include <functional>

namespace kelptally {

using TimerId = std::uint64_t;

// Clock and timers of one duty thread. Callbacks run on that thread. All code uses this interface
// instead of reading a clock or sleeping, so that tests and the replay can use ManualTimerService.
class TimerService
{
public:
    using Callback = std::function<void()>;

    virtual ~TimerService() = default;

    virtual Instant now() const = 0;

    // Calls back once, at or after the given instant. The returned id is for cancel().
    virtual TimerId subscribeAt(Instant when, Callback callback) = 0;

    // Calls back every period until cancelled, first after one period.
    virtual TimerId subscribeEvery(Duration period, Callback callback) = 0;

    // Cancels a subscription. Ignores an id that is unknown or has fired.
    virtual void cancel(TimerId id) = 0;

    TimerId subscribeAfter(Duration delay, Callback callback)
    {
        return subscribeAt(now() + delay, std::move(callback));
    }
};

} // namespace kelptally
