#pragma once

#include "standin/node.h"
#include "standin/statement.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace kelptally::standin {

// Whether a step is finished. One that waits is given again after the wake function was called.
enum class StepStatus {
    Done,
    Pending,
    Failed,
};

// The transaction and settings of one client of one server, apart from the wire. Reads see what is
// committed (read committed); from its first write on a transaction holds the server's writer lock
// and sees its own work.
class SqlSession
{
public:
    // The wake function must not call back into the session at once.
    SqlSession(Node &node, std::function<void()> wake);
    ~SqlSession();

    // Columns that the statement will return; Failed when it does not compile.
    StepStatus describe(const ParsedStatement &statement, std::vector<Column> &columns,
                        SqlError &error);
    // Runs one statement. The tag is that of CommandComplete, empty for an empty statement.
    StepStatus execute(const ParsedStatement &statement, const std::vector<Parameter> &parameters,
                       const RowSink &sink, std::string &tag, SqlError &error);
    // Ends an implicit transaction: commits it.
    StepStatus sync(SqlError &error);
    // After any error: rolls back; an explicit transaction stays failed until it is ended.
    void fail();
    // The client is gone.
    void onClientDisconnected();

    // As in ReadyForQuery: 'I' idle, 'T' in a transaction, 'E' in a failed one.
    char transactionStatus() const;

    void setLockTimeout(Duration timeout) { lockTimeout_ = timeout; }

private:
    enum class State {
        Idle,
        Explicit,
        Failed,
    };

    StepStatus executeQuery(const ParsedStatement &statement,
                            const std::vector<Parameter> &parameters, const RowSink &sink,
                            std::string &tag, SqlError &error);
    StepStatus executeControl(const ParsedStatement &statement,
                              const std::vector<Parameter> &parameters, const RowSink &sink,
                              SqlError &error);
    StepStatus callControlFunction(const ParsedStatement &statement,
                                   const std::vector<std::string> &arguments, std::string &result,
                                   SqlError &error);
    StepStatus raiseFence(OwnerEpoch epoch, SqlError &error);
    StepStatus checkFence(OwnerEpoch epoch, SqlError &error);
    StepStatus begin(const ParsedStatement &statement);
    StepStatus end(bool commit, std::string &tag, SqlError &error);
    StepStatus commit(SqlError &error);
    // Makes this session the writer.
    StepStatus lockForWriting(const std::string &verb, SqlError &error);
    bool holdsWriterLock() const { return node_.writerLock().isHeldBy(lockRequester_); }
    SqliteDatabase &database()
    {
        return holdsWriterLock() ? node_.writerDatabase() : node_.committedDatabase();
    }
    void rollBack();

    Node &node_;
    WriterLock::Requester lockRequester_;
    Duration lockTimeout_ {std::chrono::seconds(5)};
    State state_ = State::Idle;
    bool readOnly_ = false;
    // The writer's transaction was begun for this session.
    bool transactionBegun_ = false;
    std::vector<LoggedStatement> statements_;
    std::map<std::string, std::string> settings_;
};

} // namespace kelptally::standin
