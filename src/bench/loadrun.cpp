#include "bench/loadrun.h"

#include <algorithm>
#include <thread>

namespace kelptally::bench {

namespace {

constexpr auto pollInterval = std::chrono::milliseconds(10);
// Time to start the threads before the first request is due.
constexpr auto startDelay = std::chrono::milliseconds(50);

} // namespace

std::string newRunName()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return "run" + std::to_string(now / std::chrono::microseconds(1));
}

LoadRun::LoadRun(const LoadPlan &plan, std::string run, const LoadWorker::Observer &observer)
    : plan_(plan)
{
    for (int i = 0; i < plan_.workers; ++i)
        workers_.push_back(std::make_unique<LoadWorker>(plan_, i, run, counter_, observer));
}

void LoadRun::start()
{
    const Instant at = BootClock::now() + startDelay;
    for (const auto &worker : workers_)
        worker->start(at);
}

LoadResult LoadRun::finish()
{
    for (const auto &worker : workers_)
        worker->stopSending();
    const Instant end = BootClock::now() + plan_.requestTimeout;
    const auto allIdle = [this] {
        return std::all_of(workers_.begin(), workers_.end(),
                           [](const auto &w) { return w->idle(); });
    };
    while (!allIdle() && BootClock::now() < end)
        std::this_thread::sleep_for(pollInterval);
    LoadResult result;
    for (const auto &worker : workers_)
        result.merge(worker->stop());
    return result;
}

} // namespace kelptally::bench
