#include "standin/writerlock.h"

#include <algorithm>

namespace kelptally::standin {

bool WriterLock::acquire(Requester &requester, Duration timeout)
{
    if (holder_ == &requester)
        return true;
    if (holder_ == nullptr && waiters_.empty()) {
        holder_ = &requester;
        return true;
    }
    const TimerId timer =
        timers_.subscribeAfter(timeout, [this, &requester] { expire(&requester); });
    waiters_.push_back({&requester, timer});
    return false;
}

void WriterLock::release(Requester &requester)
{
    if (holder_ == &requester) {
        holder_ = nullptr;
        grantNext();
        return;
    }
    const auto waiter = std::find_if(waiters_.begin(), waiters_.end(),
                                     [&](const Waiter &w) { return w.requester == &requester; });
    if (waiter == waiters_.end())
        return;
    timers_.cancel(waiter->timer);
    waiters_.erase(waiter);
}

void WriterLock::revoke()
{
    if (holder_ != nullptr)
        holder_->revoked = true;
    holder_ = nullptr;
    const auto waiters = std::move(waiters_);
    waiters_.clear();
    for (const Waiter &waiter : waiters) {
        timers_.cancel(waiter.timer);
        waiter.requester->wake();
    }
}

void WriterLock::grantNext()
{
    if (waiters_.empty())
        return;
    const Waiter next = waiters_.front();
    waiters_.pop_front();
    timers_.cancel(next.timer);
    holder_ = next.requester;
    holder_->wake();
}

void WriterLock::expire(Requester *requester)
{
    release(*requester);
    requester->timedOut = true;
    requester->wake();
}

} // namespace kelptally::standin
