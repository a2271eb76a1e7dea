#pragma once

#include "core/manualtimerservice.h"

#include <functional>
#include <map>
#include <memory>

namespace kelptally {

// Timer service of one simulated host on a shared manual clock. Timers are delayed while the host
// is frozen and never fire once it is dead.
class HostTimers : public TimerService
{
public:
    explicit HostTimers(ManualTimerService &timers) : timers_(timers) { }
    ~HostTimers() override { *alive = false; }

    Instant now() const override { return timers_.now(); }
    TimerId subscribeAt(Instant when, Callback callback) override
    {
        const TimerId id = ++lastId_;
        callbacks_[id] = {std::move(callback), Duration(0)};
        arm(id, when);
        return id;
    }
    TimerId subscribeEvery(Duration period, Callback callback) override
    {
        const TimerId id = ++lastId_;
        callbacks_[id] = {std::move(callback), period};
        arm(id, now() + period);
        return id;
    }
    void cancel(TimerId id) override { callbacks_.erase(id); }

    // Runs the task on the host, after the end of a freeze.
    void post(std::function<void()> task) { subscribeAt(now(), std::move(task)); }

    Instant frozenUntil {};
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

private:
    struct Entry
    {
        Callback callback;
        Duration period {0};
    };

    void arm(TimerId id, Instant when)
    {
        timers_.subscribeAt(when, [this, alive = alive, id] {
            if (!*alive || callbacks_.count(id) == 0)
                return;
            if (now() < frozenUntil)
                return arm(id, frozenUntil);
            const Entry entry = callbacks_.at(id);
            if (entry.period == Duration(0))
                callbacks_.erase(id);
            else
                arm(id, now() + entry.period);
            entry.callback();
        });
    }

    ManualTimerService &timers_;
    TimerId lastId_ = 0;
    std::map<TimerId, Entry> callbacks_;
};

} // namespace kelptally
