#pragma once

#include <libpq-fe.h>

#include <functional>
#include <string>
#include <vector>

// A plain libpq client for the tests of the database stand-in.
namespace kelptally::standin {

struct QueryResult
{
    // "" when the statement succeeded.
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

    // A simple query.
    QueryResult query(const std::string &sql);
    // Through parse, bind and execute.
    QueryResult query(const std::string &sql, const std::vector<std::string> &parameters);
    // All statements before one sync; an answer for each, where "aborted" stands as the SQLSTATE of
    // those that were skipped. The last answer is that of the sync.
    std::vector<QueryResult> pipeline(const std::vector<std::string> &statements);
    // Sends a simple query without waiting; finish() gives its answer.
    void send(const std::string &sql);
    QueryResult receive();

    PGconn *raw() { return connection_; }

private:
    PGconn *connection_;
};

// Waits until the condition holds; false after a time that only a fault reaches.
bool eventually(const std::function<bool()> &condition);

} // namespace kelptally::standin
