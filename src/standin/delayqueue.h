#pragma once

#include "core/timerservice.h"

#include <deque>
#include <functional>

namespace kelptally::standin {

// Runs what is pushed after a delay, in the order of pushing. Used on one thread.
class DelayQueue
{
public:
    explicit DelayQueue(TimerService &timers) : timers_(timers) { }
    ~DelayQueue() { clear(); }
    DelayQueue(const DelayQueue &) = delete;
    DelayQueue &operator=(const DelayQueue &) = delete;

    // Runs at once when nothing waits and the time has come.
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
