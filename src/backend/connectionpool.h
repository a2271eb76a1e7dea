#pragma once

#include "backend/backendserver.h"
#include "core/timerservice.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

namespace kelptally::backend {

class PooledConnection;

// How a pool is sized and how it deals with a server that refuses.
struct PoolOptions
{
    // Most connections counted at one time: in use, idle, being opened and being closed.
    int limit = 1;
    // Connections that are kept open when nothing is asked.
    int minOpen = 0;
    // Connections kept ready above the demand seen lately; see docs/design/pools.md.
    int spare = 1;
    Duration connectTimeout {std::chrono::seconds(1)};
    // A batch that runs for longer is cut with its connection: its server may be gone without a
    // word. Longer than any request's deadline; chosen, not measured.
    Duration maxBatchTime {std::chrono::seconds(60)};
    // Idle connections above what the last demand needed close after this time.
    Duration maxIdleTime {std::chrono::seconds(30)};
    // Brings a session back to its first state after a user that changed it; when empty, or when it
    // fails, the connection is closed instead.
    std::string resetStatement = "DISCARD ALL";
    // Draws the jitter of the pauses between failed connects.
    std::uint64_t seed = 1;
};

// The connections of this process to one server, for one purpose. Opens them ahead of the demand it
// has seen, since a new one costs milliseconds, and never counts more than its limit. A connection
// is used by one user at a time: until it is given back it is pinned. One in an unknown state is
// closed and never reused; one given back within a transaction is rolled back, and one whose
// session was changed by its user (see SqlTraits::leavesState) is reset, before the next user gets
// it. Used on one thread.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
    using RequestId = std::uint64_t;
    using WithinLimitCallback = std::function<void()>;

    ConnectionPool(TimerService &timers, std::shared_ptr<BackendServer> server,
                   PoolOptions options);
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    // Gives a connection, at once (before this returns) when one is idle. Otherwise calls back once
    // one is free, with DeadlineExceeded at the deadline, with Unavailable as soon as the server is
    // found to be out of reach, or with Cancelled at closeAll(). While the server refuses for want
    // of connections the request goes on waiting. Exactly one call, or none after cancel().
    RequestId acquire(Instant deadline, ConnectCallback callback);
    // Forgets a request that waits; false when it has been answered.
    bool cancel(RequestId request);

    // Ends the use of a connection; without reusable it is closed. One that its user just lets go
    // of is closed too. May call back those who wait.
    void release(const std::shared_ptr<Connection> &connection, bool reusable);

    // A lower limit closes idle connections now and those in use when they are given back. The
    // notice comes once no more are counted than the limit allows.
    void setLimit(int limit, WithinLimitCallback withinLimit = {});
    // Keeps so many open from now on, within the limit.
    void warm(int minOpen);
    // Closes all: idle ones now, those in use when given back or, when told so, at once (their
    // batches end as Unknown). Requests that wait are cancelled.
    void closeAll(bool abortRunning);

    // Counted against the limit: in use, idle, being opened or closed.
    int counted() const;
    int inUse() const { return static_cast<int>(borrowed_.size()); }
    int idle() const { return static_cast<int>(idle_.size()); }
    int closing() const { return closing_; }
    int waiting() const { return static_cast<int>(waiting_.size()); }
    // All connects that were begun since the start.
    std::uint64_t connects() const { return connects_; }

    static constexpr Duration tickPeriod = std::chrono::milliseconds(100);

private:
    friend class PooledConnection;
    using RawConnection = std::shared_ptr<Connection>;

    struct IdleConnection
    {
        RawConnection connection;
        Instant since;
    };
    struct Waiter
    {
        RequestId id;
        ConnectCallback callback;
        TimerId timer;
    };

    void open();
    void openMissing();
    void onConnected(const absl::Status &status, RawConnection connection);
    void onConnectFailed(const absl::Status &status);
    void lend(RawConnection connection, const ConnectCallback &callback);
    void returnConnection(PooledConnection &connection, bool reusable);
    void reset(const RawConnection &connection, std::vector<Statement> statements);
    void addIdle(RawConnection connection);
    void close(const RawConnection &connection);
    void serveWaiting();
    void failWaiting(const absl::Status &status);
    void closeSurplus();
    void abortLongBatches();
    void onTick();
    void updatePeakDemand();
    void notifyIfWithinLimit();
    int targetSize() const;
    Duration nextConnectDelay();

    TimerService &timers_;
    const std::shared_ptr<BackendServer> server_;
    PoolOptions options_;
    std::mt19937_64 random_;

    // Most recently used last, so that surplus ones grow old at the front.
    std::deque<IdleConnection> idle_;
    std::unordered_map<PooledConnection *, RawConnection> borrowed_;
    std::deque<Waiter> waiting_;
    int opening_ = 0;
    int resetting_ = 0;
    int closing_ = 0;
    // Goes up with closeAll(): older connections are not reused.
    std::uint64_t generation_ = 0;
    std::vector<WithinLimitCallback> withinLimitCallbacks_;

    // Most connections asked for at one time in this window and in the one before.
    int peakDemand_ = 0;
    int previousPeakDemand_ = 0;
    Instant windowStart_;

    int connectFailures_ = 0;
    absl::Status lastConnectError_;
    Instant nextConnectAt_;

    RequestId lastRequest_ = 0;
    std::uint64_t connects_ = 0;
    TimerId tickTimer_ = 0;
    TimerId retryTimer_ = 0;
};

} // namespace kelptally::backend
