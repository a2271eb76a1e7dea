#pragma once

#include "core/timerservice.h"

#include <deque>
#include <functional>

namespace kelptally::standin {

// Whoever writes holds this lock until its transaction ends: a server has one writer at a time.
class WriterLock
{
public:
    // One that wants the lock. Its address is its identity.
    struct Requester
    {
        // The lock was granted, revoked while waiting, or not granted in time.
        std::function<void()> wake;
        bool timedOut = false;
        bool revoked = false;
    };

    explicit WriterLock(TimerService &timers) : timers_(timers) { }

    // True when held; otherwise the user waits and is woken.
    bool acquire(Requester &requester, Duration timeout);
    bool isHeldBy(const Requester &requester) const { return holder_ == &requester; }
    // Gives the lock up or ends the waiting.
    void release(Requester &requester);
    // Takes the lock from its holder and wakes all who wait.
    void revoke();

private:
    struct Waiter
    {
        Requester *requester;
        TimerId timer;
    };
    void grantNext();
    void expire(Requester *requester);

    TimerService &timers_;
    Requester *holder_ = nullptr;
    std::deque<Waiter> waiters_;
};

} // namespace kelptally::standin
