#pragma once

#include <libpq-fe.h>

#include <functional>
#include <string>
#include <vector>

// libpq client for the tests of the database stand-in.
namespace kelptally::standin {

struct QueryResult
{
    // Empty if the statement succeeded, "lost" if the connection was lost, "aborted" if the
    // statement was skipped.
    std::string sqlState;
    std::string tag;
    // Values of the first row.
    std::vector<std::string> row;
    int rows = 0;

    bool succeeded() const { return sqlState.empty(); }
    std::string value() const { return row.empty() ? "" : row[0]; }
};

class TestClient
{
public:
    explicit TestClient(int port);
    ~TestClient();
    TestClient(const TestClient &) = delete;
    TestClient &operator=(const TestClient &) = delete;

    bool connected() const;
    std::string error() const;
    char transactionStatus() const;

    // Runs a simple query.
    QueryResult query(const std::string &sql);
    // Runs the statement with the extended query protocol.
    QueryResult query(const std::string &sql, const std::vector<std::string> &parameters);
    // Sends all statements followed by one Sync. Returns a result for each statement and one for
    // the Sync.
    std::vector<QueryResult> pipeline(const std::vector<std::string> &statements);
    // Sends a simple query without waiting for its result; receive() returns it.
    void send(const std::string &sql);
    QueryResult receive();

    PGconn *raw() { return connection_; }

private:
    PGconn *connection_;
};

// Polls until the condition holds. Returns false after a timeout of one minute.
bool eventually(const std::function<bool()> &condition);

} // namespace kelptally::standin
