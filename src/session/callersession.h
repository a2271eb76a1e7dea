#pragma once

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/timerservice.h"
#include "decision/operationage.h"
#include "inner/messages.h"
#include "session/catalogue.h"
#include "session/statement.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace kelptally::session {

using DoneCallback = std::function<void(inner::StatementDone)>;

// Sends statements to the owners of their groups.
class StatementRouter
{
public:
    virtual ~StatementRouter() = default;

    // Calls back exactly once, never from within the call, unless the request is cancelled.
    virtual inner::RequestId run(inner::RunStatement statement, DoneCallback callback) = 0;
    // Drops the callback; the statement may still be executed.
    virtual void cancel(inner::RequestId id) = 0;
    // Rolls back the session's open transaction at the group's owner, if there is one.
    virtual void endTransaction(const GroupName &group, std::uint64_t session) = 0;
    // Whether new transactions are refused because this host is being stopped.
    virtual bool refusesTransactions() const = 0;
};

// Retry delay for callers while this host is being stopped; they reconnect through another host.
constexpr Duration drainRetryAfter = std::chrono::milliseconds(20);

// Receives the answers of a session; implemented by the caller's connection.
class SessionOutput
{
public:
    virtual ~SessionOutput() = default;

    virtual void answer(const Answer &answer, SessionState state) = 0;
};

// One caller's session: its values, prepared statements and transaction. Runs one statement at a
// time: run() must not be called again before the answer. Kept alive by its connection and by
// statements in flight.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    struct Parts
    {
        StatementRouter &router;
        const CurrentCatalogue &catalogue;
        TimerService &timers;
        EventLog &log;
        Metrics &metrics;
    };

    // `key` is the digest of the caller's key; the key itself never leaves the connection.
    CallerSession(const Parts &parts, std::uint64_t number, std::string database,
                  SessionOutput &output, const Sha256Digest &key = {});

    void run(Statement statement);
    // Answers a statement that could not be parsed.
    void refuse(Reason reason, const std::string &detail);
    // Rolls back and cancels when the caller has disconnected. The output is not used afterwards.
    void onCallerDisconnected();

    bool answering() const { return answering_; }
    SessionState state() const { return state_; }
    std::uint64_t number() const { return number_; }

private:
    struct Prepared
    {
        bool writes = false;
        std::string shape;
    };

    // Stores the current route and organisation for a new operation. Returns Reason::None, or why
    // the operation is refused.
    Reason beginOperation();
    // Whether the key no longer belongs to the transaction's organisation and the grace period
    // has passed.
    bool isKeyRevoked() const;
    void refuseOperation(const Statement &statement, Reason reason);
    void endRevokedTransaction(const Statement &statement);
    void runLocally(const Statement &statement);
    void begin(const Statement &statement);
    void runInFailedTransaction(const Statement &statement);
    void rollBack();
    void send(Statement statement, inner::SessionVerb verb, const Prepared *prepared);
    void onDone(inner::SessionVerb verb, const std::string &id, inner::StatementDone done);
    void answer(Answer answer);
    void fail(Reason reason, Executed executed, const std::string &detail,
              Duration retryAfter = {});
    void startIdleTimer();
    void leaveTransaction(SessionState state);

    const Parts parts_;
    const std::uint64_t number_;
    const std::string database_;
    const Sha256Digest key_;
    SessionOutput *output_;
    std::map<std::string, std::string> values_;
    std::map<std::string, Prepared> prepared_;
    SessionState state_ = SessionState::Idle;
    bool answering_ = false;
    // Of the current operation; fixed for the whole of a transaction.
    Route route_;
    OrganisationName organisation_;
    ConfigVersion version_ = 0;
    inner::TransactionMode mode_ = inner::TransactionMode::None;
    // Whether a statement of the transaction has been sent to the owner.
    bool begunAtOwner_ = false;
    std::optional<Position> position_;
    decision::OperationAge operationAge_;
    inner::RequestId request_ = 0;
    TimerId idleTimer_ = 0;
};

} // namespace kelptally::session
