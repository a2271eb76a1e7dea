#pragma once

#include "core/timerservice.h"

#include <deque>
#include <functional>

namespace kelptally::standin {

// Serialises writing transactions: a server has one writer at a time. Lock requests are granted in
// FIFO order. Used on one thread only.
class WriterLock
{
public:
    // A requester of the lock, identified by its address.
    struct Requester
    {
        // Called when a wait ends: the lock was granted or revoked, or the timeout has passed.
        std::function<void()> wake;
        bool timedOut = false;
        bool revoked = false;
    };

    explicit WriterLock(TimerService &timers) : timers_(timers) { }

    // Returns true if the lock is held. Otherwise queues the requester and calls wake() later.
    bool acquire(Requester &requester, Duration timeout);
    bool isHeldBy(const Requester &requester) const { return holder_ == &requester; }
    // Releases the lock or cancels the wait for it.
    void release(Requester &requester);
    // Takes the lock from its holder and wakes all waiting requesters.
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
