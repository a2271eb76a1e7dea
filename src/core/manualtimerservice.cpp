#include "core/manualtimerservice.h"

#include <algorithm>

namespace kelptally {

TimerId ManualTimerService::subscribeAt(Instant when, Callback callback)
{
    const TimerId id = ++lastId_;
    entries_.emplace(Key(std::max(when, now_), id), Entry {std::move(callback), Duration(0)});
    return id;
}

TimerId ManualTimerService::subscribeEvery(Duration period, Callback callback)
{
    const TimerId id = ++lastId_;
    entries_.emplace(Key(now_ + period, id), Entry {std::move(callback), period});
    return id;
}

void ManualTimerService::cancel(TimerId id)
{
    const auto found = std::find_if(entries_.begin(), entries_.end(),
                                    [id](const auto &entry) { return entry.first.second == id; });
    if (found != entries_.end())
        entries_.erase(found);
}

void ManualTimerService::advance(Duration by)
{
    const Instant end = now_ + by;
    while (!entries_.empty() && entries_.begin()->first.first <= end)
        fireFirst();
    now_ = end;
}

bool ManualTimerService::advanceToNext()
{
    if (entries_.empty())
        return false;
    fireFirst();
    return true;
}

// Reinserts a periodic subscription before its callback runs, so that the callback can cancel it.
void ManualTimerService::fireFirst()
{
    const auto first = entries_.begin();
    const Key key = first->first;
    const Entry entry = std::move(first->second);
    entries_.erase(first);
    now_ = std::max(now_, key.first);
    if (entry.period.count() > 0)
        entries_.emplace(Key(key.first + entry.period, key.second), entry);
    entry.callback();
}

} // namespace kelptally
