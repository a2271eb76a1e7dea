#pragma once

#include "core/clock.h"
#include "core/rows.h"

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

// The port to the servers of a database group.
namespace kelptally::backend {

// A statement with its parameters ($1, $2, ...).
struct Statement
{
    std::string sql;
    std::vector<Value> parameters;
};

// How far the work of a batch is known to have got.
enum class BatchState {
    // The server answered each statement and the batch is committed.
    Done,
    // The server answered an error; nothing of the batch is in force.
    Failed,
    // Nothing was sent.
    NotSent,
    // Sent, but the connection was lost before the end of the answer.
    Unknown,
};

struct BatchResult
{
    BatchState state = BatchState::NotSent;
    // One for each statement that was answered.
    std::vector<Rows> rows;
    // Index of the statement that failed, with its SQLSTATE and message.
    std::size_t failedStatement = 0;
    std::string sqlState;
    std::string message;
    // The connection is in an unknown state and must be closed.
    bool connectionLost = false;
    // An explicit transaction, whole or failed, is open after the batch.
    bool inTransaction = false;
};

using BatchCallback = std::function<void(BatchResult)>;

// One connection to one server. All calls and callbacks are on the backend thread. Closing or
// losing it ends the running batch with Unknown (or NotSent); each callback is called exactly once.
class Connection
{
public:
    virtual ~Connection() = default;

    // Sends all statements in one pipeline that ends in one sync. Outside a transaction block the
    // server runs the batch as one transaction. Only one batch at a time.
    virtual void run(std::vector<Statement> batch, BatchCallback callback) = 0;
    virtual bool busy() const = 0;
    virtual bool open() const = 0;
    virtual void close() = 0;

    // Closes, and calls back once the server has closed its side too, or cannot be waited for any
    // longer: until then the server may still count the connection.
    virtual void closeAsync(std::function<void()> closed)
    {
        close();
        closed();
    }
};

using ConnectCallback = std::function<void(absl::Status, std::shared_ptr<Connection>)>;

// One server of a database group.
class BackendServer
{
public:
    virtual ~BackendServer() = default;

    // Opens a connection; gives up at the timeout. Calls back exactly once.
    virtual void connect(Duration timeout, ConnectCallback callback) = 0;
};

// Where a server listens and how to log in.
struct ServerEndpoint
{
    std::string host;
    int port = 0;
    std::string database;
    std::string user;
    std::string password;
};

} // namespace kelptally::backend
