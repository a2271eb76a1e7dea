#include "services/storecircuitbreaker.h"

#include <prometheus/counter.h>

#include <algorithm>
#include <optional>

namespace kelptally::services {

namespace {

constexpr std::size_t maxQueuedCalls = 1024;
// After an outage of at least this long, calls still in flight are aborted and sent again: they may
// never be answered.
constexpr Duration minOutageToAbortCalls = std::chrono::seconds(1);

// Whether the service has answered the call, be it with an error that the caller has to handle.
bool isAnswer(const absl::Status &status)
{
    return status.ok() || absl::IsOutOfRange(status) || absl::IsFailedPrecondition(status)
        || absl::IsInternal(status) || absl::IsInvalidArgument(status) || absl::IsCancelled(status);
}

} // namespace

StoreCircuitBreaker::StoreCircuitBreaker(Parts parts) : parts_(std::move(parts)) { }

StoreCircuitBreaker::~StoreCircuitBreaker()
{
    *alive_ = false;
}

template <typename Result, typename Send>
void StoreCircuitBreaker::submit(Send send, AnswerCallback<Result> callback, Duration longPollTime,
                                 std::optional<Duration> limit, bool isRetryable)
{
    auto call = std::make_shared<Call>();
    call->requestedLongPollTime = longPollTime;
    call->isRetryable = isRetryable;
    if (limit)
        call->deadline = parts_.timers.now() + *limit;
    call->fail = [callback](const absl::Status &status) { callback(status); };
    call->send = [this, alive = alive_, send = std::move(send), callback](const CallPtr &sent,
                                                                          Duration pollTime) {
        const int attemptNumber = sent->attempts;
        auto onAnswer = [this, alive, sent, attemptNumber,
                         callback](absl::StatusOr<Result> result) {
            if (*alive && onResult(sent, attemptNumber, result.status()))
                callback(std::move(result));
        };
        // An earlier attempt may have been answered meanwhile; the rest of this answer is not
        // needed.
        auto onPartialAnswer = [this, alive, sent, attemptNumber,
                                callback](const AnswerProgress &progress) {
            if (!*alive)
                return true;
            if (sent->done)
                return false;
            return !onProgress(sent, attemptNumber, progress) || callback.reportProgress(progress);
        };
        send(pollTime, AnswerCallback<Result>(std::move(onAnswer), std::move(onPartialAnswer)));
    };
    launchOrWait(call);
}

void StoreCircuitBreaker::launchOrWait(const CallPtr &call)
{
    const bool silent = health_.state() == decision::StoreState::Silent;
    // A write is sent also while the service refuses calls, so that its caller learns of the
    // refusal and another host can take over.
    const bool isFirst = waiting_.empty() || call->requestedLongPollTime > Duration(0);
    if ((isAnswering() && isFirst && mayLaunch(*call))
        || (!call->isRetryable && (isAnswering() || !silent)))
        return launch(call, call->requestedLongPollTime);
    wait(call);
}

// Requests for changes are long polls and don't count towards the limit.
bool StoreCircuitBreaker::mayLaunch(const Call &call) const
{
    return call.requestedLongPollTime > Duration(0) || openReads_ < health_.maxOpenCalls();
}

void StoreCircuitBreaker::releaseSlot(Call &call)
{
    if (call.holdsSlot)
        --openReads_;
    call.holdsSlot = false;
}

void StoreCircuitBreaker::launch(const CallPtr &call, Duration longPollTime)
{
    call->waiting = false;
    call->longPollTime = longPollTime;
    call->sentAt = parts_.timers.now();
    ++call->attempts;
    call->progress = {};
    releaseSlot(*call);
    // Writes are not counted, so that one that hangs doesn't block reads.
    call->holdsSlot = longPollTime == Duration(0) && call->isRetryable;
    if (call->holdsSlot)
        ++openReads_;
    parts_.timers.cancel(call->deadlineTimer);
    const Duration callTimeout =
        call == trial_ ? health_.trialTimeout(call->sentAt) : health_.callTimeout();
    startCallTimeout(call, longPollTime + callTimeout);
    call->send(call, longPollTime);
}

void StoreCircuitBreaker::startCallTimeout(const CallPtr &call, Duration timeout)
{
    parts_.timers.cancel(call->timeoutTimer);
    call->timeoutTimer = parts_.timers.subscribeAfter(timeout, [this, alive = alive_, call] {
        if (*alive)
            onCallTimeout(call);
    });
}

void StoreCircuitBreaker::wait(const CallPtr &call)
{
    parts_.timers.cancel(call->timeoutTimer);
    releaseSlot(*call);
    const bool full = waiting_.size() >= maxQueuedCalls;
    if (full || parts_.timers.now() >= call->deadline) {
        call->done = true;
        call->fail(absl::UnavailableError(full ? "too many calls are waiting for the table service"
                                               : "the table service does not answer"));
        return;
    }
    call->waiting = true;
    waiting_.push_back(call);
    if (call->deadline != Instant::max())
        call->deadlineTimer =
            parts_.timers.subscribeAt(call->deadline, [this, alive = alive_, call] {
                if (!*alive || !call->waiting || call->done)
                    return;
                waiting_.erase(std::remove(waiting_.begin(), waiting_.end(), call), waiting_.end());
                call->done = true;
                call->fail(absl::UnavailableError("the table service does not answer"));
            });
    scheduleRecoveryAttempt();
}

bool StoreCircuitBreaker::onResult(const CallPtr &call, int attemptNumber,
                                   const absl::Status &status)
{
    // An earlier attempt may be answered while the call is queued or sent again.
    const Duration latency = call->progress.received != 0
        ? call->latency
        : std::max(Duration(0), parts_.timers.now() - call->sentAt - call->longPollTime);
    if (attemptNumber == call->attempts)
        releaseSlot(*call);
    if (isAnswer(status) && isCurrent(*call))
        onAnswered(latency);
    // The failure of an earlier attempt is ignored: it may have hung since the outage, and would
    // open the breaker again right after the recovery.
    const bool isStale = !isAnswer(status) && attemptNumber != call->attempts;
    if (call->done || isStale)
        return false;
    if (isAnswer(status) || !call->isRetryable) {
        call->done = true;
        call->waiting = false;
        waiting_.erase(std::remove(waiting_.begin(), waiting_.end(), call), waiting_.end());
        parts_.timers.cancel(call->timeoutTimer);
        parts_.timers.cancel(call->deadlineTimer);
    }
    // wait() fails a call past its deadline and calls back itself. A second callback would multiply
    // the reads of callers that retry after a failure.
    const bool reportsResult = call->done;
    if (!isAnswer(status)) {
        recordFailure(*call, status, latency);
        if (!call->done && !call->waiting)
            wait(call);
    }
    return reportsResult;
}

// Refusals arrive quickly; a late failure means that there was no answer or no connection.
void StoreCircuitBreaker::recordFailure(const Call &call, const absl::Status &status,
                                        Duration latency)
{
    if (isAbortingOpenCalls_)
        return;
    const Instant now = parts_.timers.now();
    const bool silent = absl::IsDeadlineExceeded(status) || latency >= health_.callTimeout() / 2;
    if (silent)
        return onLost(call, health_.onTimeout(now));
    if (!absl::IsUnavailable(status))
        return onLost(call, health_.onConnectionLost(now));
    refusedAt_ = now;
    onLost(call, health_.onRefusal(now));
}

// Ends the calls in flight. Reads are queued again without a callback.
void StoreCircuitBreaker::abortOpenCalls()
{
    isAbortingOpenCalls_ = true;
    parts_.abortOpenCalls();
    isAbortingOpenCalls_ = false;
}

// The answer to a call sent before a refusal does not show that the service accepts calls again.
bool StoreCircuitBreaker::isCurrent(const Call &call) const
{
    return health_.state() != decision::StoreState::Refusing || call.sentAt >= refusedAt_;
}

// The first bytes of an answer show that the service is available. The timeout then applies to each
// pause, as a large answer takes longer on a slow link.
bool StoreCircuitBreaker::onProgress(const CallPtr &call, int attemptNumber,
                                     const AnswerProgress &progress)
{
    if (attemptNumber != call->attempts || call->done || call->waiting)
        return false;
    const bool isFirst = call->progress.received == 0;
    call->progress = progress;
    startCallTimeout(call, health_.callTimeout());
    if (!isFirst)
        return true;
    call->latency = std::max(Duration(0), parts_.timers.now() - call->sentAt - call->longPollTime);
    if (isCurrent(*call))
        onAnswered(call->latency);
    return true;
}

// A read is queued again. A late answer to the attempt that timed out still counts.
void StoreCircuitBreaker::onCallTimeout(const CallPtr &call)
{
    if (call->done || call->waiting)
        return;
    const char *received = call->progress.received == 0 ? "nothing" : "part";
    parts_.metrics
        .counter("kelptally_store_timeouts_total",
                 "Calls of the table service that timed out, by what had arrived of the answer",
                 {{"received", received}})
        .Increment();
    parts_.log.info("store_call_timed_out", received)
        .with("after_ms", parts_.timers.now() - call->sentAt)
        .with("received_bytes", std::uint64_t(call->progress.received))
        .with("body_bytes", std::uint64_t(call->progress.bodySize))
        .with("sendings", call->attempts);
    onLost(*call, health_.onTimeout(parts_.timers.now()));
    if (call->isRetryable)
        wait(call);
    else
        scheduleRecoveryAttempt();
}

void StoreCircuitBreaker::onLost(const Call &call, bool changed)
{
    if (!changed)
        return;
    const char *state = storeStateName(health_.state());
    parts_.metrics
        .counter("kelptally_store_losses_total", "Times that the table service became unavailable",
                 {{"state", state}})
        .Increment();
    parts_.log.warning("store_lost", state)
        .with("waiting", std::uint64_t(waiting_.size()))
        .with("asked_ms", parts_.timers.now() - call.sentAt)
        .with("held_ms", call.longPollTime)
        .with("sendings", call.attempts)
        .with("received_bytes", std::uint64_t(call.progress.received))
        .with("body_bytes", std::uint64_t(call.progress.bodySize))
        .with("repeats", call.isRetryable);
}

void StoreCircuitBreaker::onAnswered(Duration latency)
{
    const Instant lostAt = health_.unavailableSince();
    if (!health_.onAnswer(latency)) {
        // Deferred, so that the caller of the answered call is called back first.
        if (!waiting_.empty() && !launchScheduled_) {
            launchScheduled_ = true;
            parts_.timers.subscribeAt(parts_.timers.now(), [this, alive = alive_] {
                if (!*alive)
                    return;
                launchScheduled_ = false;
                launchWaiting();
            });
        }
        return;
    }
    const Duration outage = parts_.timers.now() - lostAt;
    if (outage >= minOutageToAbortCalls)
        abortOpenCalls();
    trial_ = nullptr;
    hasAbortedOpenCalls_ = false;
    parts_.log.info("store_back")
        .with("lost_ms", outage)
        .with("waiting", std::uint64_t(waiting_.size()));
    // Deferred, so that the caller of the answered call is called back first.
    parts_.timers.subscribeAt(parts_.timers.now(), [this, alive = alive_, outage] {
        if (*alive && isAnswering())
            finishRecovery(outage);
    });
}

void StoreCircuitBreaker::finishRecovery(Duration outage)
{
    launchWaiting();
    for (const auto &callback : recoveryCallbacks_)
        callback(outage);
}

void StoreCircuitBreaker::launchWaiting()
{
    if (!isAnswering())
        return;
    std::deque<CallPtr> calls;
    calls.swap(waiting_);
    for (const CallPtr &call : calls) {
        if (call->done)
            continue;
        if (mayLaunch(*call))
            launch(call, call->requestedLongPollTime);
        else
            waiting_.push_back(call);
    }
}

void StoreCircuitBreaker::scheduleRecoveryAttempt()
{
    if (recoveryAttemptScheduled_ || isAnswering())
        return;
    recoveryAttemptScheduled_ = true;
    const Duration delay = health_.retryDelay(parts_.timers.now(), parts_.jitter());
    parts_.timers.subscribeAfter(delay, [this, alive = alive_] {
        if (!*alive)
            return;
        recoveryAttemptScheduled_ = false;
        tryRecovery();
    });
}

void StoreCircuitBreaker::tryRecovery()
{
    if (isAnswering())
        return;
    scheduleRecoveryAttempt();
    const bool isTrialOpen = trial_ && !trial_->done && !trial_->waiting;
    if (isTrialOpen)
        return;
    if (health_.state() == decision::StoreState::Refusing)
        return launchTrial();
    parts_.probe([this, alive = alive_](bool reached) {
        if (!*alive || !reached || health_.state() != decision::StoreState::Silent)
            return;
        // New connections work, but open ones may stay silent. Their calls are aborted only once
        // per outage, as a slow service may still answer later ones.
        if (!hasAbortedOpenCalls_)
            abortOpenCalls();
        hasAbortedOpenCalls_ = true;
        launchTrial();
    });
}

// Sends one queued call to find out whether the service has recovered, without long polling.
void StoreCircuitBreaker::launchTrial()
{
    if (isAnswering())
        return;
    const auto found = std::find_if(waiting_.begin(), waiting_.end(),
                                    [](const CallPtr &call) { return call->isRetryable; });
    // No retryable call is queued. Closes the breaker, so that the queued writes or the next call
    // serve as the trial.
    if (found == waiting_.end())
        return onAnswered(Duration(0));
    trial_ = *found;
    waiting_.erase(found);
    launch(trial_, Duration(0));
}

void StoreCircuitBreaker::read(const std::string &table, const std::string &key,
                               RowCallback callback)
{
    submit<std::optional<TableRow>>(
        [this, table, key](Duration, RowCallback answer) {
            parts_.table.read(table, key, std::move(answer));
        },
        std::move(callback), Duration(0), parts_.timeout, true);
}

void StoreCircuitBreaker::list(const std::string &table, const std::string &prefix,
                               RowsCallback callback)
{
    submit<std::vector<TableRow>>(
        [this, table, prefix](Duration, RowsCallback answer) {
            parts_.table.list(table, prefix, std::move(answer));
        },
        std::move(callback), Duration(0), parts_.timeout, true);
}

void StoreCircuitBreaker::write(std::vector<ConditionalWrite> writes, WriteCallback callback)
{
    submit<std::vector<std::string>>(
        [this, writes = std::move(writes)](Duration, WriteCallback answer) {
            parts_.table.write(writes, std::move(answer));
        },
        std::move(callback), Duration(0), parts_.timeout, false);
}

// Reads one table after the other and page by page, each page with its own timeout: when many hosts
// start together a whole table takes longer than the timeout of a call.
void StoreCircuitBreaker::snapshot(const std::string &table, SnapshotCallback callback)
{
    snapshotReads_.push_back({table, {}, std::move(callback)});
    if (snapshotReads_.size() == 1)
        readPage();
}

void StoreCircuitBreaker::readPage()
{
    const SnapshotRead &current = snapshotReads_.front();
    submit<TablePage>(
        [this, table = current.table, from = current.collected.nextKey()](
            Duration, PageCallback answer) { parts_.feed.page(table, from, std::move(answer)); },
        [this, alive = alive_](absl::StatusOr<TablePage> page) {
            if (*alive)
                onPage(std::move(page));
        },
        Duration(0), std::nullopt, true);
}

void StoreCircuitBreaker::onPage(absl::StatusOr<TablePage> page)
{
    SnapshotRead &current = snapshotReads_.front();
    const absl::Status status = page.status();
    const bool isLast = !status.ok() || page->isLast;
    if (status.ok())
        current.collected.add(*std::move(page));
    if (!isLast)
        return readPage();
    const SnapshotRead done = std::move(current);
    snapshotReads_.pop_front();
    if (!snapshotReads_.empty())
        readPage();
    if (status.ok())
        done.callback(done.collected);
    else
        done.callback(status);
}

void StoreCircuitBreaker::changes(const std::string &table, std::uint64_t after, Duration wait,
                                  ChangesCallback callback)
{
    submit<TableChanges>(
        [this, table, after](Duration longPollTime, ChangesCallback answer) {
            parts_.feed.changes(table, after, longPollTime, std::move(answer));
        },
        std::move(callback), wait, std::nullopt, true);
}

} // namespace kelptally::services
