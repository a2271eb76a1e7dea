#include "services/storegate.h"

#include <prometheus/counter.h>

#include <algorithm>
#include <optional>

namespace kelptally::services {

namespace {

// A process has a handful of readers, and a read for each group that it looks for an owner of.
constexpr std::size_t maxWaiting = 1024;
// After a loss this long, questions that are still open were asked before it, and are asked again.
constexpr Duration longLoss = std::chrono::seconds(1);

// The service has answered, and what it said is for the caller.
bool isAnswer(const absl::Status &status)
{
    return status.ok() || absl::IsOutOfRange(status) || absl::IsFailedPrecondition(status)
        || absl::IsInternal(status) || absl::IsInvalidArgument(status);
}

} // namespace

StoreGate::StoreGate(Parts parts) : parts_(std::move(parts)) { }

StoreGate::~StoreGate()
{
    *alive_ = false;
}

template <typename Result, typename Send>
void StoreGate::submit(Send send, std::function<void(absl::StatusOr<Result>)> callback,
                       Duration hold, std::optional<Duration> limit, bool repeats)
{
    auto call = std::make_shared<Call>();
    call->wantedHold = hold;
    call->repeats = repeats;
    if (limit)
        call->until = parts_.timers.now() + *limit;
    call->fail = [callback](const absl::Status &status) { callback(status); };
    call->send = [this, alive = alive_, send = std::move(send), callback](const CallPtr &sent,
                                                                          Duration held) {
        const int sending = sent->sendings;
        const auto answer = [this, alive, sent, sending, callback](absl::StatusOr<Result> result) {
            if (*alive && onResult(sent, sending, result.status()))
                callback(std::move(result));
        };
        send(held, answer);
    };
    place(call);
}

void StoreGate::place(const CallPtr &call)
{
    const bool silent = health_.state() == decision::StoreState::Silent;
    // A write that is refused at once tells its caller so: another host may do what this one can't.
    const bool isFirst = waiting_.empty() || call->wantedHold > Duration(0);
    if ((answers() && isFirst && mayLaunch(*call)) || (!call->repeats && (answers() || !silent)))
        return launch(call, call->wantedHold);
    wait(call);
}

// A question for changes stays open for as long as nothing happens, and so is not counted.
bool StoreGate::mayLaunch(const Call &call) const
{
    return call.wantedHold > Duration(0) || open_ < health_.maxOpenCalls();
}

void StoreGate::uncount(Call &call)
{
    if (call.counted)
        --open_;
    call.counted = false;
}

void StoreGate::launch(const CallPtr &call, Duration hold)
{
    call->waiting = false;
    call->hold = hold;
    call->sentAt = parts_.timers.now();
    ++call->sendings;
    uncount(*call);
    // A write goes out in any case, and one that hangs must not hold up reads.
    call->counted = hold == Duration(0) && call->repeats;
    if (call->counted)
        ++open_;
    parts_.timers.cancel(call->expiry);
    parts_.timers.cancel(call->overdue);
    const Duration callTimeout =
        call == trial_ ? health_.trialTimeout(call->sentAt) : health_.callTimeout();
    call->overdue = parts_.timers.subscribeAfter(hold + callTimeout, [this, alive = alive_, call] {
        if (*alive)
            onOverdue(call);
    });
    call->send(call, hold);
}

void StoreGate::wait(const CallPtr &call)
{
    parts_.timers.cancel(call->overdue);
    uncount(*call);
    const bool full = waiting_.size() >= maxWaiting;
    if (full || parts_.timers.now() >= call->until) {
        call->done = true;
        call->fail(absl::UnavailableError(full ? "too many calls wait for the table service"
                                               : "the table service does not answer"));
        return;
    }
    call->waiting = true;
    waiting_.push_back(call);
    if (call->until != Instant::max())
        call->expiry = parts_.timers.subscribeAt(call->until, [this, alive = alive_, call] {
            if (!*alive || !call->waiting || call->done)
                return;
            waiting_.erase(std::remove(waiting_.begin(), waiting_.end(), call), waiting_.end());
            call->done = true;
            call->fail(absl::UnavailableError("the table service does not answer"));
        });
    scheduleAttempt();
}

bool StoreGate::onResult(const CallPtr &call, int sending, const absl::Status &status)
{
    // An earlier sending may be answered while the call waits or is sent again.
    const Duration took = std::max(Duration(0), parts_.timers.now() - call->sentAt - call->hold);
    if (sending == call->sendings)
        uncount(*call);
    // What was sent before a refusal tells nothing of the limit that was met since.
    const bool isNews =
        health_.state() != decision::StoreState::Refusing || call->sentAt >= refusedAt_;
    if (isAnswer(status) && isNews)
        onAnswered(took);
    // That an earlier one is given up tells nothing: a call that had hung since the silence would
    // make the service count as lost again a moment after its return.
    const bool isOld = !isAnswer(status) && sending != call->sendings;
    if (call->done || isOld)
        return false;
    if (isAnswer(status) || !call->repeats) {
        call->done = true;
        call->waiting = false;
        waiting_.erase(std::remove(waiting_.begin(), waiting_.end(), call), waiting_.end());
        parts_.timers.cancel(call->overdue);
        parts_.timers.cancel(call->expiry);
    }
    // A call whose time is over is failed by wait(), which tells the caller: told once more,
    // whoever reads again after a failure would have two readers in place of one, and then four.
    const bool tellsCaller = call->done;
    if (!isAnswer(status)) {
        noteFailure(*call, status, took);
        if (!call->done && !call->waiting)
            wait(call);
    }
    return tellsCaller;
}

// A refusal comes at once; what fails late was not answered, or no connection could be opened.
void StoreGate::noteFailure(const Call &call, const absl::Status &status, Duration took)
{
    if (givingUp_)
        return;
    const Instant now = parts_.timers.now();
    const bool silent = absl::IsDeadlineExceeded(status) || took >= health_.callTimeout() / 2;
    if (silent)
        return onLost(call, health_.onTimeout(now));
    if (!absl::IsUnavailable(status))
        return onLost(call, health_.onConnectionLost(now));
    refusedAt_ = now;
    onLost(call, health_.onRefusal(now));
}

// Their callers are not told of reads: those wait, and are sent again.
void StoreGate::giveUpOpenCalls()
{
    givingUp_ = true;
    parts_.giveUpOpenCalls();
    givingUp_ = false;
}

// The answer of this sending may still come, and counts then; a read is sent again meanwhile.
void StoreGate::onOverdue(const CallPtr &call)
{
    if (call->done || call->waiting)
        return;
    onLost(*call, health_.onTimeout(parts_.timers.now()));
    if (call->repeats)
        wait(call);
    else
        scheduleAttempt();
}

void StoreGate::onLost(const Call &call, bool changed)
{
    if (!changed)
        return;
    const char *state = storeStateName(health_.state());
    parts_.metrics
        .counter("kelptally_store_losses_total", "Times that the table service was lost",
                 {{"state", state}})
        .Increment();
    parts_.log.warning("store_lost", state)
        .with("waiting", std::uint64_t(waiting_.size()))
        .with("asked_ms", parts_.timers.now() - call.sentAt)
        .with("held_ms", call.hold)
        .with("sendings", call.sendings)
        .with("repeats", call.repeats);
}

void StoreGate::onAnswered(Duration took)
{
    const Instant lost = health_.unavailableSince();
    if (!health_.onAnswer(took)) {
        // Not from within an answer: whoever gets it comes first.
        if (!waiting_.empty() && !launchPlanned_) {
            launchPlanned_ = true;
            parts_.timers.subscribeAt(parts_.timers.now(), [this, alive = alive_] {
                if (!*alive)
                    return;
                launchPlanned_ = false;
                launchWaiting();
            });
        }
        return;
    }
    const Duration lostFor = parts_.timers.now() - lost;
    // What is asked from now on is answered.
    if (lostFor >= longLoss)
        giveUpOpenCalls();
    trial_ = nullptr;
    gaveUp_ = false;
    parts_.log.info("store_back")
        .with("lost_ms", lostFor)
        .with("waiting", std::uint64_t(waiting_.size()));
    // Not from within an answer: whoever gets it comes first.
    parts_.timers.subscribeAt(parts_.timers.now(), [this, alive = alive_, lostFor] {
        if (*alive && answers())
            wake(lostFor);
    });
}

void StoreGate::wake(Duration lostFor)
{
    launchWaiting();
    for (const auto &callback : whenBack_)
        callback(lostFor);
}

void StoreGate::launchWaiting()
{
    if (!answers())
        return;
    std::deque<CallPtr> calls;
    calls.swap(waiting_);
    for (const CallPtr &call : calls) {
        if (call->done)
            continue;
        if (mayLaunch(*call))
            launch(call, call->wantedHold);
        else
            waiting_.push_back(call);
    }
}

void StoreGate::scheduleAttempt()
{
    if (attemptPlanned_ || answers())
        return;
    attemptPlanned_ = true;
    const Duration pause = health_.retryDelay(parts_.timers.now(), parts_.draw());
    parts_.timers.subscribeAfter(pause, [this, alive = alive_] {
        if (!*alive)
            return;
        attemptPlanned_ = false;
        attempt();
    });
}

void StoreGate::attempt()
{
    if (answers())
        return;
    scheduleAttempt();
    const bool isTrying = trial_ && !trial_->done && !trial_->waiting;
    if (isTrying)
        return;
    if (health_.state() == decision::StoreState::Refusing)
        return tryOne();
    parts_.probe([this, alive = alive_](bool reached) {
        if (!*alive || !reached || health_.state() != decision::StoreState::Silent)
            return;
        // The way is open again, and none of the open connections has said anything: they may
        // never. Once: the answers of a slow service come late.
        if (!gaveUp_)
            giveUpOpenCalls();
        gaveUp_ = true;
        tryOne();
    });
}

// One call finds out for all. A question for changes asks to be answered at once.
void StoreGate::tryOne()
{
    if (answers())
        return;
    const auto found = std::find_if(waiting_.begin(), waiting_.end(),
                                    [](const CallPtr &call) { return call->repeats; });
    // Nothing waits that could be sent twice. Whatever is asked next finds out more, and goes out
    // at once: the writes that a silent service keeps waiting, or the first read of a host that was
    // turned away, one at a time.
    if (found == waiting_.end())
        return onAnswered(Duration(0));
    trial_ = *found;
    waiting_.erase(found);
    launch(trial_, Duration(0));
}

void StoreGate::read(const std::string &table, const std::string &key, RowCallback callback)
{
    submit<std::optional<TableRow>>(
        [this, table, key](Duration, RowCallback answer) {
            parts_.table.read(table, key, std::move(answer));
        },
        std::move(callback), Duration(0), parts_.timeout, true);
}

void StoreGate::list(const std::string &table, const std::string &prefix, RowsCallback callback)
{
    submit<std::vector<TableRow>>(
        [this, table, prefix](Duration, RowsCallback answer) {
            parts_.table.list(table, prefix, std::move(answer));
        },
        std::move(callback), Duration(0), parts_.timeout, true);
}

void StoreGate::write(std::vector<ConditionalWrite> writes, WriteCallback callback)
{
    submit<std::vector<std::string>>(
        [this, writes = std::move(writes)](Duration, WriteCallback answer) {
            parts_.table.write(writes, std::move(answer));
        },
        std::move(callback), Duration(0), parts_.timeout, false);
}

// One table after the other and page by page, each with a call's time of its own: when all hosts
// start at once the bytes of a whole table take longer than a service may be silent.
void StoreGate::snapshot(const std::string &table, SnapshotCallback callback)
{
    readings_.push_back({table, {}, std::move(callback)});
    if (readings_.size() == 1)
        readPage();
}

void StoreGate::readPage()
{
    const Reading &reading = readings_.front();
    submit<TablePage>(
        [this, table = reading.table, from = reading.gathered.nextKey()](
            Duration, PageCallback answer) { parts_.feed.page(table, from, std::move(answer)); },
        [this, alive = alive_](absl::StatusOr<TablePage> page) {
            if (*alive)
                onPage(std::move(page));
        },
        Duration(0), std::nullopt, true);
}

void StoreGate::onPage(absl::StatusOr<TablePage> page)
{
    Reading &reading = readings_.front();
    const absl::Status status = page.status();
    const bool isLast = !status.ok() || page->isLast;
    if (status.ok())
        reading.gathered.add(*std::move(page));
    if (!isLast)
        return readPage();
    const Reading done = std::move(reading);
    readings_.pop_front();
    if (!readings_.empty())
        readPage();
    if (status.ok())
        done.callback(done.gathered);
    else
        done.callback(status);
}

void StoreGate::changes(const std::string &table, std::uint64_t after, Duration wait,
                        ChangesCallback callback)
{
    submit<TableChanges>(
        [this, table, after](Duration hold, ChangesCallback answer) {
            parts_.feed.changes(table, after, hold, std::move(answer));
        },
        std::move(callback), wait, std::nullopt, true);
}

} // namespace kelptally::services
