#pragma once

#include "standin/node.h"
#include "standin/statement.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace kelptally::standin {

// Result of a step. A pending step is repeated after the wake callback was called.
enum class StepStatus {
    Done,
    Pending,
    Failed,
};

// Transaction and settings of one client, independent of the wire protocol. Isolation is read
// committed; from its first write on, a transaction holds the server's writer lock and sees its own
// changes.
class SqlSession
{
public:
    // `wake` must not call the session synchronously.
    SqlSession(Node &node, std::function<void()> wake);
    ~SqlSession();

    // Returns the result columns of the statement. Fails if it doesn't compile.
    StepStatus describe(const ParsedStatement &statement, std::vector<Column> &columns,
                        SqlError &error);
    // Runs one statement. `tag` is the tag for CommandComplete, empty for an empty statement.
    StepStatus execute(const ParsedStatement &statement, const std::vector<Parameter> &parameters,
                       const RowSink &sink, std::string &tag, SqlError &error);
    // Commits the implicit transaction, if there is one.
    StepStatus sync(SqlError &error);
    // Rolls back after an error. An explicit transaction stays failed until it is ended.
    void fail();
    // Rolls back any transaction.
    void onClientDisconnected();

    // Status for ReadyForQuery: 'I' idle, 'T' in a transaction, 'E' in a failed transaction.
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
    StepStatus beginTransaction(const ParsedStatement &statement);
    StepStatus endTransaction(bool commit, std::string &tag, SqlError &error);
    StepStatus commit(SqlError &error);
    // Acquires the writer lock and begins the writer transaction.
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
    // Whether this session has begun the writer transaction.
    bool transactionBegun_ = false;
    std::vector<LoggedStatement> statements_;
    std::map<std::string, std::string> settings_;
};

} // namespace kelptally::standin
