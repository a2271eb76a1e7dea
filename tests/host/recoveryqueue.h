#pragma once

#include "core/timerservice.h"

#include <functional>
#include <utility>
#include <vector>

namespace kelptally::model {

// Actions that end the faults of a schedule, each at its time.
class RecoveryQueue
{
public:
    explicit RecoveryQueue(const TimerService &timers) : timers_(timers) { }

    void schedule(Duration time, std::function<void()> action)
    {
        recoveries_.emplace_back(timers_.now() + time, std::move(action));
    }

    // Runs the actions that are due.
    void run() { run(false); }
    // Runs all actions now, including those that they schedule.
    void runAll()
    {
        while (!recoveries_.empty())
            run(true);
    }

private:
    void run(bool all)
    {
        auto pending = std::move(recoveries_);
        recoveries_.clear();
        for (auto &[when, action] : pending) {
            if (all || when <= timers_.now())
                action();
            else
                recoveries_.emplace_back(when, std::move(action));
        }
    }

    const TimerService &timers_;
    std::vector<std::pair<Instant, std::function<void()>>> recoveries_;
};

} // namespace kelptally::model
