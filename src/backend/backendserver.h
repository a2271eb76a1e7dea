#pragma once

#include "core/clock.h"
#include "core/rows.h"

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

// Interface to the servers of a database group.
namespace kelptally::backend {

// A statement with its parameters ($1, $2, ...).
struct Statement
{
    std::string sql;
    std::vector<Value> parameters;
};

// What is known of the execution of a batch.
enum class BatchState {
    // The server answered each statement and the batch is committed.
    Done,
    // The server reported an error; nothing of the batch takes effect.
    Failed,
    // Nothing was sent.
    NotSent,
    // Sent, but the connection was lost before the answer was complete.
    Unknown,
};

struct BatchResult
{
    BatchState state = BatchState::NotSent;
    // One entry for each answered statement.
    std::vector<Rows> rows;
    // Index of the statement that failed, with its SQLSTATE and message.
    std::size_t failedStatement = 0;
    std::string sqlState;
    std::string message;
    // The connection is in an unknown state and must be closed.
    bool connectionLost = false;
    // An explicit transaction, possibly a failed one, is open after the batch.
    bool inTransaction = false;
};

using BatchCallback = std::function<void(BatchResult)>;

// One connection to one server. Calls and callbacks run on the backend thread. Closing or losing
// the connection ends the running batch as Unknown or NotSent. Each callback is called exactly
// once.
class Connection
{
public:
    virtual ~Connection() = default;

    // Sends all statements in one pipeline that ends in one sync. Outside a transaction block the
    // server runs the batch as one transaction. Only one batch may run at a time.
    virtual void run(std::vector<Statement> batch, BatchCallback callback) = 0;
    virtual bool busy() const = 0;
    virtual bool open() const = 0;
    virtual void close() = 0;

    // Closes, and calls back once the server has closed its side or a timeout has passed: until
    // then the server may still count the connection.
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

    // Opens a connection within the timeout. Calls back exactly once.
    virtual void connect(Duration timeout, ConnectCallback callback) = 0;
};

// Address and login of a server.
struct ServerEndpoint
{
    std::string host;
    int port = 0;
    std::string database;
    std::string user;
    std::string password;
};

} // namespace kelptally::backend
