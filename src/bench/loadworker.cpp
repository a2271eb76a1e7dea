#include "bench/loadworker.h"

#include <algorithm>

namespace kelptally::bench {

namespace {

// Minimum delay before a retry.
constexpr Duration defaultRetryDelay = std::chrono::milliseconds(20);
constexpr int randomBound = 1000;

void replaceAll(std::string &text, std::string_view from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
}

} // namespace

std::uint64_t CounterLedger::next()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return ++lastNumber_;
}

// Keeps entries in ascending order of both time and number, for the binary search. A lower number
// that is acknowledged later doesn't change the maximum.
void CounterLedger::acknowledge(std::uint64_t number, Instant when)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (entries_.empty() || entries_.back().number < number)
        entries_.push_back({when, number});
}

std::uint64_t CounterLedger::acknowledgedBy(Instant when) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto later =
        std::upper_bound(entries_.begin(), entries_.end(), when,
                         [](Instant time, const Entry &entry) { return time < entry.when; });
    return later == entries_.begin() ? 0 : std::prev(later)->number;
}

LoadWorker::LoadWorker(const LoadPlan &plan, int index, std::string run, CounterLedger &counter,
                       Observer observer)
    : plan_(plan), run_(std::move(run)), counter_(counter), observer_(std::move(observer)),
      thread_("load-" + std::to_string(index)),
      caller_(thread_.context(), plan.entries, plan.callerKey,
              std::max(1, plan.connections / plan.workers)),
      random_(std::uint64_t(plan.seed) * 1000 + std::uint64_t(index)),
      interarrivalSeconds_(double(plan.rate) / plan.workers), lastId_(std::uint64_t(index) << 40)
{
    for (const LoadStatement &statement : plan.mix) {
        totalWeight_ += statement.weight;
        result_.statements.emplace_back();
        result_.statements.back().name = statement.name;
    }
    for (int i = 0; i < std::max(1, plan.sessions / plan.workers); ++i)
        freeSessions_.push_back(addSession());
}

LoadWorker::~LoadWorker()
{
    thread_.stop();
}

void LoadWorker::start(Instant at)
{
    startTime_ = at;
    nextArrival_ = at;
    thread_.timers().subscribeAt(at, [this] { sendDueRequests(); });
    thread_.start();
}

void LoadWorker::stopSending()
{
    sendingDone_ = true;
}

LoadResult LoadWorker::stop()
{
    thread_.stop();
    caller_.close();
    result_.unfinished = std::uint64_t(inFlight_.load());
    return result_;
}

// Arrival times don't depend on answers, so a slow answer doesn't delay other requests.
void LoadWorker::sendDueRequests()
{
    while (!sendingDone_ && nextArrival_ <= thread_.timers().now()) {
        begin(nextArrival_);
        nextArrival_ += Duration(std::int64_t(interarrivalSeconds_(random_) * 1e9) + 1);
    }
    if (!sendingDone_)
        thread_.timers().subscribeAt(nextArrival_, [this] { sendDueRequests(); });
}

std::size_t LoadWorker::chooseStatement()
{
    auto remaining = std::int64_t(random_() % std::uint64_t(totalWeight_));
    for (std::size_t i = 0; i < plan_.mix.size(); ++i) {
        remaining -= plan_.mix[i].weight;
        if (remaining < 0)
            return i;
    }
    return 0;
}

LoadWorker::Session *LoadWorker::addSession()
{
    sessions_.push_back(std::make_unique<Session>());
    return sessions_.back().get();
}

// Returns a session without a request in flight. Each session has at most one at a time.
LoadWorker::Session *LoadWorker::acquireSession()
{
    if (freeSessions_.empty())
        return addSession();
    const std::size_t index = random_() % freeSessions_.size();
    std::swap(freeSessions_[index], freeSessions_.back());
    Session *session = freeSessions_.back();
    freeSessions_.pop_back();
    return session;
}

std::string LoadWorker::expandPlaceholders(const std::string &text, Pending &pending)
{
    std::string value = text;
    if (value.find('{') == std::string::npos)
        return value;
    replaceAll(value, "{id}", pending.outcome.id);
    replaceAll(value, "{run}", run_);
    const std::string &group = plan_.mix[pending.outcome.statement].group;
    replaceAll(value, "{last}", pending.session->lastIds[group]);
    replaceAll(value, "{random}", std::to_string(random_() % randomBound));
    replaceAll(value, "{counter}", std::to_string(pending.counter));
    return value;
}

void LoadWorker::begin(Instant intended)
{
    auto pending = std::make_shared<Pending>();
    pending->outcome.statement = chooseStatement();
    pending->outcome.intended = intended;
    pending->outcome.id = run_ + "-" + std::to_string(++lastId_);
    pending->session = acquireSession();
    const LoadStatement &statement = plan_.mix[pending->outcome.statement];
    if (statement.check == LoadCheck::CounterWrite)
        pending->counter = counter_.next();
    std::vector<std::string> parameters;
    for (const std::string &parameter : statement.parameters)
        parameters.push_back(expandPlaceholders(parameter, *pending));
    pending->request.body = statementBody(statement.group, statement.kind, statement.sql,
                                          parameters, statement.statedAge, statement.deadline);
    if (statement.keyed)
        pending->request.idempotencyKey = pending->outcome.id;
    ++inFlight_;
    send(pending);
}

void LoadWorker::send(const PendingPtr &pending)
{
    CallerRequest request = pending->request;
    request.sessionToken = pending->session->token;
    caller_.send(std::move(request),
                 [this, pending](const CallerAnswer &answer) { onAnswer(pending, answer); });
}

void LoadWorker::onAnswer(const PendingPtr &pending, const CallerAnswer &answer)
{
    pending->outcome.answered = thread_.timers().now();
    if (!answer.sessionToken.empty())
        pending->session->token = answer.sessionToken;
    if (!retry(pending, answer))
        finish(*pending, answer);
}

// Retries a keyed statement with the same key if its outcome is unknown or the refusal is
// retryable. Returns whether a retry was scheduled.
bool LoadWorker::retry(const PendingPtr &pending, const CallerAnswer &answer)
{
    const bool needsRetry =
        !answer.good() && (answer.retryable || answer.executed == Executed::Unknown);
    const Instant now = thread_.timers().now();
    if (!needsRetry || !plan_.mix[pending->outcome.statement].keyed
        || now - pending->outcome.intended > plan_.requestTimeout)
        return false;
    ++pending->outcome.retries;
    const Duration delay = std::max(answer.retryAfter, defaultRetryDelay);
    thread_.timers().subscribeAfter(delay, [this, pending] { send(pending); });
    return true;
}

void LoadWorker::finish(Pending &pending, const CallerAnswer &answer)
{
    pending.outcome.good = answer.good();
    pending.outcome.fromReplica = answer.fromReplica;
    pending.outcome.reason = answer.reason;
    pending.outcome.executed = answer.executed;
    if (answer.good())
        check(pending, answer);
    result_.add(pending.outcome, startTime_);
    if (observer_)
        observer_(pending.outcome);
    freeSessions_.push_back(pending.session);
    --inFlight_;
}

void LoadWorker::check(const Pending &pending, const CallerAnswer &answer)
{
    const LoadStatement &statement = plan_.mix[pending.outcome.statement];
    std::string &lastId = pending.session->lastIds[statement.group];
    if (statement.keyed)
        lastId = pending.outcome.id;
    if (statement.check == LoadCheck::OwnWrite && !lastId.empty()) {
        ++result_.checked;
        result_.violations.ownWriteMissed += answer.rows.empty() ? 1 : 0;
    }
    if (statement.check == LoadCheck::CounterWrite)
        counter_.acknowledge(pending.counter, pending.outcome.answered);
    if (statement.check == LoadCheck::CounterRead && !answer.rows.empty()) {
        ++result_.checked;
        const Value value = answer.rows[0].empty() ? Value() : answer.rows[0][0];
        const std::uint64_t stored = std::strtoull(value.value_or("0").c_str(), nullptr, 10);
        const Duration age = statement.statedAge.value_or(Duration(0));
        const std::uint64_t acknowledged = counter_.acknowledgedBy(pending.outcome.answered - age);
        // Without a stated age, only writes acknowledged before the read was due are required.
        const std::uint64_t expected = statement.statedAge
            ? acknowledged
            : std::min(acknowledged, counter_.acknowledgedBy(pending.outcome.intended));
        result_.violations.tooStale += stored < expected ? 1 : 0;
    }
}

} // namespace kelptally::bench
