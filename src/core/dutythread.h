#pragma once

#include "core/ring.h"
#include "core/timerservice.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace kelptally {

// Timer service on the I/O context of a duty thread. Used on that thread only.
class AsioTimerService : public TimerService
{
public:
    explicit AsioTimerService(boost::asio::io_context &context);
    ~AsioTimerService() override;

    Instant now() const override { return BootClock::now(); }
    TimerId subscribeAt(Instant when, Callback callback) override;
    TimerId subscribeEvery(Duration period, Callback callback) override;
    void cancel(TimerId id) override;

    // Calls back for each timer that fires at least this long after it was due.
    void reportLateness(Duration threshold, std::function<void(Duration lateness)> callback);

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

// A thread that runs the event loop of its own I/O context until stopped.
class DutyThread
{
public:
    // The name is the thread's name in the operating system: at most 15 characters.
    explicit DutyThread(std::string name);
    ~DutyThread();
    DutyThread(const DutyThread &) = delete;
    DutyThread &operator=(const DutyThread &) = delete;

    void start();
    // Stops the event loop after the running handler and joins. Called from another thread.
    void stop();

    boost::asio::io_context &context() { return context_; }
    AsioTimerService &timers() { return timers_; }

private:
    const std::string name_;
    boost::asio::io_context context_ {1};
    AsioTimerService timers_ {context_};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

// A bounded queue into a duty thread: items pushed from any thread are handled there in order.
template <typename T>
class Inbox
{
public:
    using Handler = std::function<void(T &&)>;

    Inbox(DutyThread &thread, std::size_t capacity, Handler handler)
        : context_(thread.context()), handler_(std::move(handler)),
          ring_(capacity, [this] { boost::asio::post(context_, [this] { drain(); }); })
    { }

    // Returns false, and does not move from the item, when the queue is full.
    bool tryPush(T &&item) { return ring_.tryPush(std::move(item)); }

    std::size_t size() const { return ring_.size(); }

private:
    void drain()
    {
        ring_.takeAll(batch_);
        for (T &item : batch_)
            handler_(std::move(item));
        batch_.clear();
    }

    boost::asio::io_context &context_;
    const Handler handler_;
    Ring<T> ring_;
    std::vector<T> batch_;
};

} // namespace kelptally
