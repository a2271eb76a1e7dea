#include "core/dutythread.h"

#include <boost/asio/basic_waitable_timer.hpp>

#include <pthread.h>

#include <map>

namespace kelptally {

using BootTimer = boost::asio::basic_waitable_timer<BootClock>;

struct AsioTimerService::Private
{
    struct Entry
    {
        explicit Entry(boost::asio::io_context &context) : timer(context) { }
        BootTimer timer;
        Instant dueAt {};
        Callback callback;
        Duration period {0};
    };

    explicit Private(boost::asio::io_context &theContext) : context(theContext) { }

    TimerId add(Instant when, Duration period, Callback callback)
    {
        const TimerId id = ++lastId;
        auto entry = std::make_shared<Entry>(context);
        entry->callback = std::move(callback);
        entry->period = period;
        entry->timer.expires_at(when);
        entry->dueAt = std::max(when, BootClock::now());
        entries.emplace(id, entry);
        wait(id, entry);
        return id;
    }

    void wait(TimerId id, const std::shared_ptr<Entry> &entry)
    {
        entry->timer.async_wait([this, id, entry](const boost::system::error_code &error) {
            if (!error && entries.count(id) != 0)
                fire(id, entry);
        });
    }

    // Rearms a periodic timer before its callback runs, so that the callback can cancel it.
    void fire(TimerId id, const std::shared_ptr<Entry> &entry)
    {
        const Instant now = BootClock::now();
        if (onLate && now - entry->dueAt >= lateThreshold)
            onLate(now - entry->dueAt);
        if (entry->period.count() == 0) {
            entries.erase(id);
        } else {
            entry->dueAt = std::max(entry->timer.expiry() + entry->period, now);
            entry->timer.expires_at(entry->dueAt);
            wait(id, entry);
        }
        entry->callback();
    }

    boost::asio::io_context &context;
    TimerId lastId = 0;
    std::map<TimerId, std::shared_ptr<Entry>> entries;
    Duration lateThreshold {0};
    std::function<void(Duration)> onLate;
};

AsioTimerService::AsioTimerService(boost::asio::io_context &context)
    : d_(std::make_unique<Private>(context))
{ }

AsioTimerService::~AsioTimerService() = default;

TimerId AsioTimerService::subscribeAt(Instant when, Callback callback)
{
    return d_->add(when, Duration(0), std::move(callback));
}

TimerId AsioTimerService::subscribeEvery(Duration period, Callback callback)
{
    return d_->add(now() + period, period, std::move(callback));
}

void AsioTimerService::cancel(TimerId id)
{
    const auto found = d_->entries.find(id);
    if (found == d_->entries.end())
        return;
    const auto entry = found->second;
    d_->entries.erase(found);
    entry->timer.cancel();
}

void AsioTimerService::reportLateness(Duration threshold,
                                      std::function<void(Duration lateness)> callback)
{
    d_->lateThreshold = threshold;
    d_->onLate = std::move(callback);
}

DutyThread::DutyThread(std::string name)
    : name_(std::move(name)), work_(boost::asio::make_work_guard(context_))
{ }

DutyThread::~DutyThread()
{
    stop();
}

void DutyThread::start()
{
    thread_ = std::thread([this] { context_.run(); });
    pthread_setname_np(thread_.native_handle(), name_.c_str());
}

void DutyThread::stop()
{
    work_.reset();
    context_.stop();
    if (thread_.joinable())
        thread_.join();
}

} // namespace kelptally
