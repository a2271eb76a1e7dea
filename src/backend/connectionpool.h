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

// Sizes and timeouts of a pool.
struct PoolOptions
{
    // Maximum number of connections: in use, idle, being opened and being closed.
    int limit = 1;
    // Minimum number of connections kept open without demand.
    int minOpen = 0;
    // Connections kept ready above the recent demand; see docs/design/pools.md.
    int spare = 1;
    Duration connectTimeout {std::chrono::seconds(1)};
    // Maximum run time of a batch or a reset, after which it is aborted with its connection, as the
    // server may be unreachable. Must exceed any request's deadline.
    Duration maxBatchTime {std::chrono::seconds(60)};
    // Idle connections above the target size are closed after this time.
    Duration maxIdleTime {std::chrono::seconds(30)};
    // Resets a session that its user changed. If it is empty or fails, the connection is closed.
    std::string resetStatement = "DISCARD ALL";
    // Seed of the jitter of connect delays.
    std::uint64_t seed = 1;
};

// Pool of connections to one server. Opens connections ahead of the demand, up to its limit. A
// connection belongs to one user until it is released. Before the next use an open transaction is
// rolled back and a session that was changed (see SqlTraits::leavesState) is reset; a connection in
// an unknown state is closed. Used on one thread.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
    using RequestId = std::uint64_t;
    using WithinLimitCallback = std::function<void()>;

    ConnectionPool(TimerService &timers, std::shared_ptr<BackendServer> server,
                   PoolOptions options);
    // Closes all connections. Running batches end as Unknown.
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    // Calls back with a connection: before it returns if one is idle, otherwise once one is free.
    // Fails with DeadlineExceeded at the deadline, with Unavailable when the server cannot be
    // reached, or with Cancelled at closeAll(). A request waits while the server refuses for lack
    // of connections. Calls back exactly once, or never after cancel().
    RequestId acquire(Instant deadline, ConnectCallback callback);
    // Removes a waiting request; returns false if it has been answered.
    bool cancel(RequestId request);

    // Returns a connection; it is closed unless reusable. A connection that its user destroys
    // without a release is closed too. May call back waiting requests.
    void release(const std::shared_ptr<Connection> &connection, bool reusable);

    // Sets the limit. Surplus idle connections are closed now, those in use on release. Calls
    // withinLimit once the number of connections is within the limit.
    void setLimit(int limit, WithinLimitCallback withinLimit = {});
    // Keeps at least this many connections open, within the limit.
    void setMinConnections(int minOpen);
    // Closes idle connections now, and connections in use on release or, with abortRunning, at
    // once: their batches end as Unknown. Waiting requests are cancelled.
    void closeAll(bool abortRunning);

    // Number of connections counted against the limit.
    int counted() const;
    int inUse() const { return static_cast<int>(borrowed_.size()); }
    int resetting() const { return static_cast<int>(resetting_.size()); }
    int idle() const { return static_cast<int>(idle_.size()); }
    int closing() const { return closing_; }
    int waiting() const { return static_cast<int>(waiting_.size()); }
    // Number of connects begun.
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

    // Ordered by time of release, so that surplus connections expire at the front.
    std::deque<IdleConnection> idle_;
    std::unordered_map<PooledConnection *, RawConnection> borrowed_;
    std::deque<Waiter> waiting_;
    int opening_ = 0;
    // With the start of the reset.
    std::unordered_map<RawConnection, Instant> resetting_;
    int closing_ = 0;
    // Incremented by closeAll(): connections of earlier generations are not reused.
    std::uint64_t generation_ = 0;
    std::vector<WithinLimitCallback> withinLimitCallbacks_;

    // Peak demand in the current and in the previous window.
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
