#pragma once

#include "core/timerservice.h"

#include <functional>
#include <utility>
#include <vector>

namespace kelptally::model {

// What ends the faults of a schedule, each at its time.
class FaultEnds
{
public:
    explicit FaultEnds(const TimerService &timers) : timers_(timers) { }

    void after(Duration time, std::function<void()> what)
    {
        ends_.emplace_back(timers_.now() + time, std::move(what));
    }

    // Those whose time has come.
    void run() { run(false); }
    // All of them at once, and what they begin.
    void runAll()
    {
        while (!ends_.empty())
            run(true);
    }

private:
    void run(bool all)
    {
        auto due = std::move(ends_);
        ends_.clear();
        for (auto &[when, what] : due) {
            if (all || when <= timers_.now())
                what();
            else
                ends_.emplace_back(when, std::move(what));
        }
    }

    const TimerService &timers_;
    std::vector<std::pair<Instant, std::function<void()>>> ends_;
};

} // namespace kelptally::model
