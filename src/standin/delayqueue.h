#pragma once

#include "core/timerservice.h"

#include <deque>
#include <functional>

namespace kelptally::standin {

// Runs queued work at its due time, in FIFO order. Used on one thread only.
class DelayQueue
{
public:
    explicit DelayQueue(TimerService &timers) : timers_(timers) { }
    ~DelayQueue() { clear(); }
    DelayQueue(const DelayQueue &) = delete;
    DelayQueue &operator=(const DelayQueue &) = delete;

    // Runs the work immediately if the queue is empty and `due` has passed.
    void push(Instant due, std::function<void()> work);
    void clear();

private:
    void runDue();

    struct Item
    {
        Instant due;
        std::function<void()> work;
    };
    TimerService &timers_;
    std::deque<Item> items_;
    TimerId timer_ = 0;
};

} // namespace kelptally::standin
