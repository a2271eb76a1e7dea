#pragma once

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/timerservice.h"
#include "inner/messages.h"
#include "session/catalogue.h"
#include "session/statement.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace kelptally::session {

using DoneCallback = std::function<void(inner::StatementDone)>;

// Brings statements to the owners of their groups.
class StatementRouter
{
public:
    virtual ~StatementRouter() = default;

    // Calls back exactly once, never from within the call, unless it is cancelled.
    virtual inner::RequestId run(inner::RunStatement statement, DoneCallback callback) = 0;
    // Forgets the callback.
    virtual void cancel(inner::RequestId id) = 0;
    // Rolls back what the session may have open at the group's owner.
    virtual void endTransaction(const GroupName &group, std::uint64_t session) = 0;
};

// The connection of one caller.
class SessionOutput
{
public:
    virtual ~SessionOutput() = default;

    virtual void answer(const Answer &answer, SessionState state) = 0;
};

// One caller's session: its values, prepared statements and transaction. One statement at a time:
// the next run() comes after the answer. Kept alive by its connection and by open statements.
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

    // The key is the sum of what the caller has shown; the key itself goes no further than its
    // connection.
    CallerSession(const Parts &parts, std::uint64_t number, std::string database,
                  SessionOutput &output, const Sha256Digest &key = {});

    void run(Statement statement);
    // Answers a statement that could not be read.
    void refuse(Reason reason, const std::string &detail);
    // The caller has closed its connection. The output is not used any more.
    void onCallerGone();

    bool answering() const { return answering_; }
    SessionState state() const { return state_; }
    std::uint64_t number() const { return number_; }

private:
    struct Prepared
    {
        bool writes = false;
        std::string shape;
    };

    // Takes over the route and the organisation in force for the operation that begins; None, or
    // why there is none.
    Reason beginOperation();
    // The key's organisation was another when the transaction began, and has not been its for a
    // while.
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
    // Of the operation that runs; in a transaction from its begin to its end.
    Route route_;
    OrganisationName organisation_;
    ConfigVersion version_ = 0;
    inner::TransactionMode mode_ = inner::TransactionMode::None;
    // A statement of the transaction has been sent to the owner.
    bool begunAtOwner_ = false;
    std::optional<Position> position_;
    inner::RequestId request_ = 0;
    TimerId idleTimer_ = 0;
};

} // namespace kelptally::session
