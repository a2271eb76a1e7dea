#pragma once

#include "bench/loadcaller.h"
#include "bench/loadplan.h"
#include "bench/loadresult.h"
#include "core/dutythread.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace kelptally::bench {

// Issues the values of the counter and records when they are acknowledged. Shared by the workers of
// a run; thread-safe.
class CounterLedger
{
public:
    std::uint64_t next();
    void acknowledge(std::uint64_t number, Instant when);
    // Returns the highest number acknowledged at or before the instant, 0 if there is none.
    std::uint64_t acknowledgedBy(Instant when) const;

private:
    mutable std::mutex mutex_;
    std::uint64_t lastNumber_ = 0;
    struct Entry
    {
        Instant when;
        std::uint64_t number;
    };
    std::vector<Entry> entries_;
};

// Open-loop load generator: sends its share of the load at the planned times, independently of the
// answers, on a thread of its own.
class LoadWorker
{
public:
    using Observer = std::function<void(const LoadOutcome &)>;

    // The observer, if any, is called with each final outcome on the worker's thread.
    LoadWorker(const LoadPlan &plan, int index, std::string run, CounterLedger &counter,
               Observer observer);
    ~LoadWorker();

    void start(Instant at);
    // Starts no more requests. Requests in flight, and their retries, continue.
    void stopSending();
    bool idle() const { return inFlight_ == 0 && sendingDone_; }
    // Stops the thread. Requests still in flight count as unfinished.
    LoadResult stop();

private:
    struct Session
    {
        std::string token;
        // Newest acknowledged id of each group.
        std::map<std::string, std::string> lastIds;
    };
    struct Pending
    {
        LoadOutcome outcome;
        CallerRequest request;
        Session *session = nullptr;
        std::uint64_t counter = 0;
    };
    using PendingPtr = std::shared_ptr<Pending>;

    void sendDueRequests();
    void begin(Instant intended);
    std::size_t chooseStatement();
    std::string expandPlaceholders(const std::string &text, Pending &pending);
    void send(const PendingPtr &pending);
    void onAnswer(const PendingPtr &pending, const CallerAnswer &answer);
    bool retry(const PendingPtr &pending, const CallerAnswer &answer);
    void finish(Pending &pending, const CallerAnswer &answer);
    void check(const Pending &pending, const CallerAnswer &answer);
    Session *addSession();
    Session *acquireSession();

    const LoadPlan &plan_;
    const std::string run_;
    CounterLedger &counter_;
    const Observer observer_;
    DutyThread thread_;
    Caller caller_;
    std::mt19937_64 random_;
    std::exponential_distribution<double> interarrivalSeconds_;
    int totalWeight_ = 0;

    Instant startTime_;
    Instant nextArrival_;
    std::uint64_t lastId_ = 0;
    std::vector<std::unique_ptr<Session>> sessions_;
    std::vector<Session *> freeSessions_;
    LoadResult result_;
    std::atomic<bool> sendingDone_ {false};
    std::atomic<int> inFlight_ {0};
};

} // namespace kelptally::bench
