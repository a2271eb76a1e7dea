#pragma once

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/timerservice.h"
#include "decision/storehealth.h"
#include "services/tableservice.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace kelptally::services {

// The table service as one process sees it: all calls go through here, and what one of them learns
// counts for all. While the service is lost, reads and questions for changes wait here instead of
// being sent; one attempt at a time looks for its return, and with the first answer everything that
// waits is sent at once on new connections, or, where the service had refused, as fast as answers
// come.
//
// Writes are never sent twice. One that is open when the service comes back ends with an outcome
// that is not known, and its caller settles it by reading back.
class StoreCircuitBreaker : public TableService, public TableFeed
{
public:
    struct Parts
    {
        TimerService &timers;
        TableService &table;
        TableFeed &feed;
        EventLog &log;
        Metrics &metrics;
        // Longest that a read or a write waits here before it is sent.
        Duration timeout;
        // Opens a connection to the service and closes it; true when that worked.
        std::function<void(std::function<void(bool)>)> probe;
        // Ends all calls that are open at the service below and closes its connections.
        std::function<void()> abortOpenCalls;
        // Between 0 and 1, another one each time and for each host.
        std::function<double()> jitter;
    };

    explicit StoreCircuitBreaker(Parts parts);
    ~StoreCircuitBreaker() override;

    void read(const std::string &table, const std::string &key, RowCallback callback) override;
    void list(const std::string &table, const std::string &prefix, RowsCallback callback) override;
    void write(std::vector<ConditionalWrite> writes, WriteCallback callback) override;
    void snapshot(const std::string &table, SnapshotCallback callback) override;
    void changes(const std::string &table, std::uint64_t after, Duration wait,
                 ChangesCallback callback) override;

    // As far as is known: calls that are made now are sent.
    bool isAnswering() const { return health_.state() == decision::StoreState::Answering; }
    // Calls wait, and none of those that are open is likely to be answered.
    bool isSilent() const { return health_.state() == decision::StoreState::Silent; }
    // Called each time that the service is back, with how long it was lost.
    void onRecovery(std::function<void(Duration)> callback)
    {
        recoveryCallbacks_.push_back(std::move(callback));
    }

private:
    // One call of a caller, over all the times that it is sent.
    struct Call
    {
        // With the time for which the service may hold the answer back.
        std::function<void(const std::shared_ptr<Call> &, Duration longPollTime)> send;
        std::function<void(const absl::Status &)> fail;
        // As asked for, and in the sending that is under way.
        Duration requestedLongPollTime {0};
        Duration longPollTime {0};
        // No later than then it is sent, or fails; the end of time for questions for changes.
        Instant deadline = Instant::max();
        bool isRetryable = true;
        bool done = false;
        bool waiting = false;
        // Among those that are open.
        bool holdsSlot = false;
        Instant sentAt {};
        // Counts the times that it was sent.
        int attempts = 0;
        TimerId timeoutTimer = 0;
        TimerId deadlineTimer = 0;
    };
    using CallPtr = std::shared_ptr<Call>;

    template <typename Result, typename Send>
    void submit(Send send, std::function<void(absl::StatusOr<Result>)> callback,
                Duration longPollTime, std::optional<Duration> limit, bool isRetryable);
    void launchOrWait(const CallPtr &call);
    void launch(const CallPtr &call, Duration longPollTime);
    void wait(const CallPtr &call);
    // True when the result goes to the caller.
    bool onResult(const CallPtr &call, int attemptNumber, const absl::Status &status);
    void readPage();
    void onPage(absl::StatusOr<TablePage> page);
    void onCallTimeout(const CallPtr &call);
    void onAnswered(Duration latency);
    void recordFailure(const Call &call, const absl::Status &status, Duration latency);
    // With the call that showed it.
    void onLost(const Call &call, bool changed);
    void abortOpenCalls();
    void scheduleRecoveryAttempt();
    void tryRecovery();
    void launchTrial();
    void finishRecovery(Duration outage);
    bool mayLaunch(const Call &call) const;
    // Of those that wait, as many as may be open.
    void launchWaiting();
    // The call's sending is over.
    void releaseSlot(Call &call);

    const Parts parts_;
    decision::StoreHealth health_;
    // Tables that are read whole, the first one page by page.
    struct SnapshotRead
    {
        std::string table;
        TableSnapshot collected;
        SnapshotCallback callback;
    };
    std::deque<SnapshotRead> snapshotReads_;
    std::deque<CallPtr> waiting_;
    // Reads that are sent and not answered, questions for changes aside.
    std::size_t openReads_ = 0;
    // When the service refused a call last.
    Instant refusedAt_ {};
    std::vector<std::function<void(Duration)>> recoveryCallbacks_;
    bool recoveryAttemptScheduled_ = false;
    bool launchScheduled_ = false;
    // The call that looks for the service's return; it may long be over.
    CallPtr trial_;
    // In this loss the calls that were open have been given up.
    bool hasAbortedOpenCalls_ = false;
    // Open calls fail because they are given up, which tells nothing of the service.
    bool isAbortingOpenCalls_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::services
