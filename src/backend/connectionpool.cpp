#include "backend/connectionpool.h"

#include "backend/sqltraits.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace kelptally::backend {

namespace {

// Length of a demand window; the peak is taken over the current and the previous one.
constexpr Duration demandWindow = std::chrono::seconds(5);
// Exponential backoff with jitter after failed connects. The maximum bounds how late a recovered
// server is found.
constexpr Duration minConnectDelay = std::chrono::milliseconds(10);
constexpr Duration maxConnectDelay = std::chrono::milliseconds(500);
constexpr int maxBackoffDoublings = 6;

} // namespace

// Connection as handed out by a pool: tracks changes to the session.
class PooledConnection : public Connection
{
public:
    PooledConnection(std::weak_ptr<ConnectionPool> pool, std::shared_ptr<Connection> raw,
                     std::uint64_t generation)
        : pool_(std::move(pool)), raw_(std::move(raw)), generation_(generation)
    { }

    ~PooledConnection() override
    {
        if (const auto pool = pool_.lock())
            pool->returnConnection(*this, false);
        else if (raw_)
            raw_->close();
    }

    void run(std::vector<Statement> batch, BatchCallback callback) override
    {
        if (!raw_) {
            BatchResult result;
            result.message = "the connection was already released";
            result.connectionLost = true;
            callback(std::move(result));
            return;
        }
        for (const Statement &statement : batch)
            session_->leavesState |= inspectSql(statement.sql).leavesState;
        if (const auto pool = pool_.lock())
            session_->batchSince = pool->timers_.now();
        raw_->run(std::move(batch),
                  [session = session_, callback = std::move(callback)](BatchResult result) {
                      if (result.state != BatchState::NotSent)
                          session->inTransaction = result.inTransaction;
                      callback(std::move(result));
                  });
    }

    bool busy() const override { return raw_ && raw_->busy(); }
    bool open() const override { return raw_ && raw_->open(); }
    void close() override
    {
        if (raw_)
            raw_->close();
    }

private:
    friend class ConnectionPool;

    // Shared with the running batch, which may outlive this object.
    struct Session
    {
        bool leavesState = false;
        bool inTransaction = false;
        Instant batchSince;
    };

    std::weak_ptr<ConnectionPool> pool_;
    // Null once returned.
    std::shared_ptr<Connection> raw_;
    const std::uint64_t generation_;
    const std::shared_ptr<Session> session_ = std::make_shared<Session>();
};

ConnectionPool::ConnectionPool(TimerService &timers, std::shared_ptr<BackendServer> server,
                               PoolOptions options)
    : timers_(timers), server_(std::move(server)), options_(options), random_(options.seed),
      windowStart_(timers.now()), nextConnectAt_(timers.now())
{
    tickTimer_ = timers_.subscribeEvery(tickPeriod, [this] { onTick(); });
}

ConnectionPool::~ConnectionPool()
{
    timers_.cancel(tickTimer_);
    timers_.cancel(retryTimer_);
    for (const Waiter &waiter : waiting_)
        timers_.cancel(waiter.timer);
    for (const IdleConnection &idle : idle_)
        idle.connection->close();
    // A connection with a running batch would never be freed, as the batch's callback refers to it.
    for (const auto &[pooled, raw] : std::exchange(borrowed_, {}))
        raw->close();
    for (const auto &[raw, since] : std::exchange(resetting_, {}))
        raw->close();
}

int ConnectionPool::counted() const
{
    return inUse() + idle() + opening_ + resetting() + closing_;
}

ConnectionPool::RequestId ConnectionPool::acquire(Instant deadline, ConnectCallback callback)
{
    const RequestId id = ++lastRequest_;
    // 1. Use an idle connection that is still open.
    while (!idle_.empty()) {
        const RawConnection connection = std::move(idle_.back().connection);
        idle_.pop_back();
        if (connection->open()) {
            lend(connection, callback);
            return id;
        }
    }
    // 2. Fail at once while the server is unreachable.
    if (nextConnectAt_ > timers_.now() && !absl::IsResourceExhausted(lastConnectError_)) {
        callback(lastConnectError_, nullptr);
        return id;
    }
    // 3. Wait for a free connection.
    const TimerId timer = timers_.subscribeAt(deadline, [this, id] {
        const auto found = std::find_if(waiting_.begin(), waiting_.end(),
                                        [id](const Waiter &waiter) { return waiter.id == id; });
        const ConnectCallback late = std::move(found->callback);
        waiting_.erase(found);
        late(absl::DeadlineExceededError("no free connection before the deadline"), nullptr);
    });
    waiting_.push_back({id, std::move(callback), timer});
    updatePeakDemand();
    openMissing();
    return id;
}

bool ConnectionPool::cancel(RequestId request)
{
    const auto found =
        std::find_if(waiting_.begin(), waiting_.end(),
                     [request](const Waiter &waiter) { return waiter.id == request; });
    if (found == waiting_.end())
        return false;
    timers_.cancel(found->timer);
    waiting_.erase(found);
    return true;
}

void ConnectionPool::lend(RawConnection connection, const ConnectCallback &callback)
{
    auto pooled = std::make_shared<PooledConnection>(weak_from_this(), connection, generation_);
    borrowed_.emplace(pooled.get(), std::move(connection));
    updatePeakDemand();
    openMissing();
    callback(absl::OkStatus(), std::move(pooled));
}

void ConnectionPool::release(const std::shared_ptr<Connection> &connection, bool reusable)
{
    const auto pooled = std::dynamic_pointer_cast<PooledConnection>(connection);
    if (pooled)
        returnConnection(*pooled, reusable);
}

void ConnectionPool::returnConnection(PooledConnection &connection, bool reusable)
{
    const RawConnection raw = std::exchange(connection.raw_, nullptr);
    if (borrowed_.erase(&connection) == 0 || !raw)
        return;
    const bool clean =
        reusable && raw->open() && !raw->busy() && connection.generation_ == generation_;
    const bool changed = connection.session_->leavesState;
    std::vector<Statement> statements;
    if (changed)
        statements.push_back({options_.resetStatement, {}});
    if (connection.session_->inTransaction)
        statements.push_back({"ROLLBACK", {}});
    if (!clean || (changed && options_.resetStatement.empty()))
        close(raw);
    else
        reset(raw, std::move(statements));
    openMissing();
}

// Runs the statements in reverse order, each in its own batch.
void ConnectionPool::reset(const RawConnection &connection, std::vector<Statement> statements)
{
    if (statements.empty())
        return addIdle(connection);
    Statement next = std::move(statements.back());
    statements.pop_back();
    resetting_.emplace(connection, timers_.now());
    auto done = [weak = weak_from_this(), connection, generation = generation_,
                 statements = std::move(statements)](const BatchResult &result) mutable {
        const auto self = weak.lock();
        if (!self)
            return connection->close();
        self->resetting_.erase(connection);
        if (result.state == BatchState::Done && !result.inTransaction
            && generation == self->generation_)
            self->reset(connection, std::move(statements));
        else
            self->close(connection);
        self->openMissing();
    };
    connection->run({std::move(next)}, std::move(done));
}

// Hands a clean connection to the first waiting request, or keeps it idle.
void ConnectionPool::addIdle(RawConnection connection)
{
    if (counted() >= options_.limit)
        return close(connection);
    idle_.push_back({std::move(connection), timers_.now()});
    serveWaiting();
}

void ConnectionPool::serveWaiting()
{
    while (!waiting_.empty() && !idle_.empty()) {
        const RawConnection connection = std::move(idle_.back().connection);
        idle_.pop_back();
        if (!connection->open())
            continue;
        const Waiter waiter = std::move(waiting_.front());
        waiting_.pop_front();
        timers_.cancel(waiter.timer);
        lend(connection, waiter.callback);
    }
}

void ConnectionPool::close(const RawConnection &connection)
{
    ++closing_;
    connection->closeAsync([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        --self->closing_;
        self->notifyIfWithinLimit();
        self->openMissing();
    });
}

// Recent peak demand and spare connections, but at least the current demand.
int ConnectionPool::targetSize() const
{
    const int demand = std::max({peakDemand_, previousPeakDemand_, inUse() + waiting()});
    const int forecast = demand == 0 ? 0 : demand + options_.spare;
    return std::min(options_.limit, std::max(forecast, options_.minOpen));
}

void ConnectionPool::openMissing()
{
    if (timers_.now() < nextConnectAt_)
        return;
    while (counted() < options_.limit && inUse() + idle() + opening_ + resetting() < targetSize())
        open();
}

void ConnectionPool::open()
{
    ++opening_;
    ++connects_;
    server_->connect(options_.connectTimeout,
                     [weak = weak_from_this(), generation = generation_](const absl::Status &status,
                                                                         RawConnection connection) {
                         const auto self = weak.lock();
                         if (!self) {
                             if (connection)
                                 connection->close();
                             return;
                         }
                         --self->opening_;
                         if (!status.ok())
                             self->onConnectFailed(status);
                         else if (generation != self->generation_)
                             self->close(connection);
                         else
                             self->onConnected(status, std::move(connection));
                         self->notifyIfWithinLimit();
                     });
}

void ConnectionPool::onConnected(const absl::Status &status, RawConnection connection)
{
    connectFailures_ = 0;
    lastConnectError_ = status;
    nextConnectAt_ = timers_.now();
    addIdle(std::move(connection));
    openMissing();
}

void ConnectionPool::onConnectFailed(const absl::Status &status)
{
    lastConnectError_ = status;
    nextConnectAt_ = timers_.now() + nextConnectDelay();
    timers_.cancel(retryTimer_);
    retryTimer_ = timers_.subscribeAt(nextConnectAt_, [this] { openMissing(); });
    // A full server may free a connection soon; waiting for an unreachable one is of no use.
    if (!absl::IsResourceExhausted(status) && opening_ == 0)
        failWaiting(status);
}

Duration ConnectionPool::nextConnectDelay()
{
    const Duration full =
        std::min(maxConnectDelay,
                 minConnectDelay * (1 << std::min(connectFailures_++, maxBackoffDoublings)));
    std::uniform_int_distribution<Duration::rep> jitter(0, full.count() / 2);
    return full / 2 + Duration(jitter(random_));
}

void ConnectionPool::failWaiting(const absl::Status &status)
{
    std::deque<Waiter> failed;
    failed.swap(waiting_);
    for (const Waiter &waiter : failed)
        timers_.cancel(waiter.timer);
    for (const Waiter &waiter : failed)
        waiter.callback(status, nullptr);
}

void ConnectionPool::setLimit(int limit, WithinLimitCallback withinLimit)
{
    options_.limit = limit;
    while (counted() - closing_ > limit && !idle_.empty()) {
        const RawConnection connection = std::move(idle_.front().connection);
        idle_.pop_front();
        close(connection);
    }
    if (withinLimit)
        withinLimitCallbacks_.push_back(std::move(withinLimit));
    notifyIfWithinLimit();
    openMissing();
}

void ConnectionPool::setMinConnections(int minOpen)
{
    options_.minOpen = minOpen;
    openMissing();
}

void ConnectionPool::closeAll(bool abortRunning)
{
    ++generation_;
    options_.minOpen = 0;
    peakDemand_ = 0;
    previousPeakDemand_ = 0;
    std::deque<IdleConnection> idle;
    idle.swap(idle_);
    for (const IdleConnection &each : idle)
        close(each.connection);
    if (abortRunning) {
        std::unordered_map<PooledConnection *, RawConnection> borrowed;
        borrowed.swap(borrowed_);
        for (const auto &[pooled, raw] : borrowed)
            close(raw);
    }
    failWaiting(absl::CancelledError("the pool is closing its connections"));
}

void ConnectionPool::notifyIfWithinLimit()
{
    if (withinLimitCallbacks_.empty() || counted() > options_.limit)
        return;
    std::vector<WithinLimitCallback> callbacks;
    callbacks.swap(withinLimitCallbacks_);
    for (const WithinLimitCallback &notify : callbacks)
        notify();
}

void ConnectionPool::updatePeakDemand()
{
    peakDemand_ = std::max(peakDemand_, inUse() + waiting());
}

// Drops idle connections that the server has closed, advances the demand window, closes surplus
// connections, aborts overlong batches and opens missing connections.
void ConnectionPool::onTick()
{
    const auto closed = std::remove_if(idle_.begin(), idle_.end(), [](const IdleConnection &idle) {
        return !idle.connection->open();
    });
    idle_.erase(closed, idle_.end());
    const Instant now = timers_.now();
    if (now - windowStart_ >= demandWindow) {
        windowStart_ = now;
        previousPeakDemand_ = std::exchange(peakDemand_, 0);
        updatePeakDemand();
    }
    closeSurplus();
    abortLongBatches();
    openMissing();
    notifyIfWithinLimit();
}

void ConnectionPool::abortLongBatches()
{
    const Instant now = timers_.now();
    std::vector<RawConnection> late;
    for (const auto &[pooled, raw] : borrowed_)
        if (raw->busy() && now - pooled->session_->batchSince > options_.maxBatchTime)
            late.push_back(raw);
    for (const auto &[raw, since] : resetting_)
        if (now - since > options_.maxBatchTime)
            late.push_back(raw);
    for (const RawConnection &raw : late)
        raw->close();
}

void ConnectionPool::closeSurplus()
{
    const Instant now = timers_.now();
    while (!idle_.empty() && inUse() + idle() > targetSize()
           && now - idle_.front().since >= options_.maxIdleTime) {
        const RawConnection connection = std::move(idle_.front().connection);
        idle_.pop_front();
        close(connection);
    }
}

} // namespace kelptally::backend
