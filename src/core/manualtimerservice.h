#pragma once

#include "core/timerservice.h"

#include <map>
#include <utility>

namespace kelptally {

// Timer service whose clock advances only on request. Subscriptions due at the same instant fire in
// the order they were made, so runs are deterministic.
class ManualTimerService : public TimerService
{
public:
    Instant now() const override { return now_; }
    TimerId subscribeAt(Instant when, Callback callback) override;
    TimerId subscribeEvery(Duration period, Callback callback) override;
    void cancel(TimerId id) override;

    // Advances the clock, firing each subscription at its own instant.
    void advance(Duration by);

    // Advances the clock to the next subscription and fires it. Returns false when there is none.
    bool advanceToNext();

private:
    struct Entry
    {
        Callback callback;
        Duration period {0};
    };
    using Key = std::pair<Instant, TimerId>;

    void fireFirst();

    Instant now_ {std::chrono::hours(1)};
    TimerId lastId_ = 0;
    std::map<Key, Entry> entries_;
};

} // namespace kelptally
