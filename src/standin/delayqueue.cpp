#include "standin/delayqueue.h"

namespace kelptally::standin {

void DelayQueue::push(Instant due, std::function<void()> work)
{
    if (items_.empty() && due <= timers_.now()) {
        work();
        return;
    }
    items_.push_back({due, std::move(work)});
    if (timer_ == 0)
        timer_ = timers_.subscribeAt(due, [this] { runDue(); });
}

void DelayQueue::clear()
{
    items_.clear();
    if (timer_ != 0)
        timers_.cancel(timer_);
    timer_ = 0;
}

void DelayQueue::runDue()
{
    // timer_ stays set during the loop, so that a nested push() doesn't subscribe a second timer.
    const Instant now = timers_.now();
    while (!items_.empty() && items_.front().due <= now) {
        const auto work = std::move(items_.front().work);
        items_.pop_front();
        work();
    }
    timer_ = 0;
    if (!items_.empty())
        timer_ = timers_.subscribeAt(items_.front().due, [this] { runDue(); });
}

} // namespace kelptally::standin
