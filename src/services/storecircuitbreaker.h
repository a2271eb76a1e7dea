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

// Circuit breaker in front of the table service, shared by all calls of one process. While the
// service is unavailable, reads and requests for changes are queued here. One trial call at a time
// checks whether the service has recovered. With its answer the queued calls are sent: all at once
// on new connections, or, after a refusal, at the rate at which answers arrive.
//
// Writes are never sent twice. A write that is in flight when the service recovers ends with an
// unknown outcome, and its caller must read back.
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
        // Maximum time for which a read or a write is queued before it is sent.
        Duration timeout;
        // Opens and closes a connection to the service; passes whether that succeeded.
        std::function<void(std::function<void(bool)>)> probe;
        // Ends the calls in flight at the table service whose answers are not arriving, and closes
        // their connections.
        std::function<void()> abortOpenCalls;
        // Returns a random number from 0 to 1.
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

    // Whether the service answers, so that calls are sent at once.
    bool isAnswering() const { return health_.state() == decision::StoreState::Answering; }
    // Whether the service is unresponsive: calls are queued, and those in flight are likely to time
    // out.
    bool isSilent() const { return health_.state() == decision::StoreState::Silent; }
    // Adds a callback for each recovery of the service; it gets the length of the outage.
    void onRecovery(std::function<void(Duration)> callback)
    {
        recoveryCallbacks_.push_back(std::move(callback));
    }

private:
    // A caller's call with all its attempts.
    struct Call
    {
        // Sends the call. The service may delay its answer by the long poll time.
        std::function<void(const std::shared_ptr<Call> &, Duration longPollTime)> send;
        std::function<void(const absl::Status &)> fail;
        // The caller's, and that of the current attempt.
        Duration requestedLongPollTime {0};
        Duration longPollTime {0};
        // The call fails if it was not sent by then; Instant::max() for requests for changes.
        Instant deadline = Instant::max();
        bool isRetryable = true;
        bool done = false;
        bool waiting = false;
        // Whether it counts in openReads_.
        bool holdsSlot = false;
        Instant sentAt {};
        int attempts = 0;
        // Of the current attempt, and the time until its answer began to arrive.
        AnswerProgress progress;
        Duration latency {0};
        TimerId timeoutTimer = 0;
        TimerId deadlineTimer = 0;
    };
    using CallPtr = std::shared_ptr<Call>;

    template <typename Result, typename Send>
    void submit(Send send, AnswerCallback<Result> callback, Duration longPollTime,
                std::optional<Duration> limit, bool isRetryable);
    void launchOrWait(const CallPtr &call);
    void launch(const CallPtr &call, Duration longPollTime);
    void wait(const CallPtr &call);
    // Returns whether the result goes to the caller.
    bool onResult(const CallPtr &call, int attemptNumber, const absl::Status &status);
    void readPage();
    void onPage(absl::StatusOr<TablePage> page);
    void onCallTimeout(const CallPtr &call);
    void startCallTimeout(const CallPtr &call, Duration timeout);
    // Returns whether the progress is that of the current attempt.
    bool onProgress(const CallPtr &call, int attemptNumber, const AnswerProgress &progress);
    // Whether an answer to the call shows that the service accepts calls now.
    bool isCurrent(const Call &call) const;
    void onAnswered(Duration latency);
    void recordFailure(const Call &call, const absl::Status &status, Duration latency);
    // Reports a lost service, with the call that revealed it, if the state has changed.
    void onLost(const Call &call, bool changed);
    void abortOpenCalls();
    void scheduleRecoveryAttempt();
    void tryRecovery();
    void launchTrial();
    void finishRecovery(Duration outage);
    bool mayLaunch(const Call &call) const;
    // Sends queued calls, up to the limit of calls in flight.
    void launchWaiting();
    // Takes the call out of openReads_.
    void releaseSlot(Call &call);

    const Parts parts_;
    decision::StoreHealth health_;
    // Snapshots that were asked for. The first is being read, page by page.
    struct SnapshotRead
    {
        std::string table;
        TableSnapshot collected;
        SnapshotCallback callback;
    };
    std::deque<SnapshotRead> snapshotReads_;
    std::deque<CallPtr> waiting_;
    // Reads in flight, requests for changes excluded.
    std::size_t openReads_ = 0;
    // Time of the service's last refusal.
    Instant refusedAt_ {};
    std::vector<std::function<void(Duration)>> recoveryCallbacks_;
    bool recoveryAttemptScheduled_ = false;
    bool launchScheduled_ = false;
    // The last trial call; it may have ended.
    CallPtr trial_;
    // Whether the calls in flight were aborted during the current outage.
    bool hasAbortedOpenCalls_ = false;
    // Set while calls are aborted here, whose failures are no sign of the service's state.
    bool isAbortingOpenCalls_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::services
